package sched

import "cmp"

// Way is how the scheduler decides what starts first and where.
type Way int

// The ways; all but Now are there to compare with.
const (
	Now    Way = iota // as many in time as possible, on the runner that fits best
	Urgent            // by the latest start, without regard to what can't be in time beside the rest
	First             // first come first served, on the first runner that fits
)

// Ways are the ways by their names.
var Ways = map[string]Way{"now": Now, "urgent": Urgent, "first": First}

// WithWay sets how the pool decides.
func WithWay(w Way) Option {
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
