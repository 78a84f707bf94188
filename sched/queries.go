package sched

import "time"

// HasRunner reports whether a runner is known.
func (p *Pool) HasRunner(id string) bool {
	_, ok := p.runners[id]
	return ok
}

// ShouldSend reports whether an ordered start should still be sent.
func (p *Pool) ShouldSend(order Start) bool {
	r, ok := p.runners[order.Runner]
	if !ok || r.Draining || r.evacuating || r.pollFailed || r.storedSilent || r.overfull() || p.fenced {
		return false
	}
	run := p.findRun(r, order.Task, order.Run)
	return run != nil && run.phase == sending && r.hasLabel(run.task.step.spec.RequiredLabel) && order.Fence.Born == r.Born && !run.task.done && !run.task.step.job.state.Final() && !p.overAllowance(run)
}

// HandlePaceFailure handles a pace order that wasn't carried out.
func (p *Pool) HandlePaceFailure(order Pace) {
	r, ok := p.runners[order.Runner]
	if !ok {
		return
	}
	if run := p.findRun(r, order.Task, order.Run); run != nil {
		// The run's pace is now unknown; -1 differs from any pace, so that the next one is sent.
		run.pace = -1
	}
}

// WithdrawStart drops the run of a start that was not sent because it is no longer needed.
func (p *Pool) WithdrawStart(now time.Time, order Start) {
	r, ok := p.runners[order.Runner]
	if !ok {
		return
	}
	if run := p.findRun(r, order.Task, order.Run); run != nil {
		run.task.removeRun(run, now)
	}
}

// SilentRunners returns the IDs of silent runners with the time by which all their runs have certainly ended.
func (p *Pool) SilentRunners(now time.Time) map[string]time.Time {
	list := map[string]time.Time{}
	for id, r := range p.runners {
		if !r.pollFailed || !r.silent(now) {
			continue
		}
		expiry, ok := r.lease.Expiry()
		switch {
		case !r.known:
			expiry = later(r.inheritedExpiry, expiry) // this leader extends the lease once the runner has answered
		case !ok:
			expiry = now // this leader has never given it work
		}
		list[id] = expiry
	}
	return list
}

// SilentSaveStarted records that the given silent runners are about to be saved. From then on the store may list them.
func (p *Pool) SilentSaveStarted(silent map[string]time.Time) {
	for id := range silent {
		if r, ok := p.runners[id]; ok {
			r.storedSilent = true
		}
	}
}

// SilentSaved records that the store lists exactly the given runners as silent.
func (p *Pool) SilentSaved(silent map[string]time.Time) {
	for id, r := range p.runners {
		_, r.storedSilent = silent[id]
	}
}
