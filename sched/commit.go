package sched

import (
	"time"

	"gypsumlead/work"
)

// JobProgress is the progress of a job as of a moment.
type JobProgress struct {
	ID       work.ID
	Progress Progress
	seq      int64
}

// UncommittedBatch returns the progress of at most most jobs that the store doesn't have. Without all, only what
// somebody waits for: ends of jobs, and what has waited long enough.
func (p *Pool) UncommittedBatch(now time.Time, most int, all bool) []JobProgress {
	var list []JobProgress
	for _, j := range p.live {
		if len(list) == most {
			break
		}
		if j.changed == j.saved {
			continue
		}
		if all || j.state.Final() || now.Sub(j.lazySince) >= lazy {
			list = append(list, JobProgress{j.id, j.progress(), j.changed})
		}
	}
	return list
}

// MarkCommitted takes in that the store has a batch; ends that hang on it may now be acknowledged.
func (p *Pool) MarkCommitted(now time.Time, batch []JobProgress) {
	for _, b := range batch {
		j, ok := p.jobs[b.ID]
		if !ok {
			continue
		}
		j.saved = b.seq
		j.lazySince = now
		if b.Progress.State.Final() && !j.shown.Final() {
			j.shown = b.Progress.State
			p.over(p.overOf(j))
		}
	}
	for _, r := range p.runners {
		p.settle(r)
	}
	p.prune()
}

// overOf tells how a job that is over went.
func (p *Pool) overOf(j *job) JobEnd {
	o := JobEnd{Job: j.id, Queue: j.queue.Name, State: j.shown, Elapsed: j.ended.Sub(j.accepted)}
	if !j.first.IsZero() {
		o.QueueTime = j.first.Sub(j.accepted)
	}
	if len(j.turns) == 1 {
		o.Objective = p.objective(j.turns[0], j).Sub(j.since(j.turns[0]))
	}
	return o
}

// settle moves the number up to which a runner's ends may be acknowledged.
func (p *Pool) settle(r *runner) {
	n := 0
	for _, e := range r.ends {
		if e.job != nil && e.job.saved < e.seq {
			break
		}
		r.acked = e.n
		n++
	}
	r.ends = append(r.ends[:0], r.ends[n:]...)
}

// NextCommit returns when the next lazy progress has to be committed; ok is false where there is none.
func (p *Pool) NextCommit() (time.Time, bool) {
	var first time.Time
	for _, j := range p.live {
		if j.changed == j.saved {
			continue
		}
		at := j.lazySince.Add(lazy)
		if j.state.Final() {
			at = j.lazySince
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}
