package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// handleEnd handles the end of a run that a poll lists, unless it was handled before.
func (p *Pool) handleEnd(now time.Time, r *runner, e work.RunEnd) {
	if e.N <= r.lastEnd {
		return
	}
	r.lastEnd = e.N
	j, ok := p.jobs[e.Task.Job]
	if !ok {
		r.pendingEnds = append(r.pendingEnds, pendingEnd{number: e.N})
		p.advanceAckCursor(r)
		return
	}
	t := j.findTask(e.Task)
	if t != nil {
		p.applyEnd(now, r, t, e)
	}
	pending := pendingEnd{number: e.N, job: j, seq: j.changeSeq}
	if e.Reason == work.EndDone && t != nil && t.step.spec.Speculative {
		pending.task = t
	}
	r.pendingEnds = append(r.pendingEnds, pending)
	p.advanceAckCursor(r)
}

// completePredecessors marks the steps before a task's step as done. A run of the task proves that an earlier leader
// knew them to be done, although their ends may never reach this one.
func (p *Pool) completePredecessors(now time.Time, t *task) {
	for _, a := range t.step.spec.After {
		predecessor := t.step.occurrence.steps[a]
		if predecessor.remaining == 0 {
			continue
		}
		for _, before := range predecessor.tasks {
			p.markDone(before)
		}
		p.markChanged(t.step.job, now)
		p.completePredecessors(now, predecessor.tasks[0])
	}
}

// applyEnd handles the end of a run of a known task.
func (p *Pool) applyEnd(now time.Time, r *runner, t *task, e work.RunEnd) {
	if t.step.job.inherited && !t.step.job.state.Final() {
		p.completePredecessors(now, t)
	}
	p.counts.ends[e.Reason]++
	p.markStarted(now, t.step.job)
	run := t.findRun(r, e.Run)
	t.lastRun = max(t.lastRun, e.Run)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if run != nil {
		if e.Reason == work.EndDone {
			p.recordCopy(run)
		}
		p.learnRunTime(now, run, e.Reason)
		if run.trial {
			p.markChanged(t.step.job, now)
		}
		t.removeRun(run, now)
	}
	if t.lostTrial != nil && t.lostTrial.Run == e.Run {
		p.dropLostTrial(t)
	}
	delete(p.orphans, orphan{r.ID, e.Task, e.Run})
	if endsAfterDone(t, e.Reason) {
		return
	}
	switch e.Reason {
	case work.EndDone:
		p.clearSuspect(now, t)
		p.handleTaskDone(now, t)
	case work.EndFailed:
		p.clearSuspect(now, t)
		p.handleTaskFailure(now, r, t, e.Run)
	}
}

// markDone marks a task as done; the next plan stops its remaining runs.
func (p *Pool) markDone(t *task) {
	t.markDone()
	if len(t.runs) > 0 {
		p.doneWithRuns[t] = struct{}{}
	}
}

// handleTaskDone marks a task as done, and with it all tasks of its gang.
func (p *Pool) handleTaskDone(now time.Time, t *task) {
	if t.step.spec.LongRunning {
		return // it is restarted however it ends
	}
	if t.step.spec.Gang {
		for _, m := range t.step.tasks {
			p.markDone(m)
		}
	} else {
		p.markDone(t)
	}
	j := t.step.job
	if j.state.Final() {
		return // its progress is no longer stored
	}
	p.markChanged(j, now)
	if j.remaining == 0 {
		p.close(j, work.Done, now)
	}
}

// handleTaskFailure records a failed run. A task or gang that has used up its attempts fails the job.
func (p *Pool) handleTaskFailure(now time.Time, r *runner, t *task, number int) {
	p.attributeFailure(now, r, t)
	s := t.step
	if s.spec.LongRunning || t.done || s.job.state.Final() {
		return
	}
	failedRuns := &t.failedRuns
	if s.spec.Gang {
		failedRuns = &s.failedRuns
	}
	for _, failed := range *failedRuns {
		if failed == number {
			return // counted before, by this leader or an earlier one
		}
	}
	*failedRuns = append(*failedRuns, number)
	j := s.job
	p.markChanged(j, now)
	if len(*failedRuns) >= j.queue.Attempts {
		p.close(j, work.Failed, now)
	}
}

