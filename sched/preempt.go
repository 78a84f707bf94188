package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumlead/work"
)

// maxPreemptions limits how many runs may be stopped to make room for one task.
const maxPreemptions = 16

// roomMadeFor is how long the room of stopped runs is kept for the step that they were stopped for: the stops have arrived, and
// a poll has listed the ends.
const roomMadeFor = time.Second

// madeRoom is where runs were stopped for a step, and how many places that gives it on each runner.
type madeRoom struct {
	places map[*runner]int64
	until  time.Time
}

// preempt stops less urgent runs for a step that found no room, on the runner where the fewest have to stop, or for a gang on the
// runners where it finds room for all of its members. Runs that lose the least work go first; those with checkpoints lose
// none. It stops none if the step couldn't start in their room.
func (p *Pool) preempt(now time.Time, s *step) {
	if now.Before(s.madeRoom.until) {
		p.keepMadeRoom(s)
		return
	}
	if s.job.queue.Priority >= p.leastUrgentPriority {
		return // no preemptible run is less urgent
	}
	if p.roomBeingFreed(now, s) {
		return // runs stopped before are still ending
	}
	evictions := p.evictionsFor(now, s)
	if len(evictions) == 0 {
		return
	}
	s.madeRoom = madeRoom{places: map[*runner]int64{}, until: now.Add(roomMadeFor)}
	for _, e := range evictions {
		for _, run := range e.runs[:e.chosen] {
			run.stop("makes room for more urgent work")
		}
		s.madeRoom.places[e.runner] = e.places(s)
	}
	p.keepMadeRoom(s)
}

// keepMadeRoom reserves the room that was made for a step.
func (p *Pool) keepMadeRoom(s *step) {
	for r, places := range s.madeRoom.places {
		if _, taken := p.reserved[r]; !taken {
			p.reserved[r] = reservation{kept: multiply(s.spec.Resources, places)}
		}
	}
}

// eviction is a runner's room for a step if the chosen ones of its less urgent runs stop.
type eviction struct {
	runner *runner
	free   work.Resources
	runs   []*taskRun // least lost work first
	chosen int        // of the runs, the first ones
}

// places returns for how many tasks of the step there is room.
func (e *eviction) places(s *step) int64 { return countFittingInto(e.free, e.runner, s) }

// next returns how many more runs have to stop for one more place, or 0 if stopping up to maxPreemptions isn't enough.
func (e *eviction) next(s *step) int {
	places, free := e.places(s), e.free
	for i, run := range e.runs[e.chosen:] {
		if i == maxPreemptions {
			break
		}
		free = free.Add(run.task.step.spec.Resources)
		if countFittingInto(free, e.runner, s) > places {
			return i + 1
		}
	}
	return 0
}

// choose chooses the next n runs.
func (e *eviction) choose(n int) {
	for _, run := range e.runs[e.chosen : e.chosen+n] {
		e.free = e.free.Add(run.task.step.spec.Resources)
	}
	e.chosen += n
}

// evictionsFor returns the runners on which a step gets the places that it needs, with the runs to stop there. It returns none if
// there aren't enough places, or if there are enough without stopping any run: the step waits for something else then.
func (p *Pool) evictionsFor(now time.Time, s *step) []*eviction {
	need := int64(s.placesNeeded())
	var list []*eviction
	places := int64(0)
	for _, r := range p.runners {
		if p.mayEvict(now, r, s) {
			e := &eviction{runner: r, free: r.free()}
			list = append(list, e)
			places += e.places(s)
		}
	}
	if places >= need {
		return nil
	}
	for _, e := range list {
		e.runs = e.evictable(s)
	}
	for ; places < need; places++ {
		var best *eviction
		fewest := 0
		for _, e := range list {
			if n := e.next(s); n > 0 && (best == nil || n < fewest || (n == fewest && e.runner.ID < best.runner.ID)) {
				best, fewest = e, n
			}
		}
		if best == nil {
			return nil
		}
		best.choose(fewest)
	}
	return slices.DeleteFunc(list, func(e *eviction) bool { return e.places(s) == 0 })
}

// mayEvict reports whether the step could start on the runner in the room of runs that are stopped there.
func (p *Pool) mayEvict(now time.Time, r *runner, s *step) bool {
	if _, reserved := p.reserved[r]; reserved || r.trials > 0 {
		return false
	}
	return r.schedulable(now) && !r.keptFrom(s.job, now) && r.allows(now, s)
}

// evictable returns the runner's runs that may be stopped for the step, least lost work first. It returns none if stopping all of
// them gives no further place.
func (e *eviction) evictable(s *step) []*taskRun {
	var runs []*taskRun
	free := e.free
	for run := range e.runner.runs {
		if run.preemptible() && run.task.step.job.queue.Priority > s.job.queue.Priority {
			runs = append(runs, run)
			free = free.Add(run.task.step.spec.Resources)
		}
	}
	if countFittingInto(free, e.runner, s) <= e.places(s) {
		return nil
	}
	slices.SortFunc(runs, func(a, b *taskRun) int {
		if c := cmp.Compare(lostWork(a), lostWork(b)); c != 0 {
			return c
		}
		return cmp.Compare(a.task.name.String(), b.task.name.String())
	})
	return runs
}

// leastUrgent returns the largest priority number among the preemptible runs, or math.MinInt if there are none or all
// jobs are equally urgent.
func (p *Pool) leastUrgent() int {
	largest := math.MinInt
	if !p.hasPriorities() {
		return largest
	}
	for _, r := range p.runners {
		for run := range r.runs {
			if run.preemptible() {
				largest = max(largest, run.task.step.job.queue.Priority)
			}
		}
	}
	return largest
}

// hasPriorities reports whether the live jobs differ in priority.
func (p *Pool) hasPriorities() bool {
	for _, j := range p.live {
		if j.queue.Priority != p.live[0].queue.Priority {
			return true
		}
	}
	return false
}

// preemptible reports whether a run may be stopped to make room.
func (r *taskRun) preemptible() bool {
	s := r.task.step.spec
	return r.phase == running && !s.BestEffort && !s.LongRunning
}

// roomBeingFreed reports whether stopping runs are about to free enough room for a task of the step on some runner that may run
// it.
func (p *Pool) roomBeingFreed(now time.Time, s *step) bool {
	for _, r := range p.runners {
		free := r.free()
		for run := range r.runs {
			if run.phase == stopping {
				free = free.Add(run.task.step.spec.Occupied())
			}
		}
		if free != r.free() && s.spec.Resources.Fits(free) && r.schedulable(now) && r.allows(now, s) {
			return true
		}
	}
	return false
}

// lostWork returns the work in core-milliseconds that is lost if a run is stopped.
func lostWork(run *taskRun) int64 {
	if run.task.step.spec.Checkpointing {
		return 0
	}
	return int64(run.percent) * run.task.step.spec.Estimate.Milliseconds() * run.task.step.spec.Resources.CPU / 100_000
}
