package sched

import (
	"time"

	"gypsumlead/work"
)

// Outcome is the outcome of sending an order.
type Outcome int

// The outcomes of an order.
const (
	OutcomeDone    Outcome = iota // carried out
	OutcomeNotSent                // certainly not carried out
	OutcomeUnknown                // not answered: it may be carried out, even after later orders
)

// noRoomBackoff is how long a runner gets no new work after a start was refused or not sent. By then a poll has updated
// the list of its runs.
const noRoomBackoff = 150 * time.Millisecond

// HandleStartResult handles the result of a start. refusal is empty unless the runner refused it; clock is the runner's
// clock, or 0 if unknown. The answer says nothing of an incarnation later than the one that the start was for.
func (p *Pool) HandleStartResult(now time.Time, order Start, outcome Outcome, refusal work.Refusal, clock time.Duration) {
	r, ok := p.runners[order.Runner]
	if !ok {
		return
	}
	current := order.Fence.Born == r.Born
	if clock > 0 && current {
		r.lease.ObserveClock(clock, now)
	}
	run := p.findRun(r, order.Task, order.Run)
	if run == nil {
		return
	}
	if refusal != "" {
		p.handleRefusal(now, r, run, order, refusal)
		return
	}
	switch outcome {
	case OutcomeDone:
		p.markStarted(now, run.task.step.job)
		if !run.begun() && (!current || r.startedAnew(clock)) {
			run.awaitPoll()
			return
		}
		p.markBegun(now, run)
		if run.phase == sending || run.phase == unconfirmed {
			run.phase = running
		}
	case OutcomeNotSent:
		p.abandon(now, run, "its start was not sent")
		r.health.excludedUntil = later(r.health.excludedUntil, now.Add(noRoomBackoff))
	case OutcomeUnknown:
		run.awaitPoll()
	}
}

// awaitPoll leaves it to the runner's polls whether a run that was ordered has begun.
func (r *taskRun) awaitPoll() {
	if r.phase == sending {
		r.phase = unconfirmed
	}
}

// handleRefusal handles a runner's refusal to start a run.
func (p *Pool) handleRefusal(now time.Time, r *runner, run *taskRun, order Start, refusal work.Refusal) {
	p.abandon(now, run, "its start was refused: "+string(refusal))
	switch refusal {
	case work.RefusedFenced:
		p.fenced = p.fenced || !p.superseded(r, order.Fence)
	case work.RefusedApproval:
		delete(run.task.step.approvals, r.ID)
	case work.RefusedUnhealthy, work.RefusedMismatch:
		p.attributeFailure(now, r, run.task)
		r.health.excludedUntil = later(r.health.excludedUntil, now.Add(noRoomBackoff))
	case work.RefusedRoom, work.RefusedDeadline, work.RefusedStaleRun:
		r.health.excludedUntil = later(r.health.excludedUntil, now.Add(noRoomBackoff))
	}
}

// HandleStopResult handles the result of a stop.
func (p *Pool) HandleStopResult(now time.Time, order Stop, outcome Outcome) {
	r, ok := p.runners[order.Runner]
	if !ok || outcome != OutcomeDone || order.Fence.Born != r.Born {
		return // what an earlier incarnation has stopped may still start in the present one
	}
	if run := p.findRun(r, order.Task, order.Run); run != nil && run.stopAckedAt.IsZero() {
		run.stopAckedAt = now
	}
	// A stopped orphan ends soon. If a poll lists it again, it is stopped again.
	delete(p.orphans, orphan{order.Runner, order.Task, order.Run})
}

// findRun returns a run by its runner, task and number, or nil.
func (p *Pool) findRun(r *runner, name work.Task, number int) *taskRun {
	j, ok := p.jobs[name.Job]
	if !ok {
		return nil
	}
	t := j.findTask(name)
	if t == nil {
		return nil
	}
	return t.findRun(r, number)
}

// HandleApproval records which runners the policy service approves for a step: those that tickets has a ticket for.
// valid is how long the answer is valid.
func (p *Pool) HandleApproval(now time.Time, order ApprovalRequest, tickets map[string]string, valid time.Duration) {
	delete(p.approvalRequests, order.Step)
	j, ok := p.jobs[order.Task.Job]
	if !ok {
		return
	}
	t := j.findTask(order.Task)
	if t == nil {
		return
	}
	s := t.step
	if s.approvals == nil {
		s.approvals = map[string]approval{}
	}
	approved := 0
	for _, id := range order.Runners {
		a := approval{validUntil: now.Add(max(valid, refusalValid))}
		if text, ok := tickets[id]; ok {
			a.ticket, a.validUntil = text, now.Add(valid-min(valid/4, maxStartDelay))
			approved++
		}
		if r, ok := p.runners[id]; ok {
			a.born = r.Born
		}
		s.approvals[id] = a
	}
	if 2*approved < len(order.Runners) {
		s.fewApproved++
	} else {
		s.fewApproved = 0
	}
}

// HandleApprovalFailure handles a request that the policy service didn't answer.
func (p *Pool) HandleApprovalFailure(order ApprovalRequest) {
	delete(p.approvalRequests, order.Step)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
