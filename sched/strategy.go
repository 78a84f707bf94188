package sched

import "cmp"

// Strategy is how the scheduler decides what starts first and where.
type Strategy int

// The ways; all but DeadlineAware are there to compare with.
const (
	DeadlineAware Strategy = iota // as many in time as possible, on the runner that fits best
	LatestStart                   // by the latest start, without regard to what can't be in time beside the rest
	FIFO                          // first come first served, on the first runner that fits
)

// Strategies are the ways by their names.
var Strategies = map[string]Strategy{"now": DeadlineAware, "urgent": LatestStart, "first": FIFO}

// WithStrategy sets how the pool decides.
func WithStrategy(w Strategy) Option {
	return func(p *Pool) { p.way = w }
}

// firstCome orders by the time of acceptance alone.
func firstCome(a, b candidate) int {
	x, y := a.step.job, b.step.job
	if c := x.accepted.Compare(y.accepted); c != 0 {
		return c
	}
	return cmp.Compare(x.id, y.id)
}
