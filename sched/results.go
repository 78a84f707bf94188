package sched

import (
	"time"

	"gypsumlead/work"
)

// Outcome is how an order was answered.
type Outcome int

// The outcomes of an order.
const (
	OutcomeDone    Outcome = iota // carried out
	OutcomeNotSent                // surely not carried out
	OutcomeUnknown                // not answered: it may be carried out, and later than orders that follow
)

// roomPause is for how long a runner that found no room gets no new work: its own list of runs is newer than ours by then.
const roomPause = 150 * time.Millisecond

// HandleStartResult takes in the answer to a start.
func (p *Pool) HandleStartResult(now time.Time, o Start, out Outcome, refused work.Refusal, clock time.Duration) {
	r, ok := p.runners[o.Runner]
	if !ok {
		return
	}
	if clock > 0 {
		r.lease.ObserveClock(clock, now)
	}
	x := p.runOf(r, o.Task, o.Run)
	if x == nil {
		return
	}
	if refused != "" {
		p.refused(now, r, x, refused)
		return
	}
	switch out {
	case OutcomeDone:
		if x.sure.IsZero() {
			x.sure, x.moved = now, now
		}
		if x.phase == sending || x.phase == unsure {
			x.phase = running
		}
	case OutcomeNotSent:
		p.giveUp(now, x, "its start was not sent")
		r.health.until = later(r.health.until, now.Add(roomPause))
	case OutcomeUnknown:
		if x.phase == sending {
			x.phase = unsure
		}
	}
}

// refused takes in that a runner surely didn't start a run.
func (p *Pool) refused(now time.Time, r *runner, x *run, why work.Refusal) {
	p.giveUp(now, x, "its start was refused: "+string(why))
	switch why {
	case work.RefusedFenced:
		p.fenced = true
	case work.RefusedApproval:
		delete(x.task.step.tickets, r.ID)
	case work.RefusedUnhealthy, work.RefusedMismatch:
		p.blame(now, r, x.task)
		r.health.until = later(r.health.until, now.Add(roomPause))
	case work.RefusedRoom, work.RefusedDeadline, work.RefusedStaleRun:
		r.health.until = later(r.health.until, now.Add(roomPause))
	}
}

// HandleStopResult takes in the answer to a stop.
func (p *Pool) HandleStopResult(now time.Time, o Stop, out Outcome) {
	r, ok := p.runners[o.Runner]
	if !ok || out != OutcomeDone {
		return
	}
	if x := p.runOf(r, o.Task, o.Run); x != nil && x.stopped.IsZero() {
		x.stopped = now
	}
	// A stray that was stopped ends soon; should a look list it again, it is stopped again.
	delete(p.strays, stray{o.Runner, o.Task, o.Run})
}

// runOf returns a run by its names, or nil.
func (p *Pool) runOf(r *runner, name work.Task, n int) *run {
	j, ok := p.jobs[name.Job]
	if !ok {
		return nil
	}
	t := j.find(name)
	if t == nil {
		return nil
	}
	return t.on(r, n)
}

// HandleApproval takes in which runners the policy service approves for a step.
func (p *Pool) HandleApproval(now time.Time, o ApprovalRequest, tickets map[string]string, valid time.Duration) {
	j, ok := p.jobs[o.Task.Job]
	if !ok {
		return
	}
	t := j.find(o.Task)
	if t == nil {
		return
	}
	s := t.step
	s.asked = time.Time{}
	if s.tickets == nil {
		s.tickets = map[string]ticket{}
	}
	for _, id := range o.Runners {
		k := ticket{till: now.Add(valid)}
		if text, ok := tickets[id]; ok {
			k.text = text
		}
		if r, ok := p.runners[id]; ok {
			k.born = r.Born
		}
		s.tickets[id] = k
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
