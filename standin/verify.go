package standin

import (
	"fmt"
	"time"

	"gypsumlead/work"
)

// Verify returns all violations; call it once every job has had time to finish. Beside those recorded so far, it
// reports accepted jobs that are not finished or whose state doesn't match their runs, jobs that ran though they were
// refused, jobs that run though they were cancelled, and long-running tasks that aren't running.
func (c *Checker) Verify(stateOf func(id work.ID) work.State) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	problems := append([]string(nil), c.Violations...)
	for id, jr := range c.jobs {
		problems = append(problems, c.verifyJob(id, jr, stateOf(id))...)
	}
	return problems
}

// verifyJob returns what is wrong with a job in its last state.
func (c *Checker) verifyJob(id work.ID, jr *jobRecord, state work.State) []string {
	started, done, failed, crashed, active := false, true, false, false, false
	for stepIndex, step := range jr.job.Steps {
		for i := range step.Count {
			tr := c.tasks[work.Task{Job: id, Step: stepIndex, Index: i}.String()]
			if tr == nil {
				done = false
				continue
			}
			started = true
			active = active || len(tr.active) > 0
			done = done && tr.done != nil
			failed = failed || len(tr.fails) >= jr.attempts
			crashed = crashed || tr.crashes >= minRunnerCrashes
		}
	}
	switch {
	case jr.refused && started:
		return []string{fmt.Sprintf("job %s ran though every reply refused it", id)}
	case jr.lastRefused && started:
		return []string{fmt.Sprintf("job %s ran though the reply to its last try refused it", id)}
	case active && !jr.cancelledAt.IsZero():
		return []string{fmt.Sprintf("tasks of job %s run at the end, %v after its cancellation", id, time.Since(jr.cancelledAt))}
	case !jr.accepted:
	case state == work.Done && !done:
		return []string{fmt.Sprintf("job %s is reported as completed, but not all of its tasks are done", id)}
	case state == work.Failed && !failed && !crashed:
		return []string{fmt.Sprintf("job %s is reported as failed, but no task has used up its attempts or crashed two runners", id)}
	case jr.job.LongRunning() && jr.cancelledAt.IsZero():
		return c.verifyLongRunning(id, jr.job)
	case !state.Final():
		return []string{fmt.Sprintf("job %s was accepted, but its state at the end is %q", id, state)}
	}
	return nil
}

// verifyLongRunning returns the long-running tasks that aren't running.
func (c *Checker) verifyLongRunning(id work.ID, job work.Job) []string {
	var problems []string
	for stepIndex, step := range job.Steps {
		for i := range step.Count {
			t := work.Task{Job: id, Step: stepIndex, Index: i}
			if tr := c.tasks[t.String()]; step.LongRunning && (tr == nil || len(tr.active) == 0) {
				problems = append(problems, fmt.Sprintf("long-running task %s is not running at the end", t))
			}
		}
	}
	return problems
}
