package sched

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a step with tasks that could start.
type candidate struct {
	step  *step
	late  bool      // it can't be in time
	gives bool      // it can't be in time beside the others
	start time.Time // latest start by which it is placed
	stale bool      // even the late objective has passed
}

// candidates returns the steps with tasks to start, the most urgent first.
func (p *Pool) candidates(now, wall time.Time) []candidate {
	held := p.unresolved()
	p.measureRoom(now)
	var excess map[*turn]struct{}
	if p.way == DeadlineAware {
		excess = p.overload(now, wall)
	}
	var list []candidate
	for _, j := range p.live {
		if j.state.Final() || (held && j.inherited) {
			continue
		}
		for _, t := range j.turns {
			list = append(list, p.candidatesOf(now, wall, t, excess)...)
		}
	}
	if p.way == FIFO {
		slices.SortStableFunc(list, firstCome)
		return list
	}
	slices.SortStableFunc(list, compare)
	return list
}

// candidatesOf returns the steps of one turn with tasks to start; all but the step is the turn's.
func (p *Pool) candidatesOf(now, wall time.Time, t *turn, excess map[*turn]struct{}) []candidate {
	var ready []*step
	for _, s := range t.steps {
		if s.wait > 0 && s.ready(wall) {
			ready = append(ready, s)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	j := ready[0].job
	latest := p.latest(t, j)
	late, start, stale := now.After(latest), latest.Add(-p.passage(t, j)), p.stale(now, t, j)
	_, gives := excess[t]
	list := make([]candidate, len(ready))
	for i, s := range ready {
		list[i] = candidate{s, late, gives, start, stale}
	}
	return list
}

// compare orders by priority, then what lasts, then what can be in time, then by the latest start.
func compare(a, b candidate) int {
	x, y := a.step.job, b.step.job
	if c := cmp.Compare(x.queue.Priority, y.queue.Priority); c != 0 {
		return c
	}
	if c := cmp.Compare(rank(a), rank(b)); c != 0 {
		return c
	}
	return a.start.Compare(b.start)
}

// rank puts what fills behind all else, what is late behind what can be in time, and what is so late that it
// is of little use to its caller behind that.
func rank(c candidate) int {
	switch {
	case c.step.spec.BestEffort:
		return 4
	case c.step.spec.LongRunning:
		return 0
	case c.stale:
		return 3
	case c.late || c.gives:
		return 2
	}
	return 1
}

// unresolved tells whether runs of an earlier holder may go on that we don't know of.
func (p *Pool) unresolved() bool {
	for _, r := range p.runners {
		if !r.resolved() {
			return true
		}
	}
	return false
}

// latest returns when the rest of a turn has to start to end within the job's objective.
func (p *Pool) latest(t *turn, j *job) time.Time {
	return p.objective(t, j).Add(-p.learned[j.queue.Name].of(t.rest()))
}

// passage returns the time that the work of a turn would take with the whole pool for itself: a wide job has
// to begin so much earlier than a narrow one of the same chain.
func (p *Pool) passage(t *turn, j *job) time.Duration {
	if p.room == 0 {
		return 0
	}
	left := 0.0
	for _, s := range t.steps {
		left += s.work(s.left)
	}
	return p.through(left, float64(p.room), j)
}

// work returns the core time of so many of the step's tasks, as declared, in thousandths of a core-second.
func (s *step) work(tasks int) float64 {
	return float64(tasks) * float64(s.spec.Resources.CPU) * s.spec.Estimate.Seconds()
}

// through returns the time that work of a job would take with so much room for itself.
func (p *Pool) through(work, room float64, j *job) time.Duration {
	return p.learned[j.queue.Name].of(time.Duration(work / room * float64(time.Second)))
}

// measureRoom notes how much room the runners that take work have for tasks that end.
func (p *Pool) measureRoom(now time.Time) {
	p.room = 0
	for _, r := range p.runners {
		if !r.takes(now) {
			continue
		}
		p.room += r.Room.CPU
		for x := range r.runs {
			if x.task.step.spec.LongRunning {
				p.room -= x.task.step.spec.Resources.CPU
			}
		}
	}
}

// since returns from when a turn's time counts: its acceptance, or when it is due.
func (j *job) since(t *turn) time.Time { return later(j.accepted, t.due) }

// objective returns until when a turn's work is in time.
func (p *Pool) objective(t *turn, j *job) time.Time {
	from := j.since(t)
	chain := p.learned[j.queue.Name].of(j.spec.CriticalPath())
	return from.Add(time.Duration(j.queue.Slack*float64(chain)) + j.queue.Aim)
}

// lateFactor times a job's objective is how long its result is still of some use, from the callers' terms.
const lateFactor = 3

// stale tells whether even the late objective of a turn has passed.
func (p *Pool) stale(now time.Time, t *turn, j *job) bool {
	from := j.since(t)
	return now.Sub(from) > lateFactor*p.objective(t, j).Sub(from)
}
