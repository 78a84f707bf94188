package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// job is an accepted job.
type job struct {
	id             work.ID
	queue          work.Queue
	spec           work.Job
	accepted       time.Time
	state          work.State // as decided by this pool
	committedState work.State // as the store has it
	inherited      bool       // accepted under an earlier leader, whose runs may not all be known yet
	placements     placements // runners that may have runs of the job
	workspace      *workspace // nil if it has none
	heldUp         bool       // the cap of its workspace has held it up
	occurrences    []*occurrence
	shedFactor     float64   // see shedWeight
	shedFor        string    // see JobEnd
	excess         bool      // beyond the guaranteed rate of its workspace
	remaining      int       // tasks that aren't done
	changeSeq      int64     // sequence number of the latest change
	committedSeq   int64     // sequence number of the latest change that the store has
	dirtySince     time.Time // since when the progress has been uncommitted
	commitNow      bool      // the changes don't wait for commitDelay
	firstStart     time.Time
	ended          time.Time
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	index int
	due   time.Time
	steps []*step
}

// step is one step of one occurrence.
type step struct {
	job          *job
	occurrence   *occurrence
	index        int
	spec         *work.Step
	tasks        []*task
	remaining    int           // tasks that aren't done
	waiting      int           // tasks without a run that aren't done
	failedRuns   []int         // of a gang: numbers of its failed runs
	totalRunTime time.Duration // sum over the timed tasks
	timedTasks   int           // tasks whose run time was measured
	awaiting     int           // waiting tasks that the last plan let wait for a rack
	rack         string        // rack of the first run, if the tasks belong in the same rack
	spread       bool          // they have had runs in several racks
	waited       bool          // a task of it has begun to wait for a rack
	home         string        // rack that was chosen for such a step
	spreads      bool          // it was decided to start them in several racks
	madeRoom     madeRoom      // by stopping less urgent runs, until one of its tasks is started
	// answers of the policy service by runner; only if the queue requires approval
	approvals   map[string]approval
	fewApproved int // successive answers that approved under half of the runners
}

// approval is the policy service's answer for one step on one runner.
type approval struct {
	ticket     string // empty if the runner isn't approved
	born       int64
	validUntil time.Time
}

// task is one task of a step.
type task struct {
	name         work.Task
	step         *step
	done         bool
	lastRun      int   // highest run number known
	failedRuns   []int // numbers of its failed runs
	crashes      []Crash
	suspect      bool   // a runner has crashed under it, and no run of it has lasted since
	lostTrial    *Trial // its runner may have crashed
	checkpoint   string
	runs         []*taskRun
	failedOn     []string  // runners on which it failed, stalled or was too slow
	held         bool      // not restarted until leadership is confirmed: a later leader may have continued it
	slowRestarts int       // how often it was restarted as a straggler
	waitingSince time.Time // when it last became a task without a run
	rackWait     *rackWait // its wait for a rack; nil if it has never waited
}

// phase is the stage of a run's life.
type phase int

// The phases of a run.
const (
	planned     phase = iota // has its room; the start is not ordered before the store has its runner among the job's placements
	sending                  // start ordered, not answered yet
	unconfirmed              // the start wasn't answered, so that the run may exist
	running
	stopping // to be stopped, its end not listed yet
)

// taskRun is one run of a task on a runner, from the start order to its end.
type taskRun struct {
	task            *task
	number          int
	runner          *runner
	phase           phase
	sentAt          time.Time
	confirmedAt     time.Time     // when it was first known to be running
	adopted         bool          // an earlier leader started it
	stoppedBy       time.Duration // by the runner's clock: when a stop of the adopted run that was ordered before has ended it
	listed          bool          // a poll has listed it in its runner's present incarnation
	percent         int
	progressedAt    time.Time // when the percentage last changed
	load            float64   // as work.Run.Load: of a serving task its tail latency in ms
	overTargetSince time.Time // since when its tail latency has been above the target
	withdrawn       bool      // of a planned run: it is no longer wanted
	trial           bool      // of a suspect: it isn't settled, and runs of other jobs are kept off its runner
	needsSeq        int64     // sequence number of the job's change that the store must have before the start
	pace            int       // percent of full speed; -1 if unknown
	pacedAt         time.Time
	stopReason      string
	stopDetail      string    // what was known of the step's other tasks, if their allowance decided
	movedAt         time.Time // when it was stopped to restart on another runner
	stopSentAt      time.Time
	stopAckedAt     time.Time // when a stop order was answered
}

