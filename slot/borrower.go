package slot

import (
	"time"

	"gypsumlead/fault"
)

// Borrower is one entry's side of the grants for one boot of a runner: it never uses more
// slots than it holds, and no use outlasts the grant that it began under. The owner borrows
// from itself in the same way.
type Borrower struct {
	name   string
	held   int
	end    time.Time
	number uint64    // of the latest ask
	sent   time.Time // of the latest ask
	want   int       // of the latest ask
	fair   int       // what the owner last asked the borrower to come down to
	uses   map[uint64]time.Time
}

// NewBorrower returns a borrower that holds nothing.
func NewBorrower(name string) *Borrower {
	return &Borrower{name: name, uses: map[uint64]time.Time{}}
}

// Ask returns an ask for the slots that the borrower would use; what it holds beyond them is
// given up before the ask is sent, so that the owner may believe it.
func (b *Borrower) Ask(want int, now time.Time) Ask {
	b.lapse(now)
	if b.fair < b.held {
		want = min(want, b.fair)
	}
	want = max(want, len(b.uses))
	b.held = min(b.held, want)
	b.number++
	b.sent, b.want = now, want
	return Ask{Borrower: b.name, Number: b.number, Want: want}
}

// Granted takes in an answer; all but that to the latest ask are ignored. The grant's life
// counts from the sending of the ask and so ends before the owner's account of it.
func (b *Borrower) Granted(g Grant, now time.Time) error {
	if g.Number != b.number {
		return nil
	}
	b.lapse(now)
	end := b.sent.Add(g.Life)
	if g.Slots == 0 || !now.Before(end) {
		return nil
	}
	b.held, b.end, b.fair = g.Slots, end, g.Fair
	return b.check()
}

// Start takes a slot for a request that ends by its deadline at the latest; false means that
// none is held for so long.
func (b *Borrower) Start(id uint64, deadline, now time.Time) bool {
	b.lapse(now)
	if len(b.uses) >= b.held || deadline.After(b.end) || !now.Before(deadline) {
		return false
	}
	b.uses[id] = deadline
	return true
}

// Finish gives a slot back.
func (b *Borrower) Finish(id uint64) {
	delete(b.uses, id)
}

// lapse forgets what has ended; a request is cut at its deadline and uses no slot after it.
func (b *Borrower) lapse(now time.Time) {
	for id, deadline := range b.uses {
		if !now.Before(deadline) {
			delete(b.uses, id)
		}
	}
	if !now.Before(b.end) {
		b.held, b.fair = 0, 0
	}
}

// check returns an error of kind fault.Breach where more slots are in use than held.
func (b *Borrower) check() error {
	if len(b.uses) > b.held {
		return fault.New(fault.Breach, "borrow slots: %s uses %d of %d", b.name, len(b.uses), b.held)
	}
	return nil
}

// Held returns the slots that the borrower may use now.
func (b *Borrower) Held(now time.Time) int {
	b.lapse(now)
	return b.held
}
