package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

func TestSilentRunnersTasksWaitForTheEndOfItsLease(t *testing.T) {
	f := newFake(t, 2, 8)
	id := f.accept("a", queue, stepOf(1, 1000))
	f.step(tickTime)
	home := f.where(taskOf(id, 0, 0))
	f.runners[home].mute = true
	began := f.now
	for f.now.Sub(began) < bounds.TTL-2*tickTime {
		require.Empty(t, starts(f.step(tickTime)))
	}
	var got []Start
	for range 10 {
		got = append(got, starts(f.step(tickTime))...)
	}
	require.Len(t, got, 1)
	require.NotEqual(t, home, got[0].Runner)
	require.Greater(t, got[0].Run, 1)
}

func TestAHolderThatIsNotSureTakesNoSilenceForAnEnd(t *testing.T) {
	f := newFake(t, 2, 8)
	id := f.accept("a", queue, stepOf(1, 1000))
	f.step(tickTime)
	f.runners[f.where(taskOf(id, 0, 0))].mute = true
	for range 60 {
		f.now = f.now.Add(tickTime)
		f.look()
		require.Empty(t, starts(f.p.Plan(f.now, f.now, false)))
	}
}

// Beyond a cut a later holder may have had the task done, and its machine moved on; all that this holder
// learns when the cut heals is that the machine lives elsewhere.
func TestAHolderThatIsNotSureStartsNothingAgain(t *testing.T) {
	f := newFake(t, 3, 8)
	id := f.accept("a", queue, stepOf(1, 1000))
	f.step(tickTime)
	home := f.where(taskOf(id, 0, 0))
	f.now = f.now.Add(tickTime)
	f.p.Plan(f.now, f.now, false)
	moved := f.runners[home].w
	moved.ID, moved.Born, moved.Service = "elsewhere", 2, "other"
	f.p.HandleReplacement(f.now, moved)
	reborn := f.runners["r2"].w
	reborn.Born = 3
	f.p.UpdateRunner(f.now, reborn)
	for range 10 {
		f.now = f.now.Add(tickTime)
		f.look()
		require.Empty(t, starts(f.p.Plan(f.now, f.now, false)))
	}
	require.False(t, f.p.runners["r2"].takes(f.now))
	require.Len(t, starts(f.step(tickTime)), 1) // sure again
}

func TestInheritedJobsWaitForSilentRunners(t *testing.T) {
	f := newFake(t, 1, 8)
	old := work.Runner{ID: "gone", Machine: "mx", Service: "s", Born: 1}
	f.p.InheritRunner(old, time.Time{})
	id := work.ID("000000000000000a")
	f.p.RestoreJob(f.now, id, queue, work.Job{Spec: "a", Steps: []work.Step{stepOf(1, 1000)}}, f.now, nil)
	fresh := f.accept("b", queue, stepOf(1, 1000))
	got := starts(f.step(tickTime))
	require.Len(t, got, 1)
	require.Equal(t, fresh, got[0].Task.Job) // a job that no earlier holder knew needn't wait
	f.end("r0", taskOf(fresh, 0, 0), work.EndDone)
	f.p.HandlePollFailure(f.now, "gone")
	began := f.now
	for f.now.Sub(began) < bounds.InheritedTTL-time.Second {
		require.Empty(t, starts(f.step(tickTime)))
	}
	got = nil
	for range 10 {
		got = append(got, starts(f.step(tickTime))...)
	}
	require.NotEmpty(t, got)
	require.Equal(t, id, got[0].Task.Job)
}

func TestLaterStepProvesTheEarlierOnesDone(t *testing.T) {
	f := newFake(t, 2, 8)
	second := stepOf(1, 1000)
	second.After = []int{0}
	id := work.ID("000000000000000a")
	f.p.RestoreJob(f.now, id, queue, work.Job{Spec: "a", Steps: []work.Step{stepOf(2, 1000), second}}, f.now, nil)
	last := taskOf(id, 1, 0)
	f.runners["r0"].runs[last.String()] = work.Run{Task: last, Run: 1}
	require.Empty(t, starts(f.step(tickTime)))
	f.end("r0", last, work.EndDone)
	f.step(tickTime)
	f.step(tickTime)
	s, _ := f.p.State(id)
	require.Equal(t, work.Done, s)
}

func TestProgressSurvivesTheStore(t *testing.T) {
	f := newFake(t, 2, 8)
	second := stepOf(1, 1000)
	second.After = []int{0}
	job := work.Job{Spec: "a", Steps: []work.Step{stepOf(3, 1000), second}}
	id := work.ID("000000000000000a")
	f.p.Accept(f.now, id, queue, job)
	f.step(tickTime)
	f.end(f.where(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndDone)
	f.end(f.where(taskOf(id, 0, 1)), taskOf(id, 0, 1), work.EndFailed)
	f.look()
	batch := f.p.UncommittedBatch(f.now, 10, true)
	require.Len(t, batch, 1)
	b, err := batch[0].Progress.Encode()
	require.NoError(t, err)
	pr, err := DecodeProgress(b)
	require.NoError(t, err)
	next := New(f.now, 2, bounds)
	next.RestoreJob(f.now, id, queue, job, f.now, &pr)
	j := next.jobs[id]
	require.True(t, j.turns[0].steps[0].tasks[0].done)
	require.Len(t, j.turns[0].steps[0].tasks[1].fails, 1)
	require.Equal(t, 3, j.left)
}

func TestLeaseEndsNoEarlierThanASlowClockAllows(t *testing.T) {
	var l RunnerLease
	at := time.Unix(1000, 0)
	l.ObserveClock(10*time.Second, at)
	until := l.Extend(at.Add(time.Second), 4*time.Second)
	require.Equal(t, 15*time.Second, until)
	over, ok := l.Expiry()
	require.True(t, ok)
	// A clock that is 2% slow needs 5 s / 0.98 for the five seconds that are left.
	require.Equal(t, at.Add(5*time.Second*100/98), over)
}
