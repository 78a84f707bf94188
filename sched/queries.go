package sched

import "time"

// HasRunner tells whether a runner is known.
func (p *Pool) HasRunner(id string) bool {
	_, ok := p.runners[id]
	return ok
}

// ShouldSend tells whether a start that was ordered should still be sent.
func (p *Pool) ShouldSend(o Start) bool {
	r, ok := p.runners[o.Runner]
	if !ok || r.Draining || r.evacuate || r.missed || r.marked || p.fenced {
		return false
	}
	x := p.runOf(r, o.Task, o.Run)
	return x != nil && x.phase == sending && !x.task.done && !x.task.step.job.state.Final()
}

// HandlePaceFailure takes in that a pace wasn't set.
func (p *Pool) HandlePaceFailure(o Pace) {
	r, ok := p.runners[o.Runner]
	if !ok {
		return
	}
	if x := p.runOf(r, o.Task, o.Run); x != nil {
		// What it now works at is unknown; any further wish differs from this.
		x.pace = -1
	}
}

// WithdrawStart takes in that a start was not sent because it is no longer wanted.
func (p *Pool) WithdrawStart(now time.Time, o Start) {
	r, ok := p.runners[o.Runner]
	if !ok {
		return
	}
	if x := p.runOf(r, o.Task, o.Run); x != nil {
		x.task.drop(x, now)
	}
}

// SilentRunners returns the runners that don't answer, by when all that they run has surely ended.
func (p *Pool) SilentRunners(now time.Time) map[string]time.Time {
	list := map[string]time.Time{}
	for id, r := range p.runners {
		if !r.missed || !r.silent(now) {
			continue
		}
		over, ok := r.lease.Expiry()
		switch {
		case !r.known:
			over = r.resolve
		case !ok:
			over = now // it was never given any work by us
		}
		list[id] = over
	}
	return list
}

// SilentSaveStarted takes in that the store is about to be told which runners are silent: from now on it may have them so.
func (p *Pool) SilentSaveStarted(silent map[string]time.Time) {
	for id := range silent {
		if r, ok := p.runners[id]; ok {
			r.marked = true
		}
	}
}

// SilentSaved takes in that the store has just these runners as silent.
func (p *Pool) SilentSaved(silent map[string]time.Time) {
	for id, r := range p.runners {
		_, r.marked = silent[id]
	}
}