// recordRun updates a run from a poll's list and returns it, or nil for an orphan.
func (p *Pool) recordRun(now time.Time, r *runner, reported work.Run) *taskRun {
	j, ok := p.jobs[reported.Task.Job]
	if !ok {
		p.addOrphan(r, nil, reported)
		return nil
	}
	t := j.findTask(reported.Task)
	if t == nil {
		p.addOrphan(r, nil, reported)
		return nil
	}
	run := t.findRun(r, reported.Run)
	if run == nil {
		if run = p.adopt(now, r, t, reported.Run); run == nil {
			p.addOrphan(r, t.step, reported)
			return nil
		}
	}
	if reported.Checkpoint != "" {
		t.checkpoint = reported.Checkpoint
	}
	if run.phase == sending || run.phase == unconfirmed {
		run.phase = running
	}
	run.listed = true
	p.markStarted(now, j)
	p.markBegun(now, run)
	if reported.Percent != run.percent {
		run.percent, run.progressedAt = reported.Percent, now
	}
	run.load = reported.Load
	return run
}

// adopt adds a listed run of an earlier leader to its task. It returns nil if the task may not have another run.
func (p *Pool) adopt(now time.Time, r *runner, t *task, number int) *taskRun {
	j := t.step.job
	maxRuns := 1
	if t.step.spec.Speculative {
		maxRuns = 2
	}
	t.lastRun = max(t.lastRun, number)
	t.dropPlanned(now)
	if j.state.Final() || t.done || len(t.runs) >= maxRuns {
		return nil
	}
	p.completePredecessors(now, t)
	run := &taskRun{task: t, number: number, runner: r, phase: running, sentAt: now, confirmedAt: now, progressedAt: now, pace: 100, adopted: true, stoppedBy: r.listedClock + p.stopTime + stopSlack}
	if t.lostTrial != nil && t.lostTrial.Run == number {
		run.trial = true
		p.dropLostTrial(t)
	}
	t.addRun(run)
	if run.trial || !j.placements.stored(r.ID) {
		p.markChanged(j, now)
	}
	return run
}

// dropPlanned drops the task's planned runs: it has a run that this leader didn't order.
func (t *task) dropPlanned(now time.Time) {
	for _, run := range slices.Clone(t.runs) {
		if run.phase == planned {
			t.removeRun(run, now)
		}
	}
}

// markBegun records that a run is known to have begun. That of a suspect is stored, so that a crash of its runner is
// certain under a later leader, too.
func (p *Pool) markBegun(now time.Time, run *taskRun) {
	if run.begun() {
		return
	}
	run.confirmedAt, run.progressedAt = now, now
	if run.trial {
		p.markChanged(run.task.step.job, now)
		run.task.step.job.commitNow = true
	}
}

// markStarted records that a runner has started a task of the job. An order alone doesn't prove it: it may be delayed,
// refused or lost.
func (p *Pool) markStarted(now time.Time, j *job) {
	if j.firstStart.IsZero() {
		j.firstStart = now
	}
	if j.state == work.Queued {
		j.state = work.Running
	}
}

// addOrphan records an orphan run, to be stopped, which takes up room until it has ended; s is nil if its step is unknown.
func (p *Pool) addOrphan(r *runner, s *step, reported work.Run) {
	r.addOrphan(s)
	o := orphan{r.ID, reported.Task, reported.Run}
	if _, ok := p.orphans[o]; !ok {
		p.orphans[o] = time.Time{}
		p.onOrphan(OrphanRun{reported.Task, reported.Run, r.ID})
	}
}

// handleUnlistedRun handles a run that a poll sent at the given time doesn't list.
func (p *Pool) handleUnlistedRun(now time.Time, run *taskRun, sent time.Time) {
	switch run.phase {
	case planned, sending:
	case unconfirmed:
		if run.sentAt.Before(sent) {
			// The start may still arrive; only an answered stop prevents it.
			run.stop("start wasn't answered")
		}
	case running:
		if run.confirmedAt.Before(sent) {
			p.abandon(now, run, "its runner doesn't list it")
		}
	case stopping:
		if !run.stopAckedAt.IsZero() && run.stopAckedAt.Before(sent) {
			p.abandon(now, run, "it was stopped before it arrived")
		}
	}
}

// stop marks a run as stopping, unless it is already. A planned run is withdrawn instead: no runner knows it.
func (r *taskRun) stop(reason string) {
	switch r.phase {
	case planned:
		r.withdrawn = true
	case sending, unconfirmed, running:
		r.phase, r.stopReason = stopping, reason
	case stopping:
	}
}
