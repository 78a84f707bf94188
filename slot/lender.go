package slot

import (
	"time"

	"gypsumlead/fault"
)

// Ask is a borrower's request to hold Want slots in all; asks of one borrower are numbered.
type Ask struct {
	Borrower string
	Number   uint64
	Want     int
}

// Grant is the owner's answer to the ask of that number.
type Grant struct {
	Number uint64
	Slots  int           // held in all until Life after the ask was sent
	Fair   int           // what the borrower should come down to, as others want slots
	Life   time.Duration // by the borrower's clock
}

// holding is what one borrower may be using, as far as the owner can know.
type holding struct {
	slots  int
	want   int
	number uint64
	end    time.Time
}

// Lender is the owner's side of one boot of a runner: the slots of the holdings that have not
// lapsed are never more than the runner's.
type Lender struct {
	slots    int
	life     time.Duration
	margin   time.Duration
	ready    time.Time
	holdings map[string]*holding
}

// NewLender returns the lender of a runner boot at a new owner, which grants nothing until
// the grants of owners before it have lapsed: for the longest life of a grant and the margin.
func NewLender(slots int, life, margin time.Duration, now time.Time) *Lender {
	return &Lender{
		slots:    slots,
		life:     life,
		margin:   margin,
		ready:    now.Add(life + margin),
		holdings: map[string]*holding{},
	}
}

// Ask decides on an ask; an error of kind fault.Fenced means that a later one came before it.
func (l *Lender) Ask(a Ask, now time.Time) (Grant, error) {
	if now.Before(l.ready) {
		return Grant{Number: a.Number, Life: l.life}, nil
	}
	l.lapse(now)
	h, ok := l.holdings[a.Borrower]
	if !ok {
		h = &holding{}
		l.holdings[a.Borrower] = h
	}
	if a.Number <= h.number {
		return Grant{}, fault.New(fault.Fenced, "ask %d of %s for slots: ask %d came before it", a.Number, a.Borrower, h.number)
	}
	h.number, h.want = a.Number, max(0, a.Want)
	h.slots = min(h.want, h.slots+l.free())
	h.end = now.Add(l.life + l.margin)
	return Grant{Number: a.Number, Slots: h.slots, Fair: l.fair(h), Life: l.life}, l.check()
}

// free returns the slots that nobody holds.
func (l *Lender) free() int {
	n := l.slots
	for _, h := range l.holdings {
		n -= h.slots
	}
	return n
}

// fair returns what h may keep while others want more than they hold: an equal part.
func (l *Lender) fair(h *holding) int {
	wanting := 0
	for _, o := range l.holdings {
		if o != h && o.want > o.slots {
			wanting++
		}
	}
	if wanting == 0 {
		return h.slots
	}
	return min(h.slots, l.slots/len(l.holdings))
}

func (l *Lender) lapse(now time.Time) {
	for b, h := range l.holdings {
		if !now.Before(h.end) {
			delete(l.holdings, b)
		}
	}
}

// check returns an error of kind fault.Breach where more slots are lent than there are.
func (l *Lender) check() error {
	if n := l.free(); n < 0 {
		return fault.New(fault.Breach, "lend slots: %d of %d are held", l.slots-n, l.slots)
	}
	return nil
}

// Lent returns the slots that borrowers may be using.
func (l *Lender) Lent(now time.Time) int {
	l.lapse(now)
	return l.slots - l.free()
}
