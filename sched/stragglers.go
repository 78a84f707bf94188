package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// Limits for stopping runs that stall or are slow.
const (
	assessInterval     = 100 * time.Millisecond  // between two passes over all runs
	stallTimeout       = 1500 * time.Millisecond // a run without progress for this long is stalled; one percent of the longest usual task takes far less
	minRunAge          = 500 * time.Millisecond  // before this a run's rate of progress gives no information
	stragglerFactor    = 2.5                     // a run is a straggler if its remaining time is this many times its step's mean run time; runners with a larger slowdown are avoided
	slowdownWeight     = 0.3                     // weight of a new observation in a runner's slowdown
	maxSlowRestarts    = 1                       // restarts of a task as a straggler: if it is slow again, the task itself is long
	longRunningStartup = 6 * time.Second         // longest start-up of a long-running task
)

// attributeFailure records a task's failure on a runner, and counts it against the runner unless the job is at fault.
func (p *Pool) attributeFailure(now time.Time, r *runner, t *task) {
	if !slices.Contains(t.failedOn, r.ID) {
		t.failedOn = append(t.failedOn, r.ID)
	}
	// A long-running task may fail at any time; that gives no information about the runner.
	if t.step.spec.LongRunning || p.jobAtFault(t.step.job, r.ID) {
		return
	}
	r.health.recordFailure(t.step.job.id, now)
}

// jobAtFault reports whether the job's tasks have failed on enough runners, except one, to be at fault themselves.
func (p *Pool) jobAtFault(j *job, except string) bool {
	runners := map[string]struct{}{}
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				for _, id := range t.failedOn {
					if id != except {
						runners[id] = struct{}{}
					}
				}
			}
		}
	}
	return len(runners) >= jobAtFaultRunners
}

// learnRunTime updates the runner's health and the queue's estimate ratio from a run that has succeeded.
func (p *Pool) learnRunTime(now time.Time, run *taskRun, reason work.EndReason) {
	s := run.task.step
	if reason != work.EndDone || s.spec.LongRunning || run.confirmedAt.IsZero() {
		return
	}
	run.runner.health.recordSuccess()
	if (run.task.lastRun > run.number && !run.hasCopy()) || run.pace < 100 {
		return
	}
	ratio, ok := p.estimateRatios[s.job.queue.Name]
	if !ok {
		ratio = &estimateRatio{}
		p.estimateRatios[s.job.queue.Name] = ratio
	}
	took := p.localTime(run, now.Sub(run.confirmedAt))
	run.runner.health.recordRunTime(took, ratio.expected(s.spec.Estimate))
	ratio.observe(took, s.spec.Estimate)
	s.totalRunTime += took
	s.timedTasks++
}

// assessRuns stops stalled runs and stragglers, in passes at least assessInterval apart.
func (p *Pool) assessRuns(now time.Time) {
	if now.Sub(p.lastAssessed) < assessInterval {
		return
	}
	p.lastAssessed = now
	// In a fixed order, as a run that is stopped here may exclude its runner from taking the next one.
	for _, r := range p.sortedRunners() {
		if r.silent(now) || r.polledAt.IsZero() {
			continue
		}
		for _, run := range r.sortedRuns() {
			if run.phase == running {
				p.assessRun(now, r, run)
			}
		}
	}
}

// assessRun stops a run if it is stalled or a straggler.
func (p *Pool) assessRun(now time.Time, r *runner, run *taskRun) {
	s := run.task.step
	// Progress is known only as of the last poll, so its age is taken as of that poll.
	sinceProgress := r.polledAt.Sub(run.progressedAt)
	if s.spec.LongRunning {
		if run.percent < 100 && r.polledAt.Sub(run.confirmedAt) > longRunningStartup && sinceProgress > stallTimeout && !s.spec.BestEffort && s.mayRestartStalled(now, run.task) {
			p.stopStalled(now, r, run)
		}
		return
	}
	if s.spec.BestEffort || s.spec.Gang {
		return // its speed depends on other runs on the runner, or on the gang's slowest member
	}
	if sinceProgress > max(stallTimeout, s.spec.Estimate/20) && run.percent < 100 {
		p.stopStalled(now, r, run)
		return
	}
	p.stopStraggler(now, r, run)
}

// stopStraggler stops a run that a new one on another runner would overtake, if there is such a runner. It compares
// with the mean run time of the step's other tasks, as the declared run time may be wrong for all of them.
func (p *Pool) stopStraggler(now time.Time, r *runner, run *taskRun) {
	if p.copiesApply(run.task) {
		return
	}
	s := run.task.step
	elapsed := r.polledAt.Sub(run.confirmedAt)
	if s.timedTasks == 0 || run.task.slowRestarts >= maxSlowRestarts || elapsed < minRunAge || run.percent <= 0 || run.percent >= 100 || run.task.checkpoint != "" {
		return
	}
	remaining := p.localTime(run, time.Duration(float64(elapsed)/float64(run.percent)*float64(100-run.percent)))
	typical := s.totalRunTime / time.Duration(s.timedTasks)
	if float64(remaining) < stragglerFactor*float64(typical) || !p.fitsElsewhere(now, run) {
		return
	}
	run.task.slowRestarts++
	run.stop("too slow")
	p.attributeFailure(now, r, run.task)
}

// stopStalled stops a stalled run.
func (p *Pool) stopStalled(now time.Time, r *runner, run *taskRun) {
	run.stop("stands still")
	p.attributeFailure(now, r, run.task)
}

// fitsElsewhere reports whether another runner can take the run's task now.
func (p *Pool) fitsElsewhere(now time.Time, run *taskRun) bool {
	for _, r := range p.runners {
		if r != run.runner && p.fits(now, r, run.task) {
			return true
		}
	}
	return false
}
