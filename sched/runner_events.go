package sched

import (
	"time"

	"gypsumlead/work"
)

// Inherit names a runner that an earlier holder may have given work to; over is when that has ended at
// the latest, where an earlier holder found the runner silent, or zero.
func (p *Pool) Inherit(w work.Runner, over time.Time) {
	r := p.get(w)
	r.inherited = true
	r.resolve = p.began.Add(p.bounds.Foreign)
	if !over.IsZero() {
		r.marked = true
		if over.Before(r.resolve) {
			r.resolve = over
		}
	}
}

func (p *Pool) get(w work.Runner) *runner {
	r, ok := p.runners[w.ID]
	if !ok {
		r = newRunner(w)
		p.runners[w.ID] = r
	}
	return r
}

// Seen takes in a runner's entry in the platform's list.
func (p *Pool) Seen(now time.Time, w work.Runner) {
	r := p.get(w)
	p.replaced(now, w)
	p.bornAs(now, r, w.Born)
	born := max(r.Born, w.Born)
	if w.Draining && !r.Draining {
		r.leavesAt = now.Add(max(0, w.Leaves))
	}
	r.Runner = w
	r.Born = born
	r.listed = true
}

// replaced ends earlier lives of a runner's machine.
func (p *Pool) replaced(now time.Time, w work.Runner) {
	if w.Machine == "" {
		return
	}
	for _, old := range p.runners {
		if old.Machine == w.Machine && old.ID != w.ID && old.Born < w.Born {
			p.ceased(now, old)
		}
	}
}

// ceased takes in that a runner is no more: all that it ran has ended.
func (p *Pool) ceased(now time.Time, r *runner) {
	for x := range r.runs {
		p.giveUp(now, x, "another runner has its place")
	}
	r.lease.Reset()
	r.ends = nil
	r.known = true
	r.listed = false
	p.tidy(now, r)
}

// Unlisted takes in that a runner is no longer in the platform's list; what it runs may go on.
func (p *Pool) Unlisted(now time.Time, id string) {
	r, ok := p.runners[id]
	if !ok {
		return
	}
	r.listed = false
	p.tidy(now, r)
}

// tidy forgets a runner that is not listed, holds nothing and can't surprise us any more.
func (p *Pool) tidy(now time.Time, r *runner) {
	if r.listed || len(r.runs) > 0 || len(r.ends) > 0 || !r.resolved() {
		return
	}
	// Without a run, known or unwanted, it doesn't matter how long its lease lasts.
	if over, ok := r.lease.Over(); ok && now.Before(over) && p.hasStray(r) {
		return
	}
	delete(p.runners, r.ID)
}

// hasStray tells whether a run that nobody wants may be left on the runner.
func (p *Pool) hasStray(r *runner) bool {
	for s := range p.strays {
		if s.runner == r.ID {
			return true
		}
	}
	return false
}

// Replaced takes in a runner of any pool: earlier lives of its machine are over.
func (p *Pool) Replaced(now time.Time, w work.Runner) { p.replaced(now, w) }

// bornAs takes in the start of the runner's present life; another one than before means that all of the old is gone.
func (p *Pool) bornAs(now time.Time, r *runner, born int64) {
	if born <= r.Born {
		return
	}
	if r.Born != 0 {
		for x := range r.runs {
			p.giveUp(now, x, "its runner has started anew")
		}
		r.lease.Reset()
		r.seen, r.acked, r.ends = 0, 0, nil
		r.health = health{}
		r.asked, r.missed = time.Time{}, false
		r.doubt = !p.sure
	}
	r.Born = born
}

// Asked takes in that a look at a runner was sent; wait is how long its answer may wait for an end.
func (p *Pool) Asked(sent time.Time, id string, wait time.Duration) {
	if r, ok := p.runners[id]; ok && r.asked.IsZero() {
		r.asked = sent.Add(wait)
	}
}

// Extend returns the deadline of an order that is sent to a runner now, on the runner's clock. A runner
// that doesn't answer gets none, so that the end of its lease stays where it is.
func (p *Pool) Extend(now time.Time, id string) time.Duration {
	r, ok := p.runners[id]
	if !ok || r.missed || r.marked {
		return 0
	}
	return r.lease.Extend(now, p.bounds.Hold)
}

