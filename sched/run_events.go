package sched

import (
	"time"

	"gypsumlead/work"
)

// end takes in the end of a run.
func (p *Pool) end(now time.Time, r *runner, e work.RunEnd) {
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
func (p *Pool) ended(now time.Time, r *runner, t *task, e work.RunEnd) {
	if t.step.job.inherited && !t.step.job.state.Final() {
		p.implied(now, t)
	}
	p.counts.ends[e.Reason]++
	x := t.on(r, e.Run)
	t.last = max(t.last, e.Run)
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	if x != nil {
		p.measure(now, x, e.Reason)
		t.drop(x, now)
	}
	delete(p.strays, stray{r.ID, e.Task, e.Run})
	switch e.Reason {
	case work.EndDone:
		p.done(now, t)
	case work.EndFailed:
		p.failed(now, r, t, e.Run)
	}
}

// done takes in that a task is done, and with it the whole gang.
func (p *Pool) done(now time.Time, t *task) {
	if t.step.spec.LongRunning {
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
	if s.spec.LongRunning || t.done || s.job.state.Final() {
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
	if w.Checkpoint != "" {
		t.saved = w.Checkpoint
	}
	if x.phase == sending || x.phase == unsure {
		x.phase = running
	}
	x.listed = true
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
	if t.step.spec.Speculative {
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
func (p *Pool) start(now time.Time, j *job) {
	if j.first.IsZero() {
		j.first = now
	}
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
