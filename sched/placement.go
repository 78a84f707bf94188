package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// fits reports whether a runner can take a run of the task now.
func (p *Pool) fits(now time.Time, r *runner, t *task) bool {
	return p.hasRoom(now, r, t) && r.keepsTrialsApart(t) && !r.keptFrom(t.step.job, now)
}

// hasRoom reports whether a runner has room for a run of the task now and is allowed to run it.
func (p *Pool) hasRoom(now time.Time, r *runner, t *task) bool {
	s := t.step
	if !r.schedulable(now) || !s.spec.Occupied().Fits(r.free()) || p.reservedFrom(r, s) || !r.allows(now, s) {
		return false
	}
	if !p.storeAvailable && (!s.job.placements.stored(r.ID) || t.isSuspect()) {
		return false // the start would have to wait for the store
	}
	return true
}

// approvedOn reports whether the policy service allows the step on the runner.
func (s *step) approvedOn(now time.Time, r *runner) bool {
	if s.job.queue.Advice == nil {
		return true
	}
	a, ok := s.approvals[r.ID]
	return ok && a.ticket != "" && a.born == r.Born && now.Before(a.validUntil)
}

// chooseRunner returns the runner for the next run of a task, or nil.
func (p *Pool) chooseRunner(now time.Time, t *task) *runner {
	rack := p.rackFor(now, t.step)
	preferRetained := p.retaining && t.step.spec.LongRunning
	var best *runner
	var bestCost [5]int64
	for _, r := range p.runners {
		if !p.fits(now, r, t) {
			continue
		}
		var c [5]int64 // zero for FIFO, which takes the first runner by ID
		if p.strategy != FIFO {
			c = cost(r, t, rack)
		}
		if preferRetained && !r.retained {
			c[2]++
		}
		if best == nil || slices.Compare(c[:], bestCost[:]) < 0 || (c == bestCost && r.ID < best.ID) {
			best, bestCost = r, c
		}
	}
	return best
}

// cost ranks a runner for a task, lower is better. Its elements are, in order of importance: failures on the runner,
// whether it is outside the preferred rack, slowness and upcoming maintenance, runs of the same kind, and the CPU that
// would be left.
func cost(r *runner, t *task, rack string) [5]int64 {
	s := t.step.spec
	var c [5]int64
	if slices.Contains(t.failedOn, r.ID) {
		c[0] += 2
	}
	if r.health.suspect() {
		c[0]++
	}
	if rack != "" && r.rack() != rack {
		c[1] = 1
	}
	if r.health.slowdown > stragglerFactor {
		c[2] = 1
	}
	left := r.free().CPU - s.Resources.CPU
	switch {
	case t.isSuspect():
		// Where the fewest tasks are lost if the suspect crashes the runner.
		c[3] = int64(r.countLongRunning())
		c[4] = r.used.CPU
	case s.BestEffort:
		// Best-effort tasks go where the fewest serving tasks are, then where the most room is free.
		c[3] = int64(r.countServing())*16 + int64(r.countBestEffort())
		c[4] = -r.free().CPU
	case s.LongRunning:
		// Long-running tasks are spread, so that the loss or maintenance of a runner affects few of them.
		c[3] = int64(r.countLongRunning())
		if r.maintenanceDue {
			c[2]++
		}
		c[4] = -left
	default:
		// The tightest fit leaves room for large tasks on other runners.
		c[4] = left
	}
	return c
}

// countServing returns the number of runs with a latency target.
func (r *runner) countServing() int {
	n := 0
	for run := range r.runs {
		if run.task.step.spec.LatencyTarget > 0 {
			n++
		}
	}
	return n
}

// countBestEffort returns the number of best-effort runs.
func (r *runner) countBestEffort() int {
	n := 0
	for run := range r.runs {
		if run.task.step.spec.BestEffort {
			n++
		}
	}
	return n
}

// countLongRunning returns the number of long-running runs that aren't best-effort.
func (r *runner) countLongRunning() int {
	n := 0
	for run := range r.runs {
		if run.task.step.spec.LongRunning && !run.task.step.spec.BestEffort {
			n++
		}
	}
	return n
}

// rackFor returns the preferred rack for a step's tasks, or "".
func (p *Pool) rackFor(now time.Time, s *step) string {
	if s.spec.PreferredRack != "" {
		return s.spec.PreferredRack
	}
	if !s.spec.SameRack {
		return ""
	}
	for _, t := range s.tasks {
		for _, run := range t.runs {
			return run.runner.rack()
		}
	}
	if s.home != "" {
		return s.home
	}
	return p.roomiestRack(now, s)
}

// roomiestRack returns the rack that has room for the most waiting tasks of the step.
func (p *Pool) roomiestRack(now time.Time, s *step) string {
	fitting := map[string]int64{}
	for _, r := range p.runners {
		if !r.schedulable(now) || !r.hasLabel(s.spec.RequiredLabel) || !s.approvedOn(now, r) {
			continue
		}
		fitting[r.rack()] += countFitting(r, s)
	}
	best, bestCount := "", int64(0)
	for rack, n := range fitting {
		if n > bestCount || (n == bestCount && rack < best) {
			best, bestCount = rack, n
		}
	}
	return best
}

// countFitting returns how many waiting tasks of the step the runner has room for.
func countFitting(r *runner, s *step) int64 { return countFittingInto(r.free(), r, s) }

// countFittingInto returns how many waiting tasks of the step fit into the given room of the runner.
func countFittingInto(free work.Resources, r *runner, s *step) int64 {
	return placesIn(free, r, s, s.waiting)
}

// placesIn returns how many more tasks of the step, up to a limit, fit into the given room of the runner.
func placesIn(free work.Resources, r *runner, s *step, limit int) int64 {
	need := s.spec.Resources
	n := int64(limit)
	if need.CPU > 0 {
		n = min(n, free.CPU/need.CPU)
	}
	if need.Mem > 0 {
		n = min(n, free.Mem/need.Mem)
	}
	if need.GPU > 0 {
		n = min(n, free.GPU/need.GPU)
	}
	if s.spec.MaxPerRunner > 0 {
		n = min(n, int64(s.spec.MaxPerRunner-r.countRuns(s)))
	}
	return max(0, n)
}
