package standin

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"gypsumlead/work"
)

// Checker observes every submission, start and end of a run, and records violations of the scheduler's invariants.
type Checker struct {
	mu         sync.Mutex
	jobs       map[work.ID]*jobRecord
	tasks      map[string]*taskRecord // by task name
	Violations []string               // found so far
	starts     int                    // number of runs started
	ends       map[work.EndReason]int
	services   map[string]*serviceRecord // by name of a long-running task
}

// jobRecord is what the checker knows of a submitted job.
type jobRecord struct {
	job         work.Job
	attempts    int       // failed runs of a task after which its job fails
	accepted    bool      // at least one reply accepted it
	refused     bool      // every reply so far was a refusal
	lastRefused bool      // the latest reply was a refusal, after which no further try was sent
	cancelSent  bool      // a caller has sent its cancellation
	cancelledAt time.Time // zero unless a cancellation was acknowledged
}

// taskRecord is what the checker knows of a task.
type taskRecord struct {
	active     map[*Runner]int  // run numbers in progress, by runner
	done       *runEnd          // latest end as done; an acknowledged one is not replaced
	fails      map[int]struct{} // run numbers that failed
	ackedFails int              // never incremented, so runStarted does not yet report starts after the last attempt
}

// runEnd is the end of a run as done.
type runEnd struct {
	runner      *Runner
	born        int64
	number      int64     // in the runner's list of ends
	restartedAt time.Time // when the task was last started after this end; zero if it was not
	acked       bool      // the leader acknowledged the end
	void        bool      // the runner's lease expired, or it crashed, before the leader acknowledged the end
}

// NewChecker returns a checker that has observed nothing.
func NewChecker() *Checker {
	return &Checker{jobs: map[work.ID]*jobRecord{}, tasks: map[string]*taskRecord{}, ends: map[work.EndReason]int{}, services: map[string]*serviceRecord{}}
}

// addViolation records a violation; the caller holds c.mu.
func (c *Checker) addViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
}

// Submitted records that a job is about to be submitted, with the number of attempts that each task has.
func (c *Checker) Submitted(id work.ID, job work.Job, attempts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.jobs[id]; !ok {
		c.jobs[id] = &jobRecord{job: job, attempts: attempts, refused: true}
	}
}

// SubmitAnswered records the reply to a job's submission; neither flag is set if the outcome is unknown. To refuse a job
// that an earlier reply accepted is a violation.
func (c *Checker) SubmitAnswered(id work.ID, accepted, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	jr := c.jobs[id]
	if refused && jr.accepted {
		c.addViolation("job %s was refused after it had been accepted", id)
	}
	jr.lastRefused = refused
	jr.accepted = jr.accepted || accepted
	jr.refused = jr.refused && refused
}

// CancelSent records that a job's cancellation is about to be sent.
func (c *Checker) CancelSent(id work.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelSent = true
}

// CancelAcked records that a job's cancellation was acknowledged.
func (c *Checker) CancelAcked(id work.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelledAt = time.Now()
}

// task returns the record of a task, new if there is none; the caller holds c.mu.
func (c *Checker) task(name string) *taskRecord {
	tr, ok := c.tasks[name]
	if !ok {
		tr = &taskRecord{active: map[*Runner]int{}, fails: map[int]struct{}{}}
		c.tasks[name] = tr
	}
	return tr
}

// cancelGrace is how long a job's tasks may still start after its cancellation, from the platform's documentation. A
// start that a runner executes late may come up to maxOrderDelay after that.
const cancelGrace = 3 * time.Second

