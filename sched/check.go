package sched

import (
	"time"

	"gypsumlead/work"
)

// defaultCheckInterval is the interval between checks of the invariants. A check visits every task of the live jobs.
const defaultCheckInterval = time.Second

// check reports every violation of the pool's invariants.
func (p *Pool) check(now time.Time) {
	if now.Sub(p.lastChecked) < p.checkInterval {
		return
	}
	p.lastChecked = now
	for _, j := range p.live {
		j.eachTask(func(t *task) { p.checkTask(t) })
	}
	for _, r := range p.runners {
		p.checkRunner(r)
	}
	p.checkWorkspaces()
}

// checkTask reports every violation of an invariant of one task.
func (p *Pool) checkTask(t *task) {
	maxRuns := 1
	if t.step.spec.Speculative {
		maxRuns = 2
	}
	if len(t.runs) > maxRuns {
		p.reportViolation("task %s has %d runs at the same time, at most %d are allowed", t.name, len(t.runs), maxRuns)
	}
	if len(t.runs) == 0 {
		return
	}
	if r := t.duplicateRunner(); r != nil {
		p.reportViolation("task %s has two runs on runner %s", t.name, r.ID)
	}
	for _, a := range t.step.spec.After {
		if t.step.occurrence.steps[a].remaining > 0 {
			p.reportViolation("task %s has a run before step %d is done", t.name, a)
		}
	}
	if len(t.failedRuns) > t.step.job.queue.Attempts {
		p.reportViolation("task %s has a run after %d failures, at most %d are allowed", t.name, len(t.failedRuns), t.step.job.queue.Attempts)
	}
}

// checkRunner reports every violation of an invariant of one runner.
func (p *Pool) checkRunner(r *runner) {
	used := work.Resources{}
	for run := range r.runs {
		used = used.Add(run.task.step.spec.Occupied())
	}
	if used != r.used {
		p.reportViolation("runner %s: %v counted as used, but its runs use %v", r.ID, r.used, used)
	}
	if r.ackedEnd > r.lastEnd {
		p.reportViolation("runner %s: ends acknowledged up to %d, but handled only up to %d", r.ID, r.ackedEnd, r.lastEnd)
	}
}
