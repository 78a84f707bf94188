package sched

import "cmp"

// Strategy is the rule by which the scheduler orders and places steps.
type Strategy int

// The strategies. All but DeadlineAware are baselines for comparison.
const (
	DeadlineAware Strategy = iota // as many jobs on time as possible, on the best-fitting runner
	LatestStart                   // by latest start, without shedding excess load
	FIFO                          // by acceptance, on the first runner that fits
	GoAtOnce                      // as DeadlineAware, but no task waits for a rack
	SingleRuns                    // as DeadlineAware, but slow runs are stopped instead of copied
	WaitAlways                    // as DeadlineAware, but tasks wait for their racks as long as these have runners
)

// Strategies maps names to strategies.
var Strategies = map[string]Strategy{"now": DeadlineAware, "urgent": LatestStart, "first": FIFO, "direct": GoAtOnce, "always": WaitAlways, "single": SingleRuns}

// shedsLoad reports whether excess load is shed.
func (s Strategy) shedsLoad() bool { return s != LatestStart && s != FIFO }

// WithStrategy sets the strategy; DeadlineAware is the default.
func WithStrategy(s Strategy) Option {
	return func(p *Pool) { p.strategy = s }
}

// compareFIFO orders candidates by time of acceptance, then by job ID.
func compareFIFO(a, b candidate) int {
	jobA, jobB := a.step.job, b.step.job
	if c := jobA.accepted.Compare(jobB.accepted); c != 0 {
		return c
	}
	return cmp.Compare(jobA.id, jobB.id)
}
