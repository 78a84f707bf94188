package fault

// Kind names one class of failure; the list is closed.
type Kind uint8

// The kinds, in the order of the answer table.
const (
	Internal          Kind = iota // a defect of the program; whether the request ran is unknown
	Invalid                       // the request, the settings or a row is malformed
	Missing                       // no such job, service or history
	Conflict                      // a row doesn't have the required version
	Overload                      // certainly not executed, for lack of resources or time
	NoUpstream                    // no session or connection to the destination at present
	Unavailable                   // the store or another service doesn't respond; whether the request ran is unknown
	Interrupted                   // the connection broke after the request was sent
	Fenced                        // the lease of leadership was lost, or a newer leader has acted
	InvariantViolated             // an invariant of the program is violated
	kindCount
)

// Kinds returns every kind, in table order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// String returns the kind's one-word name, as used in answers, logs and metrics.
func (k Kind) String() string {
	return AnswerTo(k).Name
}
