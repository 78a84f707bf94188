package standin

import (
	"fmt"
	"maps"
	"net/netip"
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
	copies     int                    // of these, beside another run of the task
	ends       map[work.EndReason]int
	services   map[string]*serviceRecord // by name of a long-running task
	keys       map[string]*keyRecord     // by key
	keyUses    KeyUses
	routes     map[string]*routeRecord // by prefix
	contact    func(netip.Addr) time.Time
}

// jobRecord is what the checker knows of a submitted job.
type jobRecord struct {
	job         work.Job
	attempts    int       // failed runs of a task after which its job fails
	accepted    bool      // at least one reply accepted it
	acceptedAt  time.Time // when the first of these replies arrived
	begun       bool      // a run of one of its tasks has started
	refused     bool      // every reply so far was a refusal
	lastRefused bool      // the latest reply was a refusal, after which no further try was sent
	cancelSent  bool      // a caller has sent its cancellation
	cancelledAt time.Time // zero unless a cancellation was acknowledged
}

// taskRecord is what the checker knows of a task.
type taskRecord struct {
	active     map[*Runner]int // run numbers in progress, by runner
	done       *runEnd         // latest end as done; an acknowledged one is not replaced
	fails      map[int]*runEnd // ends as failed, by run number
	crashes    int             // runners that crashed under it
	lateStarts int             // starts after maxRunnerCrashes
}

// runEnd is the end of a run as done or failed.
type runEnd struct {
	runner      *Runner
	born        int64
	number      int64     // in the runner's list of ends
	restartedAt time.Time // when the task was last started after this end; zero if it was not
	acked       bool      // the leader acknowledged the end
	ackedAt     time.Time
	void        bool // the runner's lease expired, or it crashed, before the leader acknowledged the end
}

// NewChecker returns a checker that has observed nothing.
func NewChecker() *Checker {
	return &Checker{jobs: map[work.ID]*jobRecord{}, tasks: map[string]*taskRecord{}, ends: map[work.EndReason]int{}, services: map[string]*serviceRecord{}, keys: map[string]*keyRecord{}, routes: map[string]*routeRecord{}, contact: func(netip.Addr) time.Time { return time.Time{} }}
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
	if accepted && !jr.accepted {
		jr.accepted, jr.acceptedAt = true, time.Now()
	}
	jr.refused = jr.refused && refused
}

// countDelay is how old a job must be at the time of a request for the number of pending jobs that has to include it, from
// the platform's documentation: the delay with which a job becomes visible, and the permitted age of the number.
const countDelay = 5 * time.Second

// CountAnswered checks the answer to a request, sent at askedAt, for the number of pending jobs among ids. It is a
// violation if the answer is under half of the jobs that have been accepted for countDelay and have not begun. A job whose
// cancellation was sent may be cancelled though the acknowledgement was lost.
func (c *Checker) CountAnswered(ids []work.ID, askedAt time.Time, answer int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waiting []work.ID
	for _, id := range ids {
		if jr := c.jobs[id]; jr.accepted && !jr.begun && !jr.cancelSent && askedAt.Sub(jr.acceptedAt) > countDelay {
			waiting = append(waiting, id)
		}
	}
	if 2*answer < len(waiting) {
		c.addViolation("%d jobs were said to be pending to a request of %v while %d have been accepted for %v and have not begun, the first is %s",
			answer, askedAt.Format(time.TimeOnly), len(waiting), countDelay, waiting[0])
	}
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
		tr = &taskRecord{active: map[*Runner]int{}, fails: map[int]*runEnd{}}
		c.tasks[name] = tr
	}
	return tr
}

// Limits for a task that crashes its runners, from the platform's documentation.
const (
	minRunnerCrashes = 2 // crashes of runners under a task after which it may be given up
	maxRunnerCrashes = 3 // crashes after which it may be started fewer than maxLateStarts times more
	maxLateStarts    = 3
)

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
	jr.begun = true
	step := jr.job.Steps[t.Step]
	if len(tr.active) > 0 && !step.Speculative {
		c.addViolation("%s run %d started on %s while another run is in progress", name, run, r.ID)
	}
	c.copies += min(len(tr.active), 1)
	if len(tr.active) > 1 {
		c.addViolation("%s run %d started on %s while %d runs are in progress", name, run, r.ID, len(tr.active))
	}
	if tr.done != nil && tr.done.acked && (!step.Speculative || time.Since(tr.done.ackedAt) > speculativeSlack) {
		c.addViolation("%s run %d started after the task was done", name, run)
	}
	if tr.done != nil && !tr.done.acked && !tr.done.void && !step.Speculative {
		tr.done.restartedAt = time.Now() // a violation if the leader acknowledges that end later, see endAcked
	}
	for _, end := range tr.fails {
		end.restartedAt = time.Now()
	}
	c.checkAttempts(name, tr, jr.attempts, step)
	c.checkCrashes(name, tr, jr, t.Step)
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

