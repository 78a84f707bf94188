package sched

import (
	"slices"
	"time"
)

// fits tells whether a runner may take a run of the task now.
func (p *Pool) fits(now time.Time, r *runner, t *task) bool {
	s := t.step
	if !r.takes(now) || !r.labelled(s.spec.RequiredLabel) {
		return false
	}
	if _, ok := p.reserved[r]; ok {
		return false
	}
	if !s.spec.BestEffort && !s.spec.Resources.Fits(r.free()) {
		return false
	}
	if s.spec.MaxPerRunner > 0 && r.count(s) >= s.spec.MaxPerRunner {
		return false
	}
	return s.approves(now, r)
}

// approves tells whether the policy service lets the step run on the runner.
func (s *step) approves(now time.Time, r *runner) bool {
	if s.job.queue.Advice == nil {
		return true
	}
	k, ok := s.tickets[r.ID]
	return ok && k.text != "" && k.born == r.Born && now.Before(k.till)
}

// choose returns the runner for the next run of a task, or nil.
func (p *Pool) choose(now time.Time, t *task) *runner {
	rack := p.rackOf(now, t.step)
	stay := p.keeping && t.step.spec.LongRunning
	var best *runner
	var least [5]int64
	for _, r := range p.runners {
		if !p.fits(now, r, t) {
			continue
		}
		var c [5]int64 // by the name alone
		if p.way != FIFO {
			c = cost(r, t, rack)
		}
		if stay && !r.keep {
			c[2]++
		}
		if best == nil || slices.Compare(c[:], least[:]) < 0 || (c == least && r.ID < best.ID) {
			best, least = r, c
		}
	}
	return best
}

// cost ranks a runner for a task: what is against it, its distance from the data, its speed, how it is used, and what would be left.
func cost(r *runner, t *task, rack string) [5]int64 {
	s := t.step.spec
	var c [5]int64
	if slices.Contains(t.bad, r.ID) {
		c[0] += 2
	}
	if r.health.suspect() {
		c[0]++
	}
	if rack != "" && r.rack() != rack {
		c[1] = 1
	}
	if r.health.slow > slowFactor {
		c[2] = 1
	}
	left := r.free().CPU - s.Resources.CPU
	switch {
	case s.BestEffort:
		// What fills goes where the fewest serve, then where the most is left.
		c[3] = int64(r.serving())*16 + int64(r.filling())
		c[4] = -r.free().CPU
	case s.LongRunning:
		// What lasts is spread: the loss of a runner, or its upkeep, then takes little away.
		c[3] = int64(r.lasting())
		if r.due {
			c[2]++
		}
		c[4] = -left
	default:
		// The tightest fit keeps room for large tasks elsewhere.
		c[4] = left
	}
	return c
}

func (r *runner) serving() int {
	n := 0
	for x := range r.runs {
		if x.task.step.spec.LatencyTarget > 0 {
			n++
		}
	}
	return n
}

func (r *runner) filling() int {
	n := 0
	for x := range r.runs {
		if x.task.step.spec.BestEffort {
			n++
		}
	}
	return n
}

func (r *runner) lasting() int {
	n := 0
	for x := range r.runs {
		if x.task.step.spec.LongRunning && !x.task.step.spec.BestEffort {
			n++
		}
	}
	return n
}

// rackOf returns the rack on which a step's tasks run best, or "".
func (p *Pool) rackOf(now time.Time, s *step) string {
	if s.spec.PreferredRack != "" {
		return s.spec.PreferredRack
	}
	if !s.spec.SameRack {
		return ""
	}
	for _, t := range s.tasks {
		for _, x := range t.runs {
			return x.r.rack()
		}
	}
	return p.roomiest(now, s)
}

// roomiest returns the rack that has room for most of the step's waiting tasks.
func (p *Pool) roomiest(now time.Time, s *step) string {
	fit := map[string]int64{}
	for _, r := range p.runners {
		if !r.takes(now) || !r.labelled(s.spec.RequiredLabel) || !s.approves(now, r) {
			continue
		}
		fit[r.rack()] += fitting(r, s)
	}
	best, most := "", int64(0)
	for rack, n := range fit {
		if n > most || (n == most && rack < best) {
			best, most = rack, n
		}
	}
	return best
}

// fitting returns how many tasks of the step the runner has room for.
func fitting(r *runner, s *step) int64 {
	free, need := r.free(), s.spec.Resources
	n := int64(s.wait)
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
		n = min(n, int64(s.spec.MaxPerRunner-r.count(s)))
	}
	return max(0, n)
}
