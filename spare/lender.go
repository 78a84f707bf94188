package spare

import (
	"math"
	"slices"
	"strings"
	"time"

	"gypsumlead/fault"
)

// member is a pool as the lender knows it.
type member struct {
	name   string
	have   int
	out    int
	limit  int
	coming int // moves towards it
	going  int // moves away from it
	lent   int // instances of the spare pool that it has, or that are on their way to it
	demand forecast
	short  time.Time // since when it is short; zero if it isn't
	calm   time.Time // since when it could do with less; zero if it couldn't
}

// Lender lends the instances of the spare pool: the spare pool keeps its floor, no pool's moves
// and losses together pass its availability budget, and only what was lent is taken back.
type Lender struct {
	spare   string
	floor   int
	opts    options
	members map[string]*member
}

// New returns a lender of the spare pool, which keeps at least floor instances.
func New(spare string, floor int, opts ...Option) *Lender {
	return &Lender{spare: spare, floor: floor, opts: applied(opts), members: map[string]*member{}}
}

// Apply takes in an event and returns the moves to begin; it depends on nothing but the
// lender's state, the event and now. An error of kind fault.Breach tells of a broken invariant.
func (l *Lender) Apply(ev Event, now time.Time) ([]Effect, error) {
	switch e := ev.(type) {
	case Observe:
		l.observe(e, now)
	case Began:
		if err := l.began(e); err != nil {
			return nil, err
		}
	case Moved:
		if err := l.moved(e); err != nil {
			return nil, err
		}
	}
	out := l.lend(nil, now)
	out = l.takeBack(out, now)
	return out, l.check(out)
}

func (l *Lender) observe(e Observe, now time.Time) {
	m, ok := l.members[e.Pool]
	if !ok {
		m = &member{name: e.Pool, lent: e.Lent}
		l.members[e.Pool] = m
	}
	m.have, m.out, m.limit = e.Have, e.Out, e.Limit
	m.demand.observe(e.Asked, now, l.opts.smooth)
	will := m.have + m.coming - m.going
	m.short = since(m.short, l.need(m) > will, now)
	m.calm = since(m.calm, m.demand.ahead(l.opts.lead) < l.opts.calm*float64(will-1), now)
}

// since returns when a condition began to hold without a break.
func since(was time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case was.IsZero():
		return now
	}
	return was
}

// held tells whether a condition has held for long enough.
func held(since time.Time, d time.Duration, now time.Time) bool {
	return !since.IsZero() && now.Sub(since) >= d
}

// need returns the instances that the pool's forecast asks for.
func (l *Lender) need(m *member) int {
	return int(math.Ceil(m.demand.ahead(l.opts.lead) / l.opts.busy))
}

// began takes over a move from an earlier holder; both pools must have been observed.
func (l *Lender) began(e Began) error {
	from, to := l.members[e.From], l.members[e.To]
	if from == nil || to == nil {
		return fault.New(fault.Conflict, "take over a move from %s to %s: observe both pools first", e.From, e.To)
	}
	from.going++
	to.coming++
	if e.From == l.spare {
		to.lent++
	} else {
		from.lent = max(0, from.lent-1)
	}
	return nil
}

func (l *Lender) moved(e Moved) error {
	from, to := l.members[e.From], l.members[e.To]
	if from == nil || to == nil || from.going == 0 || to.coming == 0 {
		return fault.New(fault.Conflict, "end of a move from %s to %s: no such move has begun", e.From, e.To)
	}
	from.going--
	from.have--
	to.coming--
	to.have++
	return nil
}

// lend moves instances to pools that have been short for long enough, the shortest first.
func (l *Lender) lend(out []Effect, now time.Time) []Effect {
	spare := l.members[l.spare]
	if spare == nil {
		return out
	}
	for {
		to := l.shortest(now)
		if to == nil || !l.canLend(spare) || !mayMove(spare, to) {
			return out
		}
		to.lent++
		out = append(out, l.move(spare, to, "forecast above what the pool holds"))
	}
}

// canLend tells whether the spare pool can do without one more instance.
func (l *Lender) canLend(spare *member) bool {
	left := spare.have - spare.going - 1
	return left >= l.floor && left >= l.need(spare)
}

func (l *Lender) shortest(now time.Time) *member {
	var best *member
	most := 0
	for _, m := range l.sorted() {
		missing := l.need(m) - m.have - m.coming + m.going
		if m.name != l.spare && missing > most && held(m.short, l.opts.sustain, now) {
			best, most = m, missing
		}
	}
	return best
}

// takeBack returns lent instances of pools that have been calm for long enough, one a pool at a time.
func (l *Lender) takeBack(out []Effect, now time.Time) []Effect {
	spare := l.members[l.spare]
	if spare == nil {
		return out
	}
	for _, m := range l.sorted() {
		if m.lent == 0 || m.going > 0 || m.coming > 0 || !held(m.calm, l.opts.rest, now) || !mayMove(m, spare) {
			continue
		}
		m.lent--
		m.calm = time.Time{}
		out = append(out, l.move(m, spare, "the pool can do without it"))
	}
	return out
}

// mayMove tells whether one more move keeps both availability budgets: the instance counts as
// out in the pool that it leaves and, until it serves, in the one that it joins.
func mayMove(from, to *member) bool {
	return from.planned() < from.limit && to.planned() < to.limit
}

// planned returns the instances that are out, for moves and other causes.
func (m *member) planned() int {
	return m.out + m.going + m.coming
}

func (l *Lender) move(from, to *member, why string) Move {
	from.going++
	to.coming++
	return Move{From: from.name, To: to.name, Why: why}
}

func (l *Lender) sorted() []*member {
	ms := make([]*member, 0, len(l.members))
	for _, m := range l.members {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	return ms
}

// Lent returns the instances that a pool has from the spare pool, moves to it included.
func (l *Lender) Lent(pool string) int {
	if m := l.members[pool]; m != nil {
		return m.lent
	}
	return 0
}
