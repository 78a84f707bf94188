package sched

import (
	"time"

	"gypsumlead/work"
)

// checkEvery is the time between two checks of the invariants: a check visits every task in progress.
const checkEvery = time.Second

// check reports every broken invariant of the pool.
func (p *Pool) check(now time.Time) {
	if now.Sub(p.checked) < p.every {
		return
	}
	p.checked = now
	for _, j := range p.live {
		j.each(func(t *task) { p.checkTask(t) })
	}
	for _, r := range p.runners {
		p.checkRunner(r)
	}
}

func (p *Pool) checkTask(t *task) {
	most := 1
	if t.step.spec.Speculative {
		most = 2
	}
	if len(t.runs) > most {
		p.report("task %s has %d runs at a time, %d are allowed", t.name, len(t.runs), most)
	}
	if len(t.runs) == 0 {
		return
	}
	for _, a := range t.step.spec.After {
		if t.step.turn.steps[a].left > 0 {
			p.report("task %s runs before step %d is done", t.name, a)
		}
	}
	if len(t.fails) > t.step.job.queue.Attempts {
		p.report("task %s has run after %d failures, %d are allowed", t.name, len(t.fails), t.step.job.queue.Attempts)
	}
}

func (p *Pool) checkRunner(r *runner) {
	sum := work.Resources{}
	for x := range r.runs {
		if !x.task.step.spec.BestEffort {
			sum = sum.Add(x.task.step.spec.Resources)
		}
	}
	if sum != r.used {
		p.report("runner %s: %v are counted as used, its runs take %v", r.ID, r.used, sum)
	}
	if r.acked > r.seen {
		p.report("runner %s: ends are acknowledged up to %d, taken in up to %d", r.ID, r.acked, r.seen)
	}
}
