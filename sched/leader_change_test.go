package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

func TestSilentRunnerTasksWaitForLeaseExpiry(t *testing.T) {
	f := newFakePool(t, 2, 8)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	f.advance(tickInterval)
	origin := f.runnerOf(taskOf(id, 0, 0))
	f.runners[origin].silent = true
	start := f.now
	for f.now.Sub(start) < testLeases.TTL-2*tickInterval {
		require.Empty(t, starts(f.advance(tickInterval)))
	}
	var got []Start
	for range 10 {
		got = append(got, starts(f.advance(tickInterval))...)
	}
	require.Len(t, got, 1)
	require.NotEqual(t, origin, got[0].Runner)
	require.Greater(t, got[0].Run, 1)
}

func TestUnconfirmedLeaderDoesNotExpireSilentRunner(t *testing.T) {
	f := newFakePool(t, 2, 8)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	f.advance(tickInterval)
	f.runners[f.runnerOf(taskOf(id, 0, 0))].silent = true
	for range 60 {
		f.now = f.now.Add(tickInterval)
		f.poll()
		require.Empty(t, starts(f.planCommitted(false)))
	}
}

// Guards against starting a task a second time after a cut in the network. During the cut a later leader may have
// completed the task and moved its machine to another pool; afterwards this leader learns only of the machine's move.
func TestUnconfirmedLeaderRestartsNothing(t *testing.T) {
	f := newFakePool(t, 3, 8)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	f.advance(tickInterval)
	origin := f.runnerOf(taskOf(id, 0, 0))
	f.now = f.now.Add(tickInterval)
	f.planCommitted(false)
	moved := f.runners[origin].info
	moved.ID, moved.Born, moved.Service = "elsewhere", 2, "other"
	f.pool.HandleReplacement(f.now, moved)
	restarted := f.runners["r2"].info
	restarted.Born = 3
	f.pool.UpdateRunner(f.now, restarted)
	for range 10 {
		f.now = f.now.Add(tickInterval)
		f.poll()
		require.Empty(t, starts(f.planCommitted(false)))
	}
	require.False(t, f.pool.runners["r2"].schedulable(f.now))
	require.Len(t, starts(f.advance(tickInterval)), 1) // leadership is confirmed again
}

func TestInheritedJobsWaitForSilentRunners(t *testing.T) {
	f := newFakePool(t, 1, 8)
	old := work.Runner{ID: "gone", Machine: "mx", Service: "s", Born: 1}
	f.pool.InheritRunner(old, time.Time{}, time.Time{})
	id := work.ID("000000000000000a")
	f.pool.RestoreJob(f.now, id, testQueue, work.Job{Spec: "a", Steps: []work.Step{stepOf(1, 1000)}}, f.now, nil)
	fresh := f.accept("b", testQueue, stepOf(1, 1000))
	got := starts(f.advance(tickInterval))
	require.Len(t, got, 1)
	require.Equal(t, fresh, got[0].Task.Job) // a job that no earlier leader knew doesn't wait
	f.endRun("r0", taskOf(fresh, 0, 0), work.EndDone)
	f.pool.HandlePollFailure(f.now, "gone")
	start := f.now
	for f.now.Sub(start) < testLeases.InheritedTTL-time.Second {
		require.Empty(t, starts(f.advance(tickInterval)))
	}
	got = nil
	for range 10 {
		got = append(got, starts(f.advance(tickInterval))...)
	}
	require.NotEmpty(t, got)
	require.Equal(t, id, got[0].Task.Job)
}

func TestLaterStepProvesPredecessorsDone(t *testing.T) {
	f := newFakePool(t, 2, 8)
	second := stepOf(1, 1000)
	second.After = []int{0}
	id := work.ID("000000000000000a")
	f.pool.RestoreJob(f.now, id, testQueue, work.Job{Spec: "a", Steps: []work.Step{stepOf(2, 1000), second}}, f.now, nil)
	last := taskOf(id, 1, 0)
	f.runners["r0"].runs[last.String()] = work.Run{Task: last, Run: 1}
	require.Empty(t, starts(f.advance(tickInterval)))
	f.endRun("r0", last, work.EndDone)
	f.advance(tickInterval)
	f.advance(tickInterval)
	s, _ := f.pool.State(id)
	require.Equal(t, work.Done, s)
}

func TestProgressRoundTrip(t *testing.T) {
	f := newFakePool(t, 2, 8)
	second := stepOf(1, 1000)
	second.After = []int{0}
	job := work.Job{Spec: "a", Steps: []work.Step{stepOf(3, 1000), second}}
	id := work.ID("000000000000000a")
	f.pool.Accept(f.now, id, testQueue, job)
	f.advance(tickInterval)
	f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndDone)
	f.endRun(f.runnerOf(taskOf(id, 0, 1)), taskOf(id, 0, 1), work.EndFailed)
	f.poll()
	batch := f.pool.UncommittedBatch(f.now, 10, true)
	require.Len(t, batch, 1)
	b, err := batch[0].Progress.Encode()
	require.NoError(t, err)
	pr, err := DecodeProgress(b)
	require.NoError(t, err)
	next := New(f.now, 2, testLeases)
	next.RestoreJob(f.now, id, testQueue, job, f.now, &pr)
	j := next.jobs[id]
	require.True(t, j.occurrences[0].steps[0].tasks[0].done)
	require.Len(t, j.occurrences[0].steps[0].tasks[1].failedRuns, 1)
	require.Equal(t, 3, j.remaining)
}

func TestLeaseExpiryAllowsForSlowClock(t *testing.T) {
	var lease RunnerLease
	at := time.Unix(1000, 0)
	lease.ObserveClock(10*time.Second, at)
	deadline := lease.Extend(at.Add(time.Second), 4*time.Second)
	require.Equal(t, 15*time.Second, deadline)
	expiry, ok := lease.Expiry()
	require.True(t, ok)
	// A clock that is 2% slow takes 5 s / 0.98 for the remaining five seconds.
	require.Equal(t, at.Add(5*time.Second*100/98), expiry)
}