// Ack returns up to which number a runner's ends may be forgotten.
func (p *Pool) Ack(id string) int64 {
	r, ok := p.runners[id]
	if !ok || r.missed {
		return 0 // it may have started anew, and count its ends from 1 again
	}
	return r.acked
}

// Unsaved tells whether ends of the runner are waiting for the store.
func (p *Pool) Unsaved(id string) bool {
	r, ok := p.runners[id]
	return ok && len(r.ends) > 0
}

// Looked takes in the answer to a look that was sent at a time.
func (p *Pool) Looked(now time.Time, id string, sent time.Time, l work.Looked) {
	r, ok := p.runners[id]
	if !ok {
		return
	}
	if l.Fenced {
		p.fenced = true
		return
	}
	if l.Other {
		p.ceased(now, r)
		return
	}
	if l.Born != 0 && l.Born < r.Born {
		return // an answer of an earlier life that was on its way
	}
	p.bornAs(now, r, l.Born)
	r.lease.Heard(l.Clock, now)
	r.answered = now
	r.asked, r.missed = time.Time{}, false
	r.known = true
	for _, e := range l.Ends {
		p.end(now, r, e)
	}
	listed := make(map[*run]struct{}, len(l.Runs))
	for _, w := range l.Runs {
		if x := p.runs(now, r, w); x != nil {
			listed[x] = struct{}{}
		}
	}
	for x := range r.runs {
		if _, ok := listed[x]; !ok {
			p.absent(now, x, sent)
		}
	}
}

// Missed takes in that a look wasn't answered.
func (p *Pool) Missed(now time.Time, id string) {
	r, ok := p.runners[id]
	if !ok {
		return
	}
	if r.asked.IsZero() {
		r.asked = now
	}
	r.missed = true
	p.tidy(now, r)
}

// end takes in the end of a run.
func (p *Pool) end(now time.Time, r *runner, e work.End) {
	if e.N <= r.seen {
		return
	}
	r.seen = e.N
	j, ok := p.jobs[e.Task.Job]
	if !ok {
		r.ends = append(r.ends, pendingEnd{n: e.N})
		p.settle(r)
		return
	}
	if t := j.find(e.Task); t != nil {
		p.ended(now, r, t, e)
	}
	r.ends = append(r.ends, pendingEnd{e.N, j, j.changed})
	p.settle(r)
}

// implied takes in that a run of a task was started: whoever started it knew that the steps before it are
// done, though the ends may never reach us.
func (p *Pool) implied(now time.Time, t *task) {
	for _, a := range t.step.spec.After {
		before := t.step.turn.steps[a]
		if before.left == 0 {
			continue
		}
		for _, x := range before.tasks {
			x.finish()
		}
		p.touch(t.step.job, now)
		p.implied(now, before.tasks[0])
	}
}

// ended takes in the end of a run of one of our tasks.
func (p *Pool) ended(now time.Time, r *runner, t *task, e work.End) {
	if t.step.job.inherited && !t.step.job.state.Final() {
		p.implied(now, t)
	}
	p.counts.ends[e.How]++
	x := t.on(r, e.Run)
	t.last = max(t.last, e.Run)
	if e.Saved != "" {
		t.saved = e.Saved
	}
	if x != nil {
		p.measure(now, x, e.How)
		t.drop(x, now)
	}
	delete(p.strays, stray{r.ID, e.Task, e.Run})
	switch e.How {
	case work.EndDone:
		p.done(now, t)
	case work.EndFailed:
		p.failed(now, r, t, e.Run)
	}
}

// done takes in that a task is done, and with it the whole gang.
func (p *Pool) done(now time.Time, t *task) {
	if t.step.spec.Lasts {
		return // it is started again, however it ended
	}
	if t.step.spec.Gang {
		for _, m := range t.step.tasks {
			m.finish()
		}
	} else {
		t.finish()
	}
	j := t.step.job
	if j.state.Final() {
		return // nothing of it is stored any more
	}
	p.touch(j, now)
	if j.left == 0 {
		p.close(j, work.Done, now)
	}
}