// speculativeSlack is how long a copy may still be started after the last failure or the end as done was acknowledged, from the platform's
// documentation.
const speculativeSlack = time.Second

// checkAttempts records a violation if a task was started after all of its attempts had failed, and the leader has
// acknowledged these ends. It is called for each start and each acknowledgement; the caller holds c.mu.
func (c *Checker) checkAttempts(name string, tr *taskRecord, attempts int, step work.Step) {
	if step.LongRunning {
		return
	}
	counted := 0
	for _, end := range tr.fails {
		if end.acked && !end.restartedAt.IsZero() && (!step.Speculative || end.restartedAt.Sub(end.ackedAt) > speculativeSlack) {
			counted++
		}
	}
	if counted >= attempts {
		c.addViolation("%s started after %d acknowledged failures", name, counted)
	}
}

// roomExceeded records that a runner without a guard of its room is about to start a task that doesn't fit.
func (c *Checker) roomExceeded(r *Runner, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("%s started on %s beyond its room", name, r.ID)
}

// checkCrashes checks that a task that crashes its runners is not started too often; the caller holds c.mu.
func (c *Checker) checkCrashes(name string, tr *taskRecord, jr *jobRecord, step int) {
	spec, ok := parseSpec(jr.job.Spec)
	if !ok || !spec.Steps[step].CrashesRunner || tr.crashes < maxRunnerCrashes {
		return
	}
	tr.lateStarts++
	if tr.lateStarts == maxLateStarts {
		c.addViolation("%s was started %d times more after %d runners had crashed under it", name, maxLateStarts, maxRunnerCrashes)
	}
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
		tr.fails[run] = &runEnd{runner: r, born: r.born, number: endNumber}
	}
}

// endAcked records that the leader acknowledged an end of a runner. It is a violation if the task was started again
// between that end and its acknowledgement, and it was done or this was its last attempt.
func (c *Checker) endAcked(r *Runner, endNumber int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, tr := range c.tasks {
		for _, end := range tr.fails {
			if end.is(r, endNumber) && !end.void {
				end.acked, end.ackedAt = true, time.Now()
				c.checkFailAcked(name, tr)
			}
		}
		end := tr.done
		if end == nil || !end.is(r, endNumber) {
			continue
		}
		if !end.void && !end.restartedAt.IsZero() {
			c.addViolation("%s started after it was done, and the leader acknowledged that end later", name)
		}
		end.acked, end.ackedAt = !end.void, time.Now()
	}
}

// is reports whether this is the unacknowledged end with a number in the list of a runner's incarnation.
func (e *runEnd) is(r *Runner, number int64) bool {
	return e.runner == r && e.born == r.born && e.number == number && !e.acked
}

// checkFailAcked checks a task's starts after the leader has acknowledged a failure. The caller holds c.mu.
func (c *Checker) checkFailAcked(name string, tr *taskRecord) {
	t, ok := work.ParseTask(name)
	if !ok {
		return // runStarted has seen only names of tasks
	}
	if jr, ok := c.jobs[t.Job]; ok {
		c.checkAttempts(name, tr, jr.attempts, jr.job.Steps[t.Step])
	}
}

// runLost records that a run ended because its runner crashed.
func (c *Checker) runLost(r *Runner, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tr := c.task(name)
	delete(tr.active, r)
	tr.crashes++
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
		for _, end := range tr.fails {
			end.void = end.void || (end.runner == r && !end.acked)
		}
	}
}

// CopyCount returns the number of runs started beside another run of their task.
func (c *Checker) CopyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies
}

// RunCounts returns the number of runs started, and the number of ended runs by reason.
func (c *Checker) RunCounts() (starts int, ends map[work.EndReason]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, maps.Clone(c.ends)
}