// runStarted records the start of a run, by an order that may have been delayed, and checks that the task could start.
func (c *Checker) runStarted(r *Runner, t work.Task, run int, delayed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	name := t.String()
	tr := c.task(name)
	jr, ok := c.jobs[t.Job]
	if !ok {
		c.addViolation("%s started though no caller submitted its job", name)
		return
	}
	step := jr.job.Steps[t.Step]
	if len(tr.active) > 0 && !step.Speculative {
		c.addViolation("%s run %d started on %s while another run is in progress", name, run, r.ID)
	}
	if tr.done != nil && tr.done.acked && !step.Speculative {
		c.addViolation("%s run %d started after the task was done", name, run)
	}
	if tr.done != nil && !tr.done.acked && !tr.done.void && !step.Speculative {
		tr.done.restartedAt = time.Now() // a violation if the leader acknowledges that end later, see endAcked
	}
	if !step.LongRunning && len(tr.fails) >= jr.attempts && tr.ackedFails >= jr.attempts {
		c.addViolation("%s run %d started after %d failures", name, run, len(tr.fails))
	}
	grace := cancelGrace
	if delayed {
		grace += maxOrderDelay
	}
	if !jr.cancelledAt.IsZero() && time.Since(jr.cancelledAt) > grace {
		c.addViolation("%s started %v after the cancellation of its job", name, time.Since(jr.cancelledAt))
	}
	for _, predecessorStep := range step.After {
		for i := range jr.job.Steps[predecessorStep].Count {
			predecessor := work.Task{Job: t.Job, Occurrence: t.Occurrence, Step: predecessorStep, Index: i}
			if predecessorRecord := c.task(predecessor.String()); predecessorRecord.done == nil {
				c.addViolation("%s started before %s was done", name, predecessor)
			}
		}
	}
	tr.active[r] = run
}

// runEnded records the end of a run and its number in the runner's list of ends.
func (c *Checker) runEnded(r *Runner, endNumber int64, name string, run int, reason work.EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[reason]++
	tr := c.task(name)
	delete(tr.active, r)
	switch reason {
	case work.EndDone:
		if tr.done == nil || !tr.done.acked {
			tr.done = &runEnd{runner: r, born: r.born, number: endNumber}
		}
	case work.EndFailed:
		tr.fails[run] = struct{}{}
	}
}

// endAcked records that the leader acknowledged an end of a runner. It is a violation if the task was started again
// between that end and its acknowledgement.
func (c *Checker) endAcked(r *Runner, endNumber int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, tr := range c.tasks {
		end := tr.done
		if end == nil || end.runner != r || end.born != r.born || end.number != endNumber || end.acked {
			continue
		}
		if !end.void && !end.restartedAt.IsZero() {
			c.addViolation("%s started after it was done, and the leader acknowledged that end later", name)
		}
		end.acked = !end.void
	}
}

// runLost records that a run ended because its runner crashed.
func (c *Checker) runLost(r *Runner, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.task(name).active, r)
}

// runnerLost records that a runner's lease expired or that it crashed: its ends that the leader has not acknowledged no
// longer count.
func (c *Checker) runnerLost(r *Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voidUnackedEnds(r)
}

// voidUnackedEnds marks a runner's unacknowledged ends as void; the caller holds c.mu.
func (c *Checker) voidUnackedEnds(r *Runner) {
	for _, tr := range c.tasks {
		if tr.done != nil && tr.done.runner == r && !tr.done.acked {
			tr.done.void = true
		}
	}
}

// Verify returns all violations; call it once every job has had time to finish. Beside those recorded so far, it
// reports accepted jobs that are not finished or whose state doesn't match their runs, jobs that ran though they were
// refused, and long-running tasks that aren't running.
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
	started, done, failed := false, true, false
	for stepIndex, step := range jr.job.Steps {
		for i := range step.Count {
			tr := c.tasks[work.Task{Job: id, Step: stepIndex, Index: i}.String()]
			if tr == nil {
				done = false
				continue
			}
			started = true
			done = done && tr.done != nil
			failed = failed || len(tr.fails) >= jr.attempts
		}
	}
	switch {
	case jr.refused && started:
		return []string{fmt.Sprintf("job %s ran though every reply refused it", id)}
	case jr.lastRefused && started:
		return []string{fmt.Sprintf("job %s ran though the reply to its last try refused it", id)}
	case !jr.accepted:
	case state == work.Done && !done:
		return []string{fmt.Sprintf("job %s is reported as completed, but not all of its tasks are done", id)}
	case state == work.Failed && !failed:
		return []string{fmt.Sprintf("job %s is reported as failed, but no task has used up its attempts", id)}
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

// RunCounts returns the number of runs started, and the number of ended runs by reason.
func (c *Checker) RunCounts() (starts int, ends map[work.EndReason]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, maps.Clone(c.ends)
}
