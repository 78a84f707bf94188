package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// displaceMost is how many runs one pass may stop to make room.
const displaceMost = 16

// displace stops less urgent work for a step that found no room; what has a checkpoint goes first.
func (p *Pool) displace(now time.Time, s *step) {
	if s.job.queue.Priority >= p.lowest {
		return // nothing that runs is less urgent
	}
	if p.stoppingRoom(s) {
		return // what was stopped before is still on its way out
	}
	var best *runner
	var victims []*run
	for _, r := range p.runners {
		if !r.takes(now) || !r.labelled(s.spec.RequiredLabel) || !s.approves(now, r) || (s.spec.MaxPerRunner > 0 && r.count(s) >= s.spec.MaxPerRunner) {
			continue
		}
		v, ok := p.victims(r, s)
		if ok && (best == nil || len(v) < len(victims)) {
			best, victims = r, v
		}
	}
	if best == nil {
		return
	}
	for _, x := range victims {
		x.stop("makes room for more urgent work")
	}
	p.reserved[best] = struct{}{}
}

// leastUrgent returns the largest number of priority among the runs that may be displaced, or the least number there is.
func (p *Pool) leastUrgent() int {
	lowest := math.MinInt
	for _, r := range p.runners {
		for x := range r.runs {
			if x.displaceable() {
				lowest = max(lowest, x.task.step.job.queue.Priority)
			}
		}
	}
	return lowest
}

// displaceable tells whether a run may be stopped to make room.
func (x *run) displaceable() bool {
	s := x.task.step.spec
	return x.phase == running && !s.BestEffort && !s.LongRunning
}

// stoppingRoom tells whether enough room for a task of the step is about to become free somewhere.
func (p *Pool) stoppingRoom(s *step) bool {
	for _, r := range p.runners {
		free := r.free()
		for x := range r.runs {
			if x.phase == stopping && !x.task.step.spec.BestEffort {
				free = free.Add(x.task.step.spec.Resources)
			}
		}
		if free != r.free() && s.spec.Resources.Fits(free) {
			return true
		}
	}
	return false
}

// victims returns the least that has to be stopped on a runner for a task of the step; ok is false where that isn't enough or nothing.
func (p *Pool) victims(r *runner, s *step) ([]*run, bool) {
	var list []*run
	for x := range r.runs {
		v := x.task.step
		if x.displaceable() && v.job.queue.Priority > s.job.queue.Priority {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *run) int {
		if c := cmp.Compare(loss(a), loss(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.task.name.String(), b.task.name.String())
	})
	free := r.free()
	for i, x := range list {
		if i == displaceMost {
			break
		}
		free = free.Add(x.task.step.spec.Resources)
		if s.spec.Resources.Fits(free) {
			return list[:i+1], true
		}
	}
	return nil, false
}

// loss is the work in core-milliseconds that stopping a run throws away.
func loss(x *run) int64 {
	if x.task.step.spec.Checkpointing {
		return 0
	}
	return int64(x.percent) * x.task.step.spec.Estimate.Milliseconds() * x.task.step.spec.Resources.CPU / 100_000
}
