package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// Plan returns the orders for the present state; wall is the time of day, by which occurrences become due.
// confirmed states that nobody else can have acquired leadership. Without it no run counts as ended because its
// runner is silent, tasks whose runs are abandoned meanwhile are not restarted, and runners that restart meanwhile
// get no work: a later leader may have continued those tasks or used those runners.
func (p *Pool) Plan(now, wall time.Time, confirmed bool) []Order {
	p.orders = nil
	p.leadershipConfirmed = confirmed
	p.shares.classifyRestored()
	p.charge(now)
	if confirmed {
		p.releaseHeld()
		p.expire(now)
	}
	p.assessRuns(now)
	p.evacuate(now)
	p.stopUnwanted()
	p.measureWorkspaces()
	p.beginHoldUps()
	p.releaseAcks()
	p.withdrawPlanned(now)
	p.placeAll(now, wall)
	p.orderPlanned(now)
	p.sendStops(now)
	p.paceAll(now)
	p.check(now)
	p.counts.count(p.orders)
	return p.orders
}

// releaseHeld releases the tasks and runners that were held while leadership wasn't confirmed.
func (p *Pool) releaseHeld() {
	for t := range p.heldTasks {
		t.held = false
	}
	clear(p.heldTasks)
	for _, r := range p.runners {
		r.held = false
	}
}

// stopUnwanted marks the runs of final jobs and of done tasks as stopping.
func (p *Pool) stopUnwanted() {
	for _, j := range p.live {
		if !j.state.Final() {
			continue
		}
		j.eachTask(func(t *task) {
			for _, run := range t.runs {
				run.stop("the job is " + string(j.state))
			}
		})
	}
	for t := range p.doneWithRuns {
		for _, run := range t.runs {
			run.stop("the task is done")
		}
		if len(t.runs) == 0 {
			delete(p.doneWithRuns, t)
		}
	}
	p.prune()
}

// sendStops orders stops for stopping runs and for orphans, and repeats those that weren't answered.
func (p *Pool) sendStops(now time.Time) {
	for _, r := range p.runners {
		for run := range r.runs {
			if run.phase != stopping || !run.stopAckedAt.IsZero() || now.Sub(run.stopSentAt) < stopRetryInterval {
				continue
			}
			run.stopSentAt = now
			p.orders = append(p.orders, Stop{p.target(r), run.task.name, run.number, run.stopReason, run.stopDetail})
		}
	}
	for o, stopSentAt := range p.orphans {
		r, ok := p.runners[o.runner]
		if !ok {
			delete(p.orphans, o)
			continue
		}
		if now.Sub(stopSentAt) < stopRetryInterval {
			continue
		}
		p.orphans[o] = now
		p.orders = append(p.orders, Stop{p.target(r), o.task, o.run, "nobody wants it", ""})
	}
}

// placeAll starts the tasks that can start, most urgent first.
func (p *Pool) placeAll(now, wall time.Time) {
	clear(p.reserved)
	p.unplaceable = p.unplaceable[:0]
	p.resetWaits(now)
	if !p.startsAllowed {
		return
	}
	p.leastUrgentPriority = p.leastUrgent()
	reserved := 0
	var blocked blockage
	candidates := p.candidates(now, wall)
	defer p.noteWaiting(candidates)
	p.prepareOutlook(now, candidates)
	for _, c := range candidates {
		if p.heldByCap(c.step) {
			p.holdUp(c.step)
			continue
		}
		if !p.ensureApproved(now, c.step) {
			continue
		}
		placed := p.placeStep(now, c.step)
		if !placed && p.heldByCap(c.step) {
			p.holdUp(c.step)
			continue
		}
		blocked.note(c, placed, func() bool { return p.placeableInTime(now, c.step) })
		if placed || c.step.spec.BestEffort {
			continue
		}
		p.noteTurnedAway(now, c.step)
		if !p.storeAvailable {
			continue // it may be the store that it waits for, which no room would change
		}
		p.preempt(now, c.step)
		if reserved < maxReservations && p.reserve(now, c.step) {
			reserved++
		}
	}
	p.startCopies(now, blocked)
}

