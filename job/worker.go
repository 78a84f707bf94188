package job

import (
	"time"

	"gypsumlead/backing"
)

// Health is whether a worker gets new tasks.
type Health string

// The healths of a worker.
const (
	InService  Health = "inservice"
	Quarantine Health = "quarantine" // gets no tasks until a time
	Probation  Health = "probation"  // gets one task, whose end decides
)

const strikeLimit = 16 // failures that a worker or job remembers

// Ban is what is kept in the table about a worker that was in quarantine.
type Ban struct {
	Health Health        `json:"health"`
	Until  time.Time     `json:"until"`
	Span   time.Duration `json:"span"`
}

// Worker is a worker as the pool's holder sees it: its tasks' sizes never sum to more than its total.
type Worker struct {
	backing.Worker

	total   Amount
	used    Amount
	foreign Amount // reported of tasks that other pools started
	tasks   []*Task
	member  bool // of the pool
	present bool // listed as live
	silent  bool
	stale   bool // lags behind the others in the list, and gets no new tasks
	bad     Ban
	strikes []Strike  // failures since the last success
	read    time.Time // when its reports were last read
	asked   time.Time // when they were last asked for
	victim  time.Time // when a task was last displaced for an estimate that grew
	plan    plan
}

// plan is room that is being made on a worker.
type plan struct {
	job   *Job
	tasks int
	until time.Time
	kept  bool // nobody is displaced, the room comes as tasks end
}

func (w *Worker) free() Amount {
	return w.total.minus(w.used).minus(w.foreign)
}

// measured returns the memory that the worker's tasks were last reported to use.
func (w *Worker) measured() int64 {
	sum := w.foreign.Memory
	for _, t := range w.tasks {
		sum += t.live.peak.Memory
	}
	return sum
}

// takes tells whether the worker may get new tasks of j.
func (w *Worker) takes(j *Job) bool {
	if !w.member || !w.present || w.silent || w.stale {
		return false
	}
	switch w.bad.Health {
	case Quarantine:
		return false
	case Probation:
		return len(w.tasks) == 0 && j.Evidence.Good > 0 && j.Spec.Restart
	}
	return true
}

// isClearing tells whether a task is on its way off the worker or being slowed down.
func (w *Worker) isClearing() bool {
	for _, t := range w.tasks {
		switch t.State {
		case Throttling, Saving, Stopping:
			return true
		}
	}
	return false
}

func (w *Worker) remove(t *Task) {
	for i, o := range w.tasks {
		if o == t {
			w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
			return
		}
	}
}
