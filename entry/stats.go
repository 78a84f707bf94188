package entry

import (
	"sync/atomic"

	"gypsumlead/fault"
)

const kindSpace = 64 // more than there are kinds of faults

// counters count what the entry did since it started.
type counters struct {
	answers  atomic.Int64
	aborted  atomic.Int64
	replays  atomic.Int64
	breaches atomic.Int64
	faults   [kindSpace]atomic.Int64
}

// Stats is a snapshot of the entry.
type Stats struct {
	Active   int64 // requests in progress
	Answers  int64 // upstreams' answers passed on whole
	Aborted  int64 // answers that broke off after a part was passed on
	Replays  int64 // stored answers given again
	Breaches int64 // invariants that did not hold
	Faults   map[fault.Kind]int64
}

// Stats returns the counts so far.
func (e *Entry) Stats() Stats {
	s := Stats{
		Active:   e.active.Load(),
		Answers:  e.count.answers.Load(),
		Aborted:  e.count.aborted.Load(),
		Replays:  e.count.replays.Load(),
		Breaches: e.count.breaches.Load(),
		Faults:   map[fault.Kind]int64{},
	}
	for _, k := range fault.Kinds() {
		if n := e.count.faults[k].Load(); n > 0 {
			s.Faults[k] = n
		}
	}
	return s
}
