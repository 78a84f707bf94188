package sched

import (
	"time"

	"gypsumlead/work"
)

const (
	// admissionSafety is the factor by which a pool would have to be larger than it can get for a refused job to be of use:
	// declared run times are wrong, and work ahead may be cancelled.
	admissionSafety = 1.5
	// backlogInterval is the time between two sums of the work of all jobs, which decides for most jobs that they are
	// accepted.
	backlogInterval = 100 * time.Millisecond
	// minRetryAfter is the least time after which the caller of a refused job may submit it again.
	minRetryAfter = time.Second
)

// backlog is the work that all jobs have left.
type backlog struct {
	at      time.Time
	cpuTime float64 // expected, in millicore-seconds
}

// MayRefuse reports whether so much work is left that a job might be certain to miss its late objective if the pool
// gets no further machines.
func (p *Pool) MayRefuse(now time.Time, queue work.Queue, spec work.Job) bool {
	return p.refusable(spec) && p.backlogExceeds(now, newJob("", queue, spec, now), 0)
}

// Refusal decides whether a job that is submitted now is certain to end after its late objective, even if the pool had
// admissionSafety times fullCPU millicores. It returns the time until the work ahead of the job will have been processed, in
// whole seconds.
func (p *Pool) Refusal(now, wall time.Time, id work.ID, queue work.Queue, spec work.Job, fullCPU int64) (retryAfter time.Duration, refused bool) {
	if !p.refusable(spec) {
		return 0, false
	}
	j := newJob(id, p.newestTerms(queue), spec, now)
	if !p.backlogExceeds(now, j, fullCPU) {
		return 0, false
	}
	p.shares.classifyRestored()
	j.excess = p.shares.wouldExceed(j)
	ahead, shed := p.queueAhead(now, wall, j, fullCPU)
	if !shed || !ahead.outlasts() {
		return 0, false
	}
	wait := time.Duration(ahead.total() * admissionSafety * float64(time.Second))
	return max(minRetryAfter, (wait + time.Second - 1).Truncate(time.Second)), true
}

// refusable reports whether a job may be refused for lack of capacity: it starts immediately, ends, and has an objective.
func (p *Pool) refusable(spec work.Job) bool {
	if !p.shares.configured || p.strategy != DeadlineAware || spec.LongRunning() || spec.Repeat > 0 || !spec.Start.IsZero() {
		return false
	}
	for i := range spec.Steps {
		if spec.Steps[i].BestEffort || spec.Steps[i].LongRunning {
			return false
		}
	}
	return true
}

// patience returns how long a job that was accepted now could wait and still end before its late objective.
func (p *Pool) patience(j *job) time.Duration {
	objective := p.objective(j.occurrences[0], j).Sub(j.accepted)
	return lateFactor*objective - p.estimateRatios[j.queue.Name].expected(j.spec.CriticalPath())
}

// fullCPU returns the CPU of the pool with the machines that it could get, at least one millicore.
func (p *Pool) fullCPU(fullCPU int64) float64 { return float64(max(1, p.schedulableCPU, fullCPU)) }

// backlogExceeds reports whether all work that is left, whatever its order, takes longer than the job can wait.
func (p *Pool) backlogExceeds(now time.Time, j *job, fullCPU int64) bool {
	if now.Sub(p.backlog.at) >= backlogInterval {
		p.measureSchedulableCPU(now)
		p.backlog = backlog{at: now, cpuTime: p.runningWork()}
		for _, other := range p.live {
			if !other.state.Final() {
				p.backlog.cpuTime += p.waitingWork(other)
			}
		}
	}
	return p.backlog.cpuTime/p.fullCPU(fullCPU) > admissionSafety*p.patience(j).Seconds()
}

// waiter is an occurrence that waits.
type waiter struct {
	candidate
	latest  time.Time     // latest start within the objective
	staleAt time.Time     // when its late objective passes
	work    time.Duration // time that the pool takes for it
}

// queueAhead is what would have to be processed before a new job.
type queueAhead struct {
	own     waiter
	running time.Duration // time that the pool takes for what runs and is on its way to runners
	waiting []waiter      // most urgent first
	free    time.Time     // when the pool would be through with what runs
}

