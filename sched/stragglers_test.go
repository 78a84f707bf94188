package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

func TestRunnerThatFailsEverythingGetsNoMoreWork(t *testing.T) {
	f := newFake(t, 2, 8)
	bad := "r0"
	for i := range 6 {
		id := f.accept(string(rune('a'+i)), queue, stepOf(1, 5000))
		f.step(tickTime)
		if f.where(taskOf(id, 0, 0)) == bad {
			f.end(bad, taskOf(id, 0, 0), work.EndFailed)
		} else {
			f.end("r1", taskOf(id, 0, 0), work.EndDone)
		}
		f.step(tickTime)
		f.end("r1", taskOf(id, 0, 0), work.EndDone)
		f.step(tickTime)
	}
	f.accept("z", queue, stepOf(1, 5000))
	got := starts(f.step(tickTime))
	require.Len(t, got, 1)
	require.Equal(t, "r1", got[0].Runner)
}

func TestHopelessJobCostsNoRunnerItsWork(t *testing.T) {
	f := newFake(t, 3, 8)
	many := queue
	many.Attempts = 3
	id := f.accept("a", many, stepOf(1, 1000))
	for range 3 {
		f.step(tickTime)
		f.end(f.where(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndFailed)
	}
	f.step(tickTime)
	f.accept("b", queue, stepOf(3, 7000))
	require.Len(t, starts(f.step(tickTime)), 3)
}

func TestRunThatStandsStillIsStartedElsewhere(t *testing.T) {
	f := newFake(t, 2, 8)
	id := f.accept("a", queue, stepOf(1, 1000))
	f.step(tickTime)
	home := f.where(taskOf(id, 0, 0))
	f.set(taskOf(id, 0, 0), 10, 0)
	for range 15 {
		f.step(tickTime)
	}
	require.NotEqual(t, home, f.where(taskOf(id, 0, 0)))
	require.NotEmpty(t, f.where(taskOf(id, 0, 0)))
}

// The declared run time is a tenth of the real one; that must not have the task started anew again and again.
func TestLongTaskIsNotTakenForASlowRunner(t *testing.T) {
	f := newFake(t, 3, 8)
	long := stepOf(1, 1000)
	long.Estimate = 100 * time.Millisecond
	id := f.accept("a", queue, long)
	f.step(tickTime)
	percent := 0
	for range 25 {
		percent += 4
		f.set(taskOf(id, 0, 0), percent, 0)
		require.Empty(t, stops(f.step(tickTime)))
	}
}

func TestRunThatIsSlowerThanItsSiblingsIsStartedAnewOnce(t *testing.T) {
	f := newFake(t, 3, 8)
	id := f.accept("a", queue, stepOf(2, 7000))
	f.step(tickTime)
	f.step(time.Second)
	f.end(f.where(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndDone)
	n := 0
	for i := range 20 {
		if f.where(taskOf(id, 0, 1)) != "" {
			f.set(taskOf(id, 0, 1), 1+i, 0)
		}
		n += len(stops(f.step(tickTime)))
	}
	require.Equal(t, 1, n)
}
