package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// job is an accepted job; a task of it has at most one run at a time, two where copies are allowed.
type job struct {
	id        work.ID
	queue     work.Queue
	spec      work.Job
	accepted  time.Time
	state     work.State // as decided here
	shown     work.State // as committed
	inherited bool       // accepted under an earlier holder, whose runs may not all be known yet
	turns     []*turn
	left      int   // tasks that aren't done
	changed   int64 // sequence number of the latest change
	saved     int64 // sequence number up to which the store has it
	lazySince time.Time
	first     time.Time // first start
	ended     time.Time
}

// turn is one time that a job's steps run.
type turn struct {
	k     int
	due   time.Time
	steps []*step
}

// step is one step of one turn.
type step struct {
	job   *job
	turn  *turn
	n     int
	spec  *work.Step
	tasks []*task
	left  int // tasks that aren't done
	wait  int // tasks without a run that aren't done
	fails []int
	took  time.Duration // by its tasks that were timed
	timed int
	// approvals of the policy service, by runner; only where the queue needs them
	tickets map[string]ticket
	asked   time.Time
}

type ticket struct {
	text string
	born int64
	till time.Time
}

// task is one task of a step.
type task struct {
	name  work.Task
	step  *step
	done  bool
	last  int // highest run number known
	fails []int
	saved string
	runs  []*run
	bad   []string // runners on which it failed or stood still
	doubt bool     // a later holder may have gone on with it
	slow  int      // how often it was started anew because it was too slow
	since time.Time
}

// phase is how far a run is.
type phase int

// The phases of a run.
const (
	sending phase = iota // ordered, not answered yet
	unsure               // the order wasn't answered
	running
	stopping
)

// run is one run of a task on a runner, from the order to its end.
type run struct {
	task    *task
	n       int
	r       *runner
	phase   phase
	sent    time.Time
	sure    time.Time // when it was first known to run
	listed  bool      // a look has listed it, in its runner's present life
	percent int
	moved   time.Time // when the percentage last changed
	load    float64
	over    time.Time // since when its tail is above the target
	pace    int       // percent of its speed
	paced   time.Time
	why     string // why it is stopped
	asked   time.Time
	stopped time.Time // when the order to stop was answered
}

func newJob(id work.ID, q work.Queue, spec work.Job, now time.Time) *job {
	j := &job{id: id, queue: q, spec: spec, accepted: now, state: work.Queued, shown: work.Queued}
	for k := range spec.Occurrences() {
		t := &turn{k: k, due: spec.EarliestStart(k)}
		for n := range spec.Steps {
			s := &step{job: j, turn: t, n: n, spec: &j.spec.Steps[n]}
			for i := range s.spec.Count {
				name := work.Task{Job: id, Occurrence: k, Step: n, Index: i}
				s.tasks = append(s.tasks, &task{name: name, step: s, since: now})
			}
			s.left, s.wait = len(s.tasks), len(s.tasks)
			j.left += len(s.tasks)
			t.steps = append(t.steps, s)
		}
		j.turns = append(j.turns, t)
	}
	return j
}

// find returns a task by its name, or nil.
func (j *job) find(name work.Task) *task {
	if name.Occurrence >= len(j.turns) || name.Step >= len(j.spec.Steps) {
		return nil
	}
	s := j.turns[name.Occurrence].steps[name.Step]
	if name.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[name.Index]
}

// ready tells whether the step's tasks may start.
func (s *step) ready(wall time.Time) bool {
	if !s.turn.due.IsZero() && wall.Before(s.turn.due) {
		return false
	}
	for _, a := range s.spec.After {
		if s.turn.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// each calls f for every task of the job.
func (j *job) each(f func(*task)) {
	for _, t := range j.turns {
		for _, s := range t.steps {
			for _, x := range s.tasks {
				f(x)
			}
		}
	}
}

// rest returns the longest chain of declared estimates over what isn't done of a turn.
func (t *turn) rest() time.Duration {
	ends := make([]time.Duration, len(t.steps))
	longest := time.Duration(0)
	for i, s := range t.steps {
		if s.left == 0 {
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

// on returns the task's run on a runner with that number, or nil.
func (t *task) on(r *runner, n int) *run {
	for _, x := range t.runs {
		if x.r == r && x.n == n {
			return x
		}
	}
	return nil
}

// drop removes a run that has ended.
func (t *task) drop(x *run, now time.Time) {
	i := slices.Index(t.runs, x)
	if i < 0 {
		return
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	x.r.remove(x)
	if len(t.runs) == 0 && !t.done {
		t.step.wait++
		t.since = now
	}
}

// add makes x a run of the task.
func (t *task) add(x *run) {
	if len(t.runs) == 0 && !t.done {
		t.step.wait--
	}
	t.runs = append(t.runs, x)
	t.last = max(t.last, x.n)
	x.r.place(x)
}

// finish marks the task as done.
func (t *task) finish() {
	if t.done {
		return
	}
	t.done = true
	t.step.left--
	t.step.job.left--
	if len(t.runs) == 0 {
		t.step.wait--
	}
}

// atWork tells whether one of the task's runs is known to be at work; what a runner said that is silent now proves nothing.
func (t *task) atWork(now time.Time) bool {
	for _, x := range t.runs {
		if x.phase == running && x.percent >= 100 && now.Sub(x.r.answered) < answerLate {
			return true
		}
	}
	return false
}
