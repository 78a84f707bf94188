package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// Guards against a job that is reported as failed because its starts weren't answered, sent to runners that had crashed
// before (seed 245 of the random days).
func TestStartsThatWereNotAnsweredCauseNoCertainCrash(t *testing.T) {
	for name, outage := range map[string]time.Duration{"back at once": 0, "back after its lease": 15 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f := newFakePool(t, 1, 8)
			id := f.accept("a", testQueue, stepOf(1, 1000))
			task := f.pool.jobs[id].findTask(taskOf(id, 0, 0))
			for range 2 {
				f.runners["r0"].silent = true
				require.Len(t, starts(f.plan()), 1)
				f.advance(outage)
				info := f.runners["r0"].info
				info.Born++
				f.runners["r0"] = &fakeRunner{info: info, runs: map[string]work.Run{}}
				f.pool.UpdateRunner(f.now, info)
				f.poll()
				for len(task.runs) > 0 {
					f.plan()
					f.now = f.now.Add(time.Second)
					f.poll()
				}
				f.commit()
			}
			f.requireState(id, work.Queued)
			require.Len(t, task.crashes, 2)
			for _, crash := range task.crashes {
				require.False(t, crash.Certain, "run %d", crash.Run)
			}
		})
	}
}

// Guards against a crash that becomes certain for a start that wasn't answered, once the task of another job that had
// begun on the runner is cleared.
func TestClearedTaskLeavesNoCertainCrashToAStartThatWasNotAnswered(t *testing.T) {
	f := newFakePool(t, 1, 8)
	id, other := f.accept("a", testQueue, stepOf(1, 1000)), f.accept("b", testQueue, stepOf(1, 1000))
	orders := starts(f.planCommitted(true))
	require.Len(t, orders, 2)
	for _, order := range orders {
		outcome := OutcomeUnknown
		if order.Task.Job == other {
			outcome = OutcomeDone
		}
		f.pool.HandleStartResult(f.now, order, outcome, "", 0)
	}
	info := f.runners["r0"].info
	info.Born++
	f.pool.UpdateRunner(f.now, info)
	task := f.pool.jobs[id].findTask(taskOf(id, 0, 0))
	require.Len(t, task.crashes, 1)
	f.pool.clearSuspect(f.now, f.pool.jobs[other].findTask(taskOf(other, 0, 0)))
	require.False(t, task.crashes[0].Certain)
}

// requireState checks the state of a job.
func (f *fakePool) requireState(id work.ID, want work.State) {
	f.t.Helper()
	got, _ := f.pool.State(id)
	require.Equal(f.t, want, got)
}

// Guards against a crash that counts against a run which began only after it: the runner's next incarnation answers the
// start before a poll shows that there is one.
func TestStartThatTheNextIncarnationAnsweredHasNotCrashedTheOneBefore(t *testing.T) {
	f := newFakePool(t, 1, 8)
	f.advance(10 * time.Second)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	info := f.runners["r0"].info
	info.Born++
	f.runners["r0"] = &fakeRunner{info: info, runs: map[string]work.Run{}, clock: 50 * time.Millisecond}
	require.Len(t, starts(f.plan()), 1)
	f.advance(100 * time.Millisecond)
	task := f.pool.jobs[id].findTask(taskOf(id, 0, 0))
	require.Len(t, task.runs, 1, "it goes on")
	for _, crash := range task.crashes {
		require.False(t, crash.Certain)
	}
}
