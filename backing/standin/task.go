package standin

import (
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// throttledRate is the speed and the use of processors of a throttled task against a running one.
const throttledRate = 0.5

// task is one task on a worker: its state is a function of the instant asked about.
type task struct {
	backing.Task

	begun time.Time
	used  backing.Size
	run   time.Duration // work until it is done; zero: never
	fail  time.Duration // time until it fails; zero: never
	saved time.Time     // when its checkpoint is written; zero: none asked for
	steps []step        // sorted by time; the last may lie in the future
}

// step is a change of a task's state.
type step struct {
	at    time.Time
	state backing.TaskState
}

func newTask(t backing.Task, now time.Time, p Profile, bad time.Duration) *task {
	k := &task{Task: t, begun: now, used: p.Used, run: p.Run, fail: p.Fail}
	if k.used == (backing.Size{}) {
		k.used = t.Size
	}
	if bad > 0 && (k.fail == 0 || bad < k.fail) {
		k.fail = bad
	}
	k.steps = []step{{now, backing.TaskRunning}}
	if p.Never {
		k.end(now, backing.TaskFailed)
		return k
	}
	k.foresee()
	return k
}

// isEnd tells whether a task in state s is off its worker.
func isEnd(s backing.TaskState) bool {
	return s != backing.TaskRunning && s != backing.TaskThrottled
}

// foresee appends the end that comes if nobody acts: done, failed, or stopped at the lease's end.
func (k *task) foresee() {
	last := k.steps[len(k.steps)-1]
	end := step{k.Until, backing.TaskStopped}
	if k.run > 0 {
		left := k.run - k.worked(last.at)
		done := last.at.Add(time.Duration(float64(left) / rateOf(last.state)))
		end = earlier(end, step{done, backing.TaskDone})
	}
	if k.fail > 0 {
		end = earlier(end, step{k.begun.Add(k.fail), backing.TaskFailed})
	}
	if !k.saved.IsZero() {
		end = earlier(end, step{k.saved, backing.TaskSaved})
	}
	k.steps = append(k.steps, end)
}

func earlier(a, b step) step {
	if b.at.After(a.at) {
		return a
	}
	return b
}

func rateOf(s backing.TaskState) float64 {
	if s == backing.TaskThrottled {
		return throttledRate
	}
	return 1
}

// worked returns how much work was done by the instant at.
func (k *task) worked(at time.Time) time.Duration {
	sum := time.Duration(0)
	for i, s := range k.steps {
		if s.at.After(at) || isEnd(s.state) {
			break
		}
		until := at
		if i+1 < len(k.steps) && k.steps[i+1].at.Before(at) {
			until = k.steps[i+1].at
		}
		sum += time.Duration(float64(until.Sub(s.at)) * rateOf(s.state))
	}
	return sum
}

// state returns the state at an instant not before the start.
func (k *task) state(at time.Time) backing.TaskState {
	st := backing.TaskRunning
	for _, s := range k.steps {
		if s.at.After(at) {
			break
		}
		st = s.state
	}
	return st
}

// ended returns when the task ends, as far as it is foreseen.
func (k *task) ended() (time.Time, bool) {
	last := k.steps[len(k.steps)-1]
	return last.at, isEnd(last.state)
}

// end puts the state in force at now, unless the task has ended before.
func (k *task) end(now time.Time, s backing.TaskState) {
	if isEnd(k.state(now)) {
		return
	}
	k.cutAfter(now)
	k.steps = append(k.steps, step{now, s})
}

// cutAfter drops the steps that lie after now.
func (k *task) cutAfter(now time.Time) {
	n := len(k.steps)
	for n > 1 && k.steps[n-1].at.After(now) {
		n--
	}
	k.steps = k.steps[:n]
}

// act does act at now.
func (k *task) act(now time.Time, act backing.TaskAct, until time.Time, saveTime time.Duration) error {
	if isEnd(k.state(now)) {
		if act == backing.ActStop {
			return nil
		}
		return fault.New(fault.Conflict, "%s task %s: it has ended: %s", act, k.ID, k.state(now))
	}
	switch act {
	case backing.ActStop:
		k.end(now, backing.TaskStopped)
	case backing.ActThrottle:
		k.cutAfter(now)
		k.steps = append(k.steps, step{now, backing.TaskThrottled})
		k.foresee()
	case backing.ActCheckpoint:
		k.saved = now.Add(saveTime)
		k.cutAfter(now)
		k.foresee()
	case backing.ActRenew:
		k.Until = until
		k.cutAfter(now)
		k.foresee()
	default:
		return fault.New(fault.Invalid, "there is no act %q on a task", act)
	}
	return nil
}

// report returns the worker's account of the task at an instant not before the start.
func (k *task) report(at time.Time) backing.Report {
	st := k.state(at)
	r := backing.Report{Task: k.ID, Job: k.Job, State: st, At: at, Ran: at.Sub(k.begun)}
	switch {
	case isEnd(st):
		end, _ := k.ended()
		r.Ran = end.Sub(k.begun)
	case st == backing.TaskThrottled:
		r.Used = k.used
		r.Used.Cores *= throttledRate
	default:
		r.Used = k.used
	}
	return r
}
