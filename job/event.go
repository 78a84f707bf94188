package job

import (
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Event is what a pool's holder learned: Configured, Listed, Reported or Answered.
type Event interface{ event() }

// Configured is the accepted configuration of the pool.
type Configured struct{ View View }

// Listed is the platform's list of workers.
type Listed struct{ Workers []backing.Worker }

// Reported is a worker's reports.
type Reported struct {
	Worker  string
	Reports []backing.Report
}

// Answered is the answer to an effect; a nil error means that it took effect.
type Answered struct {
	Effect Effect
	Err    error
}

func (Configured) event() {}
func (Listed) event()     {}
func (Reported) event()   {}
func (Answered) event()   {}

// Effect is something to be done on the platform once the rows are committed: Start or Act.
type Effect interface{ effect() }

// Start starts a try.
type Start struct{ Task backing.Task }

// Act acts on a try.
type Act struct {
	Task  string // ID of the try
	Act   backing.TaskAct
	Until time.Time // end of the lease, where Act renews it
}

func (Start) effect() {}
func (Act) effect()   {}

// Apply takes in what was learned.
func (p *Pool) Apply(e Event, now time.Time) error {
	switch e := e.(type) {
	case Configured:
		return p.configure(e.View, now)
	case Listed:
		return p.list(e.Workers, now)
	case Reported:
		return p.report(e, now)
	case Answered:
		return p.answer(e, now)
	}
	return fault.New(fault.Internal, "job: there is no event %T", e)
}
