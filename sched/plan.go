package sched

import (
	"time"

	"gypsumlead/work"
)

// reserveMost is how many tasks that fit nowhere may keep a runner from those that come after them.
const reserveMost = 2

// Plan returns the orders that follow from what is known; wall is the time of day, by which turns are due.
// Unless the holder is sure that nobody else can have taken its place, nothing counts as ended because its
// runner is silent: a later holder may have gone on with it. Nor is anything started again whose run was
// given up meanwhile, or on a runner that has started anew: a later holder may have been there first.
func (p *Pool) Plan(now, wall time.Time, sure bool) []Order {
	p.orders = nil
	p.sure = sure
	if sure {
		p.dispelDoubts()
		p.expire(now)
	}
	p.judge(now)
	p.evacuate(now)
	p.endUnwanted()
	p.placeAll(now, wall)
	p.sendStops(now)
	p.paceAll(now)
	p.check(now)
	p.counts.count(p.orders)
	return p.orders
}

// dispelDoubts lets start again what was held back while the holder wasn't sure.
func (p *Pool) dispelDoubts() {
	for t := range p.doubts {
		t.doubt = false
	}
	clear(p.doubts)
	for _, r := range p.runners {
		r.doubt = false
	}
}

// endUnwanted marks the runs of final jobs and of tasks that are done.
func (p *Pool) endUnwanted() {
	for _, j := range p.live {
		if !j.state.Final() {
			continue
		}
		j.each(func(t *task) {
			for _, x := range t.runs {
				x.stop("the job is " + string(j.state))
			}
		})
	}
	for _, r := range p.runners {
		for x := range r.runs {
			if x.task.done {
				x.stop("the task is done")
			}
		}
	}
	p.prune()
}

// sendStops orders the ends that are due, again where they weren't answered.
func (p *Pool) sendStops(now time.Time) {
	for _, r := range p.runners {
		for x := range r.runs {
			if x.phase != stopping || !x.stopped.IsZero() || now.Sub(x.asked) < resend {
				continue
			}
			x.asked = now
			p.orders = append(p.orders, Stop{r.to(), x.task.name, x.n, x.why})
		}
	}
	for s, asked := range p.strays {
		r, ok := p.runners[s.runner]
		if !ok {
			delete(p.strays, s)
			continue
		}
		if now.Sub(asked) < resend {
			continue
		}
		p.strays[s] = now
		p.orders = append(p.orders, Stop{r.to(), s.task, s.run, "nobody wants it"})
	}
}

// placeAll starts what can start, the most urgent first.
func (p *Pool) placeAll(now, wall time.Time) {
	clear(p.reserved)
	p.tight = p.tight[:0]
	p.lowest = p.leastUrgent()
	blocked := 0
	for _, c := range p.candidates(now, wall) {
		if !p.approved(now, c.step) {
			continue
		}
		if p.placeStep(now, c.step) || c.step.spec.BestEffort {
			continue
		}
		p.displace(now, c.step)
		if blocked < reserveMost && p.reserve(now, c.step) {
			blocked++
		}
	}
}

// placeStep starts the step's tasks as far as there is room, and tells whether all have a run now.
func (p *Pool) placeStep(now time.Time, s *step) bool {
	if s.spec.Gang {
		return p.placeGang(now, s)
	}
	if !p.roomy(now, s.spec) {
		return false
	}
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || t.doubt {
			continue
		}
		r := p.choose(now, t)
		if r == nil {
			return false
		}
		p.startOn(now, t, r, p.number(t.last))
	}
	return true
}

// roomy tells whether any runner has room for a task of the step at all. Within a plan room only shrinks, so
// that what needs as much as something that found none needn't look: with a thousand jobs waiting for hundreds
// of runners a plan would take longer than the tasks.
func (p *Pool) roomy(now time.Time, s *work.Step) bool {
	if s.BestEffort {
		return p.roomFor(now, s)
	}
	for _, t := range p.tight {
		if t.Fits(s.Resources) {
			return false
		}
	}
	if !p.roomFor(now, s) {
		p.tight = append(p.tight, s.Resources)
		return false
	}
	return true
}

func (p *Pool) roomFor(now time.Time, s *work.Step) bool {
	for _, r := range p.runners {
		if r.takes(now) && (s.BestEffort || s.Resources.Fits(r.free())) {
			return true
		}
	}
	return false
}

// number returns the number of the next run after last.
func (p *Pool) number(last int) int {
	return max(last, (p.term-1)*runsPerTerm) + 1
}

// startOn orders a run of a task.
func (p *Pool) startOn(now time.Time, t *task, r *runner, n int) {
	s := t.step
	x := &run{task: t, n: n, r: r, phase: sending, sent: now, pace: 100}
	t.add(x)
	p.start(now, s.job)
	o := Start{Target: r.to(), Task: t.name, Run: n, Spec: s.job.spec.Spec}
	if s.spec.Checkpointing {
		o.Checkpoint = t.saved
	}
	if k, ok := s.tickets[r.ID]; ok {
		o.Ticket = k.text
	}
	p.orders = append(p.orders, o)
}

// reserve keeps the runner that will have room for the step first from what comes after it.
func (p *Pool) reserve(now time.Time, s *step) bool {
	var best *runner
	for _, r := range p.runners {
		if _, taken := p.reserved[r]; taken || !r.takes(now) || !s.spec.Resources.Fits(r.Room) || !r.labelled(s.spec.RequiredLabel) {
			continue
		}
		if best == nil || r.free().CPU > best.free().CPU || (r.free().CPU == best.free().CPU && r.ID < best.ID) {
			best = r
		}
	}
	if best == nil {
		return false
	}
	p.reserved[best] = struct{}{}
	return true
}
