package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

func TestRunnerThatFailsAllTasksIsExcluded(t *testing.T) {
	f := newFakePool(t, 2, 8)
	failing := "r0"
	for i := range 6 {
		id := f.accept(string(rune('a'+i)), testQueue, stepOf(1, 5000))
		f.advance(tickInterval)
		if f.runnerOf(taskOf(id, 0, 0)) == failing {
			f.endRun(failing, taskOf(id, 0, 0), work.EndFailed)
		} else {
			f.endRun("r1", taskOf(id, 0, 0), work.EndDone)
		}
		f.advance(tickInterval)
		f.endRun("r1", taskOf(id, 0, 0), work.EndDone)
		f.advance(tickInterval)
	}
	f.accept("z", testQueue, stepOf(1, 5000))
	got := starts(f.advance(tickInterval))
	require.Len(t, got, 1)
	require.Equal(t, "r1", got[0].Runner)
}

func TestJobAtFaultExcludesNoRunner(t *testing.T) {
	f := newFakePool(t, 3, 8)
	threeAttempts := testQueue
	threeAttempts.Attempts = 3
	id := f.accept("a", threeAttempts, stepOf(1, 1000))
	for range 3 {
		f.advance(tickInterval)
		f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndFailed)
	}
	f.advance(tickInterval)
	f.accept("b", testQueue, stepOf(3, 7000))
	require.Len(t, starts(f.advance(tickInterval)), 3)
}

func TestStalledRunRestartsElsewhere(t *testing.T) {
	f := newFakePool(t, 2, 8)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	f.advance(tickInterval)
	origin := f.runnerOf(taskOf(id, 0, 0))
	f.setProgress(taskOf(id, 0, 0), 10, 0)
	for range 15 {
		f.advance(tickInterval)
	}
	require.NotEqual(t, origin, f.runnerOf(taskOf(id, 0, 0)))
	require.NotEmpty(t, f.runnerOf(taskOf(id, 0, 0)))
}

// Guards against restarting a task over and over because its declared run time is a tenth of the real one.
func TestUnderestimatedTaskIsNotAStraggler(t *testing.T) {
	f := newFakePool(t, 3, 8)
	long := stepOf(1, 1000)
	long.Estimate = 100 * time.Millisecond
	id := f.accept("a", testQueue, long)
	f.advance(tickInterval)
	percent := 0
	for range 25 {
		percent += 4
		f.setProgress(taskOf(id, 0, 0), percent, 0)
		require.Empty(t, stops(f.advance(tickInterval)))
	}
}

func TestStragglerRestartsOnce(t *testing.T) {
	f := newFakePool(t, 3, 8)
	id := f.accept("a", testQueue, stepOf(2, 7000))
	f.advance(tickInterval)
	f.advance(time.Second)
	f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndDone)
	stopped := 0
	for i := range 20 {
		if f.runnerOf(taskOf(id, 0, 1)) != "" {
			f.setProgress(taskOf(id, 0, 1), 1+i, 0)
		}
		stopped += len(stops(f.advance(tickInterval)))
	}
	require.Equal(t, 1, stopped)
}

// A long-running task was stopped as stalled though its runner had only been slow to answer since it was seen starting.
func TestLateAnswerIsNoStalledStartUp(t *testing.T) {
	for _, tc := range []struct {
		name    string
		stalled bool
	}{
		{"slow to answer", false},
		{"stands still", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakePool(t, 2, 8)
			id := f.accept("a", testQueue, work.Step{Count: 1, Resources: work.Resources{CPU: 1000}, LongRunning: true})
			f.advance(tickInterval)
			for percent := range 22 {
				f.setProgress(taskOf(id, 0, 0), 1+percent, 0)
				f.advance(tickInterval)
			}
			var got []Stop
			for range 10 {
				f.now = f.now.Add(tickInterval)
				if tc.stalled {
					f.poll()
				}
				got = append(got, stops(f.planCommitted(true))...)
			}
			require.Equal(t, tc.stalled, len(got) > 0)
		})
	}
}