func newJob(id work.ID, q work.Queue, spec work.Job, now time.Time) *job {
	j := &job{id: id, queue: q, spec: spec, accepted: now, state: work.Queued, committedState: work.Queued, placements: placements{}, shedFactor: shedFactor(id)}
	for occIndex := range spec.Occurrences() {
		occ := &occurrence{index: occIndex, due: spec.EarliestStart(occIndex)}
		for stepIndex := range spec.Steps {
			s := &step{job: j, occurrence: occ, index: stepIndex, spec: &j.spec.Steps[stepIndex]}
			for i := range s.spec.Count {
				name := work.Task{Job: id, Occurrence: occIndex, Step: stepIndex, Index: i}
				s.tasks = append(s.tasks, &task{name: name, step: s, waitingSince: now})
			}
			s.remaining, s.waiting = len(s.tasks), len(s.tasks)
			j.remaining += len(s.tasks)
			occ.steps = append(occ.steps, s)
		}
		j.occurrences = append(j.occurrences, occ)
	}
	return j
}

// findTask returns a task by its name, or nil.
func (j *job) findTask(name work.Task) *task {
	if name.Occurrence >= len(j.occurrences) || name.Step >= len(j.spec.Steps) {
		return nil
	}
	s := j.occurrences[name.Occurrence].steps[name.Step]
	if name.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[name.Index]
}

// ready reports whether the step's tasks may start: it is due and its predecessors are done.
func (s *step) ready(wall time.Time) bool {
	if !s.occurrence.due.IsZero() && wall.Before(s.occurrence.due) {
		return false
	}
	for _, a := range s.spec.After {
		if s.occurrence.steps[a].remaining > 0 {
			return false
		}
	}
	return true
}

// eachTask calls f for every task of the job.
func (j *job) eachTask(f func(*task)) {
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				f(t)
			}
		}
	}
}

// eachNumberedTask calls f for every task of the job with its number, counted from 0 through all occurrences and steps.
func (j *job) eachNumberedTask(f func(int, *task)) {
	n := 0
	j.eachTask(func(t *task) {
		f(n, t)
		n++
	})
}

// countTasks returns the number of the job's tasks, done or not.
func (j *job) countTasks() int {
	n := 0
	for _, s := range j.spec.Steps {
		n += s.Count
	}
	return n * len(j.occurrences)
}

// remainingCriticalPath returns the longest chain of declared estimates over the steps that aren't done.
func (o *occurrence) remainingCriticalPath() time.Duration {
	ends := make([]time.Duration, len(o.steps))
	longest := time.Duration(0)
	for i, s := range o.steps {
		if s.remaining == 0 {
			continue
		}
		for _, a := range s.spec.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.spec.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// wantsRun reports whether the task waits for a run that may start now.
func (t *task) wantsRun() bool { return !t.done && len(t.runs) == 0 && !t.held }

// findRun returns the task's run with the given number on a runner, or nil.
func (t *task) findRun(r *runner, number int) *taskRun {
	for _, run := range t.runs {
		if run.runner == r && run.number == number {
			return run
		}
	}
	return nil
}

// removeRun removes a run that has ended from its task and its runner.
func (t *task) removeRun(run *taskRun, now time.Time) {
	i := slices.Index(t.runs, run)
	if i < 0 {
		return
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	run.runner.removeRun(run)
	j := t.step.job
	j.workspace.account(t.step.spec, -1)
	j.placements.removeRun(run.runner.ID, j.changeSeq+1)
	if len(t.runs) == 0 && !t.done {
		t.step.waiting++
		t.waitingSince = now
	}
}

// addRun adds a run to the task and to the run's runner.
func (t *task) addRun(run *taskRun) {
	t.step.noteRack(run.runner)
	if len(t.runs) == 0 && !t.done {
		t.step.waiting--
	}
	t.runs = append(t.runs, run)
	t.lastRun = max(t.lastRun, run.number)
	run.runner.addRun(run)
	t.step.job.workspace.account(t.step.spec, 1)
	t.step.job.placements.addRun(run.runner.ID)
}

// markDone marks the task as done. Its runs are not removed.
func (t *task) markDone() {
	if t.done {
		return
	}
	t.done = true
	t.step.remaining--
	t.step.job.remaining--
	if len(t.runs) == 0 {
		t.step.waiting--
	}
}
