package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// lessUrgentQueue is a queue whose runs may be stopped for those of testQueue.
func lessUrgentQueue() work.Queue {
	q := testQueue
	q.Name, q.Priority = "less", 1
	return q
}

// Guards against runs that are stopped again and again for a gang that can't start in their room.
func TestNobodyIsStoppedForAGangThatCannotBePlaced(t *testing.T) {
	for name, c := range map[string]struct {
		runners int
		gang    work.Step
	}{
		"fewer places than members":   {2, work.Step{Count: 5, Resources: work.Resources{CPU: 4000}, Estimate: time.Second, Gang: true}},
		"fewer places by its limit":   {2, work.Step{Count: 3, Resources: work.Resources{CPU: 2000}, Estimate: time.Second, Gang: true, MaxPerRunner: 1}},
		"fewer runners of its kind":   {2, work.Step{Count: 2, Resources: work.Resources{CPU: 2000}, Estimate: time.Second, Gang: true, RequiredLabel: "special"}},
		"a member larger than a room": {2, work.Step{Count: 1, Resources: work.Resources{CPU: 9000}, Estimate: time.Second, Gang: true}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakePool(t, c.runners, 8)
			f.accept("1", lessUrgentQueue(), stepOf(8, 2000))
			f.advance(tickInterval)
			f.accept("a", testQueue, c.gang)
			for range 5 {
				require.Empty(t, stops(f.advance(tickInterval)))
			}
		})
	}
}

// Guards against a gang that has less urgent runs stopped on one runner after the other, while others take the room again.
func TestGangStartsInTheRoomOfTheRunsStoppedForIt(t *testing.T) {
	f := newFakePool(t, 3, 8)
	for i := range 4 {
		f.accept(fmt.Sprintf("%d", i), lessUrgentQueue(), stepOf(8, 2000)) // twelve of 32 tasks run
	}
	f.advance(tickInterval)
	gang := stepOf(3, 4000)
	gang.Gang = true
	id := f.accept("a", testQueue, gang)
	stopped := 0
	for range 3 {
		stopped += len(stops(f.advance(tickInterval)))
	}
	require.Equal(t, 6, stopped)
	for i := range 3 {
		require.NotEmpty(t, f.runnerOf(taskOf(id, 0, i)))
	}
}

// Guards against runs that are stopped on a runner whose room is kept for another step, which takes what becomes free.
func TestNobodyIsStoppedOnARunnerThatIsKeptForAnotherStep(t *testing.T) {
	f := newFakePool(t, 1, 8)
	f.accept("1", lessUrgentQueue(), stepOf(4, 2000))
	f.advance(tickInterval)
	first, second := stepOf(1, 8000), stepOf(1, 2000)
	first.LongRunning = true
	id := f.accept("a", testQueue, first)
	f.accept("b", testQueue, second)
	require.Len(t, stops(f.advance(tickInterval)), 4)
	f.advance(tickInterval)
	require.NotEmpty(t, f.runnerOf(taskOf(id, 0, 0)))
	for range 5 {
		require.Empty(t, stops(f.advance(tickInterval)))
	}
}