// failed takes in a failed run; a task, or a gang, that has used up its attempts fails the job.
func (p *Pool) failed(now time.Time, r *runner, t *task, n int) {
	p.blame(now, r, t)
	s := t.step
	if s.spec.Lasts || t.done || s.job.state.Final() {
		return
	}
	fails := &t.fails
	if s.spec.Gang {
		fails = &s.fails
	}
	for _, f := range *fails {
		if f == n {
			return // counted before, by us or by an earlier holder
		}
	}
	*fails = append(*fails, n)
	j := s.job
	p.touch(j, now)
	if len(*fails) >= j.queue.Attempts {
		p.close(j, work.Failed, now)
	}
}

// runs takes in a run that a runner lists, and returns it where it is ours.
func (p *Pool) runs(now time.Time, r *runner, w work.Run) *run {
	j, ok := p.jobs[w.Task.Job]
	if !ok {
		p.stray(r, w)
		return nil
	}
	t := j.find(w.Task)
	if t == nil {
		p.stray(r, w)
		return nil
	}
	x := t.on(r, w.Run)
	if x == nil {
		if x = p.adopt(now, r, t, w.Run); x == nil {
			p.stray(r, w)
			return nil
		}
	}
	if w.Saved != "" {
		t.saved = w.Saved
	}
	if x.phase == sending || x.phase == unsure {
		x.phase = running
	}
	if x.sure.IsZero() {
		x.sure, x.moved = now, now
	}
	if w.Percent != x.percent {
		x.percent, x.moved = w.Percent, now
	}
	x.load = w.Load
	return x
}

// adopt makes a run that we didn't know ours, where the task has room for it.
func (p *Pool) adopt(now time.Time, r *runner, t *task, n int) *run {
	j := t.step.job
	most := 1
	if t.step.spec.Copies {
		most = 2
	}
	t.last = max(t.last, n)
	if j.state.Final() || t.done || len(t.runs) >= most {
		return nil
	}
	p.implied(now, t)
	x := &run{task: t, n: n, r: r, phase: running, sent: now, sure: now, moved: now, pace: 100}
	t.add(x)
	p.start(now, j)
	return x
}

// start notes that a task of the job has started.
func (p *Pool) start(_ time.Time, j *job) {
	if j.state == work.Queued {
		j.state = work.Running
	}
}

// stray notes a run that is to be stopped.
func (p *Pool) stray(r *runner, w work.Run) {
	s := stray{r.ID, w.Task, w.Run}
	if _, ok := p.strays[s]; !ok {
		p.strays[s] = time.Time{}
	}
}

// absent takes in that the answer to a look sent at a time doesn't list a run.
func (p *Pool) absent(now time.Time, x *run, sent time.Time) {
	switch x.phase {
	case sending:
	case unsure:
		if x.sent.Before(sent) {
			// The order may still arrive; only an answered stop forbids it.
			x.stop("start wasn't answered")
		}
	case running:
		if x.sure.Before(sent) {
			p.giveUp(now, x, "its runner doesn't list it")
		}
	case stopping:
		if !x.stopped.IsZero() && x.stopped.Before(sent) {
			p.giveUp(now, x, "it was stopped before it arrived")
		}
	}
}

// stop marks a run as one that is to end.
func (x *run) stop(why string) {
	if x.phase != stopping {
		x.phase, x.why = stopping, why
	}
}

// expire frees what ran on runners whose lease has surely run out, and resolves what an earlier holder left on silent ones.
func (p *Pool) expire(now time.Time) {
	for _, r := range p.runners {
		if r.inherited && !r.known && now.After(r.resolve) {
			r.known, r.missed = true, true // it has been silent all along
		}
		over, ok := r.lease.Over()
		if !ok || now.Before(over) {
			continue
		}
		for x := range r.runs {
			if x.sent.Before(over) {
				p.giveUp(now, x, "its runner is silent and the lease is over")
			}
		}
		p.tidy(now, r)
	}
}
