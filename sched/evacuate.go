package sched

import (
	"slices"
	"strings"
	"time"
)

// SetEvacuating sets whether a runner is being evacuated: it gets no new runs, and those that can move restart
// elsewhere.
func (p *Pool) SetEvacuating(id string, on bool) {
	if r, ok := p.runners[id]; ok {
		r.evacuating = on
	}
}

// SetMaintenanceDue sets whether a runner has to be evacuated for maintenance soon. Long-running tasks prefer other
// runners then.
func (p *Pool) SetMaintenanceDue(id string, on bool) {
	if r, ok := p.runners[id]; ok {
		r.maintenanceDue = on
	}
}

// stopDelivery is the time after which an order to stop a run has reached its runner, or was held up.
const stopDelivery = 600 * time.Millisecond

// busyUtilization is the share of a pool's CPU in use above which the pool is busy.
const busyUtilization = 0.7

// Availability returns the number of schedulable runners and whether the pool is busy: tasks wait for room or CPU
// utilization is high.
func (p *Pool) Availability(now time.Time) (int, bool) {
	schedulable := 0
	for _, r := range p.runners {
		if r.schedulable(now) {
			schedulable++
		}
	}
	return schedulable, p.hasWaitingTasks() || p.busy(now)
}

// busy reports whether the CPU utilization of the pool's schedulable runners is high.
func (p *Pool) busy(now time.Time) bool {
	var used, room int64
	for _, r := range p.runners {
		if r.schedulable(now) {
			used += r.used.CPU
			room += r.Room.CPU
		}
	}
	return float64(used) > busyUtilization*float64(room)
}

// hasWaitingTasks reports whether a ready task waits for room, other than in its preferred rack only. Long-running steps
// and occurrences with a start time don't count.
func (p *Pool) hasWaitingTasks() bool {
	for _, j := range p.live {
		if j.state.Final() {
			continue
		}
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				if s.waiting > s.awaiting && !s.spec.LongRunning && s.occurrence.due.IsZero() && s.ready(time.Time{}) && !p.heldByCap(s) {
					return true
				}
			}
		}
	}
	return false
}

// RunnerEmpty reports whether a runner certainly has no runs of this pool. It returns true for a runner that the pool
// doesn't have, and false while the runner hasn't listed its runs yet.
func (p *Pool) RunnerEmpty(id string) bool {
	r, ok := p.runners[id]
	if !ok {
		return true
	}
	return r.known && r.resolved() && len(r.runs) == 0
}

// evacuate stops long-running and checkpointing runs on evacuating and draining runners, so that they restart
// elsewhere, within MaxUnavailable of their steps.
func (p *Pool) evacuate(now time.Time) {
	for _, r := range p.runnersWhere(func(r *runner) bool { return r.evacuating || r.Draining }) {
		for _, run := range r.sortedRuns() {
			if run.phase == running && (run.task.step.spec.LongRunning || run.task.step.spec.Checkpointing) && p.mayMove(now, r, run) {
				run.stopToMove(now)
			}
		}
	}
}

// stopToMove stops a run so that it restarts on another runner.
func (r *taskRun) stopToMove(now time.Time) {
	if s := r.task.step; s.spec.LongRunning && s.spec.HasMaxUnavailable {
		r.stopDetail = s.describeOthers(now, r.task)
	}
	r.movedAt = now
	r.stop("its runner is to be emptied")
}

// moving reports whether a task of the step is being stopped to move from a runner that isn't draining. The allowance was spent
// on it, and orders to other runners may overtake its stop.
func (p *Pool) moving(now time.Time, s *step) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		return slices.ContainsFunc(t.runs, func(run *taskRun) bool {
			return run.phase == stopping && !run.runner.Draining && now.Sub(run.movedAt) < stopDelivery+p.stopTime
		})
	})
}

// mayMove reports whether a run may be stopped to restart on another runner.
func (p *Pool) mayMove(now time.Time, r *runner, run *taskRun) bool {
	s := run.task.step
	if !p.fitsElsewhere(now, run) || (s.spec.Gang && !s.spec.LongRunning) {
		return false
	}
	if !s.spec.LongRunning || !s.spec.HasMaxUnavailable {
		return true
	}
	if r.Draining { // the task ends in any case; moving it early costs nothing more
		return !p.moving(now, s)
	}
	return s.countUnavailable(now, run.task) < s.spec.MaxUnavailable
}

// sortedRunners returns the runners sorted by ID, so that equal inputs give equal orders.
func (p *Pool) sortedRunners() []*runner {
	return p.runnersWhere(func(*runner) bool { return true })
}

// runnersWhere returns the runners that meet a condition, sorted by ID.
func (p *Pool) runnersWhere(condition func(*runner) bool) []*runner {
	var list []*runner
	for _, r := range p.runners {
		if condition(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *runner) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// sortedRuns returns the runner's runs sorted by task name.
func (r *runner) sortedRuns() []*taskRun {
	list := make([]*taskRun, 0, len(r.runs))
	for run := range r.runs {
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b *taskRun) int {
		nameA, nameB := a.task.name, b.task.name
		if nameA.Job != nameB.Job {
			return strings.Compare(string(nameA.Job), string(nameB.Job))
		}
		if nameA.Occurrence != nameB.Occurrence {
			return nameA.Occurrence - nameB.Occurrence
		}
		if nameA.Step != nameB.Step {
			return nameA.Step - nameB.Step
		}
		return nameA.Index - nameB.Index
	})
	return list
}
