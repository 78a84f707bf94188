package fault

// Kind names one class of failure; the list is closed.
type Kind uint8

// The kinds, in the order of the answer table.
const (
	Internal          Kind = iota // a defect of the program; whether the request ran is unknown
	Invalid                       // the request, the settings or a row is malformed
	Missing                       // no such job, service or history
	Conflict                      // a row has another version than the one demanded
	Overload                      // surely not done, for want of room or time
	NoUpstream                    // no session or connection leads there now
	Unavailable                   // the platform's store doesn't answer; whether it was done is unknown
	Interrupted                   // the answer broke off after the request was sent
	Fenced                        // the seat was lost or a newer holder acted
	InvariantViolated             // an invariant of the program does not hold
	kindCount
)

// Kinds returns every kind in table order.
func Kinds() []Kind {
	ks := make([]Kind, 0, kindCount)
	for k := range kindCount {
		ks = append(ks, k)
	}
	return ks
}

// String returns the kind's one-word name as it stands in answers, logs and metrics.
func (k Kind) String() string {
	return AnswerTo(k).Name
}
