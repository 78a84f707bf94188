package fault

// Kind names one class of failure; the list is closed.
type Kind uint8

// The kinds, in the order of the answer table.
const (
	Internal     Kind = iota // a defect of the program; whether the request ran is unknown
	Invalid                  // the request or record is malformed
	Unauthorized             // the caller did not prove who it is
	Missing                  // no such service, pool, instance, job or wave
	Conflict                 // the record has another version than the one asked for
	Reused                   // an idempotency key came back with another request
	TooLarge                 // the body or the header is over its limit
	Quota                    // the team's quota is used up
	Overload                 // the queue is full or the deadline can't be met
	NoUpstream               // no runner can take the request now
	StoreDown                // the platform's table service does not answer
	Leaving                  // this entry instance is stopping
	Claimed                  // the key's first request is still running or its outcome is unknown
	Broken                   // the upstream's answer broke off after the request was sent
	Timeout                  // the upstream did not answer in time after the request was sent
	Budget                   // the availability budget doesn't allow the planned stop now
	Fenced                   // the lease was lost or a newer holder acted
	Unfit                    // the job can't fit on any worker
	Breach                   // an invariant of the program does not hold
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
