package sched

import "time"

// Has tells whether a runner is known.
func (p *Pool) Has(id string) bool {
	_, ok := p.runners[id]
	return ok
}

// Wanted tells whether a start that was ordered should still be sent.
func (p *Pool) Wanted(o Start) bool {
	r, ok := p.runners[o.Runner]
	if !ok || r.Draining || r.evacuate || p.fenced {
		return false
	}
	x := p.runOf(r, o.Task, o.Run)
	return x != nil && x.phase == sending && !x.task.done && !x.task.step.job.state.Final()
}

// Unpaced takes in that a pace wasn't set.
func (p *Pool) Unpaced(o Pace) {
	r, ok := p.runners[o.Runner]
	if !ok {
		return
	}
	if x := p.runOf(r, o.Task, o.Run); x != nil {
		// What it now works at is unknown; any further wish differs from this.
		x.pace = -1
	}
}

// Withdraw takes in that a start was not sent because it is no longer wanted.
func (p *Pool) Withdraw(now time.Time, o Start) {
	r, ok := p.runners[o.Runner]
	if !ok {
		return
	}
	if x := p.runOf(r, o.Task, o.Run); x != nil {
		x.task.drop(x, now)
	}
}
