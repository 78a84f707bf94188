package sched

import (
	"slices"
	"strings"
	"time"
)

// SetEvacuating tells that a runner is to become empty, or needn't any more.
func (p *Pool) SetEvacuating(id string, on bool) {
	if r, ok := p.runners[id]; ok {
		r.evacuate = on
	}
}

// SetMaintenanceDue tells that a runner's machine will have to become empty soon, or won't any more; what lasts rather goes elsewhere.
func (p *Pool) SetMaintenanceDue(id string, on bool) {
	if r, ok := p.runners[id]; ok {
		r.due = on
	}
}

// busyShare is the share of a pool's processors in use from which it counts as busy.
const busyShare = 0.7

// Availability returns how many runners take work and whether the pool is busy.
func (p *Pool) Availability(now time.Time) (int, bool) {
	n := 0
	var used, room int64
	for _, r := range p.runners {
		if r.takes(now) {
			n++
			used += r.used.CPU
			room += r.Room.CPU
		}
	}
	return n, p.waiting() || float64(used) > busyShare*float64(room)
}

// waiting tells whether a task of a job that has begun, or could, waits for room.
func (p *Pool) waiting() bool {
	for _, j := range p.live {
		if j.state.Final() {
			continue
		}
		for _, t := range j.turns {
			for _, s := range t.steps {
				if s.wait > 0 && !s.spec.LongRunning && s.turn.due.IsZero() && s.ready(time.Time{}) {
					return true
				}
			}
		}
	}
	return false
}

// RunnerEmpty tells whether nothing of ours runs on a runner; it is false as long as that isn't known.
func (p *Pool) RunnerEmpty(id string) bool {
	r, ok := p.runners[id]
	if !ok {
		return true
	}
	return r.known && r.resolved() && len(r.runs) == 0
}

// evacuate moves what lasts away from runners that leave, within the budget of its steps.
func (p *Pool) evacuate(now time.Time) {
	for _, r := range p.ordered() {
		if !r.evacuate && !r.Draining {
			continue
		}
		for _, x := range r.sorted() {
			if x.phase == running && (x.task.step.spec.LongRunning || x.task.step.spec.Checkpointing) && p.mayMove(now, r, x) {
				x.stop("its runner is to be emptied")
			}
		}
	}
}

// mayMove tells whether a run that lasts may be stopped to start elsewhere.
func (p *Pool) mayMove(now time.Time, r *runner, x *run) bool {
	s := x.task.step
	if !p.elsewhere(now, x) || (s.spec.Gang && !s.spec.LongRunning) {
		return false
	}
	// On a runner that drains the task ends in any case; moving it early costs nothing more.
	if r.Draining || !s.spec.LongRunning || !s.spec.HasMaxUnavailable {
		return true
	}
	return s.away(now, x.task) < s.spec.MaxUnavailable
}

// away returns how many tasks of the step besides one aren't at work.
func (s *step) away(now time.Time, besides *task) int {
	n := 0
	for _, t := range s.tasks {
		if t != besides && !t.atWork(now) {
			n++
		}
	}
	return n
}

// ordered returns the runners by their IDs, so that equal inputs give equal orders.
func (p *Pool) ordered() []*runner {
	list := make([]*runner, 0, len(p.runners))
	for _, r := range p.runners {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *runner) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// sorted returns the runner's runs by their tasks' names.
func (r *runner) sorted() []*run {
	list := make([]*run, 0, len(r.runs))
	for x := range r.runs {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *run) int {
		x, y := a.task.name, b.task.name
		if x.Job != y.Job {
			return strings.Compare(string(x.Job), string(y.Job))
		}
		if x.Occurrence != y.Occurrence {
			return x.Occurrence - y.Occurrence
		}
		if x.Step != y.Step {
			return x.Step - y.Step
		}
		return x.Index - y.Index
	})
	return list
}