// placeStep starts the step's tasks as far as there is room, and reports whether it found room for all but those that wait
// for a rack.
func (p *Pool) placeStep(now time.Time, s *step) bool {
	if s.spec.Gang {
		return p.placeGang(now, s)
	}
	if !slices.ContainsFunc(s.tasks, (*task).wantsRun) {
		return true
	}
	if !p.mayFit(now, s.spec) {
		return false
	}
	p.chooseHome(now, s)
	var r *runner
	waited := false // the task before waits for a rack, so that the next one would get the same runner
	for _, t := range s.tasks {
		if !t.wantsRun() {
			continue
		}
		if p.heldByCap(s) {
			return false
		}
		if !waited || t.isSuspect() || len(t.failedOn) > 0 {
			r = p.chooseRunner(now, t)
		}
		if r == nil && t.suspect && p.reserveForTrial(now, t) {
			waited = false
			continue
		}
		if r == nil {
			return false
		}
		if p.waitsForRack(now, t, r) {
			waited = len(t.failedOn) == 0
			continue
		}
		waited = false
		p.planRun(now, t, r, p.nextRunNumber(t.lastRun))
	}
	return true
}

// mayFit reports whether any runner may have room for a task of the step. Within a plan room only shrinks, so a need
// that is at least as large as one that found no room isn't searched for again. Without this, a plan for a thousand
// waiting jobs and hundreds of runners would take longer than the tasks.
func (p *Pool) mayFit(now time.Time, s *work.Step) bool {
	if s.BestEffort {
		return p.fitsAnywhere(now, s)
	}
	for _, need := range p.unplaceable {
		if need.Fits(s.Resources) {
			return false
		}
	}
	if !p.fitsAnywhere(now, s) {
		p.unplaceable = append(p.unplaceable, s.Resources)
		return false
	}
	return true
}

// fitsAnywhere reports whether a schedulable runner has room for a task of the step.
func (p *Pool) fitsAnywhere(now time.Time, s *work.Step) bool {
	for _, r := range p.runners {
		if r.schedulable(now) && s.Occupied().Fits(r.free()) {
			return true
		}
	}
	return false
}

// nextRunNumber returns the number of the run after last, in the range of this term.
func (p *Pool) nextRunNumber(last int) int {
	return max(last, (p.term-1)*runsPerTerm) + 1
}

// planRun gives a run of a task its room on a runner. The start is ordered once the store has the runner among the job's
// placements.
func (p *Pool) planRun(now time.Time, t *task, r *runner, number int) {
	j := t.step.job
	run := &taskRun{task: t, number: number, runner: r, phase: planned, sentAt: now, pace: 100, trial: t.isSuspect()}
	t.addRun(run)
	p.projectRun(now, run, false)
	p.planned = append(p.planned, run)
	if run.trial || !j.placements.stored(r.ID) {
		p.markChanged(j, now)
	}
	if run.trial {
		run.needsSeq, j.commitNow = j.changeSeq, true
	}
}

// orderStart orders the start of a planned run.
func (p *Pool) orderStart(now time.Time, run *taskRun) {
	p.checkAllowance(run)
	t, r, s := run.task, run.runner, run.task.step
	run.phase, run.sentAt = sending, now
	s.madeRoom = madeRoom{}
	p.endWait(run)
	order := Start{Target: p.target(r), Task: t.name, Run: run.number, Spec: s.job.spec.Spec}
	if s.spec.Checkpointing {
		order.Checkpoint = t.checkpoint
	}
	if a, ok := s.approvals[r.ID]; ok {
		order.Ticket = a.ticket
	}
	p.orders = append(p.orders, order)
}
