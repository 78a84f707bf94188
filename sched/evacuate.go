package sched

import (
	"slices"
	"strings"
	"time"
)

// drainLead is how long before a runner's exit what lasts there is moved: a stop and a start elsewhere.
const drainLead = 1500 * time.Millisecond

// Evacuate tells that a runner is to become empty, or needn't any more.
func (p *Pool) Evacuate(id string, on bool) {
	if r, ok := p.runners[id]; ok {
		r.evacuate = on
	}
}

// Empty tells whether nothing of ours runs on a runner; it is false as long as that isn't known.
func (p *Pool) Empty(id string) bool {
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
			if x.phase == running && x.task.step.spec.Lasts && p.mayMove(now, r, x) {
				x.stop("its runner is to be emptied")
			}
		}
	}
}

// mayMove tells whether a run that lasts may be stopped to start elsewhere.
func (p *Pool) mayMove(now time.Time, r *runner, x *run) bool {
	s := x.task.step
	if !p.elsewhere(now, x) {
		return false
	}
	// On a runner that drains the task ends in any case; moving it early costs nothing more.
	if r.Draining || !s.spec.Bounded {
		return true
	}
	return s.away(x.task) < s.spec.Miss
}

// away returns how many tasks of the step besides one aren't at work.
func (s *step) away(besides *task) int {
	n := 0
	for _, t := range s.tasks {
		if t != besides && !t.atWork() {
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
		if x.Turn != y.Turn {
			return x.Turn - y.Turn
		}
		if x.Step != y.Step {
			return x.Step - y.Step
		}
		return x.Index - y.Index
	})
	return list
}
