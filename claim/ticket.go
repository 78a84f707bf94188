package claim

import (
	"sync/atomic"
	"time"

	"gypsumlead/fault"
)

// Ticket is a claim that was won; it allows sending for a short time.
type Ticket struct {
	from  time.Time // when the claim's write began
	wall  time.Time // the same by the wall clock alone, which goes on while a machine is suspended
	life  time.Duration
	end   func(outcome)
	ended atomic.Bool
}

// outcome is how a claimed request ended: notSent, done or unknown.
type outcome interface{ outcome() }

type (
	notSent struct{}
	done    struct{ answer *Answer } // nil if the answer is too large to be kept
	unknown struct{}
)

func (notSent) outcome() {}
func (done) outcome()    {}
func (unknown) outcome() {}

// Gate tells whether the request may be sent now; a claimant that was paused too long must not.
func (t *Ticket) Gate() error {
	now := time.Now()
	if now.Sub(t.from) > t.life || now.Round(0).Sub(t.wall) > t.life {
		return fault.New(fault.Overload, "the claim on the key was made too long ago to send the request")
	}
	return nil
}

// NotSent gives the key back: nothing of the request was handed to an upstream.
func (t *Ticket) NotSent() { t.finish(notSent{}) }

// Done stores that the request ran, with its answer if it is small; nil keeps only the fact.
func (t *Ticket) Done(a *Answer) { t.finish(done{answer: a}) }

// Unknown leaves the key claimed: the request may have run.
func (t *Ticket) Unknown() { t.finish(unknown{}) }

func (t *Ticket) finish(o outcome) {
	if t.ended.Swap(true) {
		return
	}
	t.end(o)
}