// queueAhead returns what is ahead of a new job in a pool with admissionSafety times fullCPU millicores, and whether such a
// pool would shed the job.
func (p *Pool) queueAhead(now, wall time.Time, j *job, fullCPU int64) (queueAhead, bool) {
	p.measureSchedulableCPU(now)
	cpu := admissionSafety * p.fullCPU(fullCPU)
	p.live = append(p.live, j)
	list := p.candidatesWith(now, wall, int64(cpu))
	p.live = p.live[:len(p.live)-1]
	seconds := func(cpuTime float64) time.Duration { return time.Duration(cpuTime / cpu * float64(time.Second)) }
	q := queueAhead{running: seconds(p.runningWork())}
	q.free = now.Add(q.running)
	shed := false
	counted := map[*occurrence]struct{}{}
	for _, c := range list {
		occ, owner := c.step.occurrence, c.step.job
		if _, ok := counted[occ]; ok || c.step.spec.LongRunning || c.step.spec.BestEffort {
			continue
		}
		counted[occ] = struct{}{}
		from := owner.objectiveStart(occ)
		w := waiter{c, p.latestStart(occ, owner), from.Add(lateFactor * p.objective(occ, owner).Sub(from)), seconds(p.expectedWork(owner, occ.waitingWork()))}
		if owner == j {
			q.own, shed = w, c.shed
			continue
		}
		q.waiting = append(q.waiting, w)
	}
	return q, shed
}

// outlasts reports whether the pool is busy with what is ahead of the new job until that is of no use. There are two times
// at which the job can start: until its latest start, after what can be on time itself, and later, after all others that
// were accepted before it and aren't stale. What is ahead moves behind the job when it gets late, or stale.
func (q *queueAhead) outlasts() bool {
	chain := q.own.step.occurrence.remainingCriticalPath()
	untilLate, untilStale := q.free, q.free
	for _, w := range q.waiting {
		if !w.ahead(q.own) {
			continue
		}
		if !w.late && !untilLate.After(w.latest) {
			untilLate = untilLate.Add(w.work)
		}
		if !untilStale.After(w.staleAt) {
			untilStale = untilStale.Add(w.work)
		}
	}
	return untilLate.After(q.own.latest) && untilStale.After(q.own.staleAt.Add(-chain))
}

// total returns the seconds that the pool takes for all that is ahead of the new job and isn't stale.
func (q *queueAhead) total() float64 {
	sum := q.running
	for _, w := range q.waiting {
		if w.ahead(q.own) {
			sum += w.work
		}
	}
	return sum.Seconds()
}

// ahead reports whether an occurrence comes before another one that is as late: by priority, class and startBy.
func (w *waiter) ahead(of waiter) bool {
	a, b := w.step.job, of.step.job
	switch {
	case w.stale:
		return false
	case a.queue.Priority != b.queue.Priority:
		return a.queue.Priority < b.queue.Priority
	case a.excess != b.excess:
		return b.excess
	}
	return !w.startBy.After(of.startBy) // of equals, the one that was accepted before
}

// waitingWork returns the expected CPU time of the tasks of a job that wait.
func (p *Pool) waitingWork(j *job) float64 {
	sum := 0.0
	for _, occ := range j.occurrences {
		if occ.due.IsZero() {
			sum += occ.waitingWork()
		}
	}
	return p.expectedWork(j, sum)
}

// waitingWork returns the declared CPU time of the occurrence's tasks that wait.
func (o *occurrence) waitingWork() float64 {
	sum := 0.0
	for _, s := range o.steps {
		if !s.spec.LongRunning && !s.spec.BestEffort {
			sum += s.cpuTime(s.waiting)
		}
	}
	return sum
}

// runningWork returns the expected CPU time that is left to the runs that end.
func (p *Pool) runningWork() float64 {
	sum := 0.0
	for _, r := range p.runners {
		for run := range r.runs {
			if s := run.task.step; !s.spec.LongRunning && !s.spec.BestEffort {
				sum += p.expectedWork(s.job, s.cpuTime(1)*float64(100-min(100, max(0, run.percent)))/100)
			}
		}
	}
	return sum
}

// expectedWork returns the expected CPU time for a declared one of a job.
func (p *Pool) expectedWork(j *job, cpuTime float64) float64 {
	return cpuTime * p.estimateRatios[j.queue.Name].expected(time.Second).Seconds()
}
