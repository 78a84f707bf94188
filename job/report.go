package job

import (
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// report takes in a worker's reports; a report of an end is final, others may be old.
func (p *Pool) report(e Reported, now time.Time) error {
	w := p.byID[e.Worker]
	if w == nil {
		return nil
	}
	w.read = now
	w.foreign = Amount{}
	for _, r := range e.Reports {
		t := p.tries[r.Task]
		if t == nil {
			if isOn(r.State) && r.At.After(w.Seen.Add(-p.policy.Silent)) {
				w.foreign = w.foreign.plus(amountOf(r.Used))
			}
			continue
		}
		if err := p.hear(t, w, r, now); err != nil {
			return err
		}
	}
	return nil
}

func isOn(s backing.TaskState) bool {
	return s == backing.TaskRunning || s == backing.TaskThrottled
}

func (p *Pool) hear(t *Task, w *Worker, r backing.Report, now time.Time) error {
	t.live.started, t.live.fresh = true, false
	t.live.ran = max(t.live.ran, r.Ran)
	if r.State != backing.TaskFailed {
		t.job.longest = max(t.job.longest, r.Ran)
	}
	switch r.State {
	case backing.TaskRunning, backing.TaskThrottled:
		return p.hearRunning(t, w, r, now)
	case backing.TaskDone:
		return p.finish(t, w, r, now)
	case backing.TaskFailed:
		return p.fail(t, w, r.Ran, now)
	case backing.TaskSaved:
		return p.follow(t, "checkpointed", true, now)
	case backing.TaskStopped:
		return p.cutOff(t, whyOr(t, "stopped by the worker"), now)
	}
	return fault.New(fault.Invalid, "worker %s reports task %s as %q", w.ID, r.Task, r.State)
}

func whyOr(t *Task, why string) string {
	if t.Why != "" {
		return t.Why
	}
	return why
}

func (p *Pool) hearRunning(t *Task, w *Worker, r backing.Report, now time.Time) error {
	if r.At.Before(t.live.at) {
		return nil
	}
	t.live.at = r.At
	used := amountOf(r.Used)
	if r.State == backing.TaskThrottled {
		used.Milli = 0 // says nothing about what the task would use
	}
	t.live.peak = t.live.peak.most(used)
	if r.Ran >= p.policy.Settled {
		p.sample(t)
		p.prove(t, w)
	}
	if t.State == Throttling && r.State == backing.TaskThrottled {
		return p.slowed(t, now)
	}
	if t.State == Lost && (w.silent || !r.At.After(t.live.since)) {
		return nil
	}
	if err := p.move(t, Heard, now); err != nil {
		return err
	}
	if j := t.job; j.Phase == Open || j.Phase == Refused {
		return nil
	}
	return p.halt(t, t.job.Why, now)
}

// sample takes the task's peak into its job's estimate, once.
func (p *Pool) sample(t *Task) {
	if t.live.sampled || t.live.peak == (Amount{}) {
		return
	}
	t.live.sampled = true
	t.job.Estimate.measure(t.live.peak, t.job.Declared)
	p.reckon(t.job)
}

// reckon renews the size that the job's next tries are guaranteed.
func (p *Pool) reckon(j *Job) {
	j.guess = p.sized(j)
	j.soft = true
	p.changes.touch(j)
}

// sized returns the size to guarantee to the job's next try.
func (p *Pool) sized(j *Job) Amount {
	if p.policy.Declared {
		return j.Declared
	}
	size := j.Estimate.sized(j.Declared, &p.team(j.Team).prior, p.policy.Margins)
	if j.Urgent && len(j.Estimate.Memory.Ratios) == 0 {
		size.Memory = max(size.Memory, j.Declared.Memory) // a first start that fails costs more than room
	}
	return size
}

func (p *Pool) finish(t *Task, w *Worker, r backing.Report, now time.Time) error {
	j := t.job
	if p.byName[j.Name] == j {
		p.sample(t)
		j.Estimate.timed(r.Ran, j.Spec.Time.Duration())
		p.reckon(j)
	}
	p.succeed(t, w, now)
	return p.move(t, Finish, now)
}

// complete closes a job whose tasks have all ended.
func (p *Pool) complete(j *Job, now time.Time) error {
	if j.Phase != Open || j.Ended < j.Spec.Count {
		return nil
	}
	j.Phase, j.Why, j.dirty = Complete, "every task has ended", true
	tm := p.team(j.Team)
	tm.prior.learn(&j.Estimate)
	tm.dirty = true
	p.changes.pool = true
	p.changes.touch(j)
	p.noteJob(j, "complete", j.Why, now, "done", j.Done, "dropped", j.Ended-j.Done)
	return nil
}

// slowed takes in that a throttle is in force: the task is guaranteed fewer processors from now on.
func (p *Pool) slowed(t *Task, now time.Time) error {
	if err := p.move(t, Slowed, now); err != nil {
		return err
	}
	to := t.Size
	to.Milli = int64(float64(to.Milli) * p.policy.Throttled)
	p.resize(t, to)
	return nil
}
