package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

const tickInterval = 200 * time.Millisecond

func TestStepWaitsForPredecessors(t *testing.T) {
	f := newFakePool(t, 2, 8)
	second := stepOf(1, 1000)
	second.After = []int{0}
	id := f.accept("a", testQueue, stepOf(2, 1000), second)
	require.Len(t, starts(f.advance(tickInterval)), 2)
	f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndDone)
	require.Empty(t, starts(f.advance(tickInterval)))
	f.endRun(f.runnerOf(taskOf(id, 0, 1)), taskOf(id, 0, 1), work.EndDone)
	require.Len(t, starts(f.advance(tickInterval)), 1)
	f.endRun(f.runnerOf(taskOf(id, 1, 0)), taskOf(id, 1, 0), work.EndDone)
	f.advance(tickInterval)
	f.advance(tickInterval)
	s, _ := f.pool.State(id)
	require.Equal(t, work.Done, s)
}

func TestPlacementRespectsRunnerRoom(t *testing.T) {
	f := newFakePool(t, 2, 4)
	f.accept("a", testQueue, stepOf(10, 1500))
	require.Len(t, starts(f.advance(tickInterval)), 4) // two on each runner
	require.Empty(t, starts(f.advance(tickInterval)))
}

func TestFailedTaskMovesAndJobFailsAfterAttempts(t *testing.T) {
	f := newFakePool(t, 3, 8)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	f.advance(tickInterval)
	first := f.runnerOf(taskOf(id, 0, 0))
	f.endRun(first, taskOf(id, 0, 0), work.EndFailed)
	f.advance(tickInterval)
	second := f.runnerOf(taskOf(id, 0, 0))
	require.NotEqual(t, first, second)
	f.endRun(second, taskOf(id, 0, 0), work.EndFailed)
	require.Empty(t, starts(f.advance(tickInterval)))
	f.advance(tickInterval)
	s, _ := f.pool.State(id)
	require.Equal(t, work.Failed, s)
}

func TestRepeatedEndCountsOnce(t *testing.T) {
	f := newFakePool(t, 2, 8)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	f.advance(tickInterval)
	f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndFailed)
	f.advance(tickInterval)
	f.advance(tickInterval)
	f.advance(tickInterval)
	s, _ := f.pool.State(id)
	require.Equal(t, work.Running, s)
}

func TestEndIsAcknowledgedAfterCommit(t *testing.T) {
	f := newFakePool(t, 1, 8)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	f.advance(tickInterval)
	f.endRun("r0", taskOf(id, 0, 0), work.EndDone)
	f.poll()
	require.Zero(t, f.pool.AckCursor("r0"))
	batch := f.pool.UncommittedBatch(f.now, 10, true)
	require.Len(t, batch, 1)
	require.Zero(t, f.pool.AckCursor("r0"))
	f.pool.MarkCommitted(f.now, batch)
	require.Equal(t, int64(1), f.pool.AckCursor("r0"))
}

func TestGangIsAllOrNothing(t *testing.T) {
	f := newFakePool(t, 2, 4)
	blocker := f.accept("b", testQueue, stepOf(1, 3000))
	f.advance(tickInterval)
	gang := stepOf(2, 3000)
	gang.Gang = true
	id := f.accept("a", testQueue, gang)
	require.Empty(t, starts(f.advance(tickInterval))) // there is room for one of two
	f.endRun(f.runnerOf(taskOf(blocker, 0, 0)), taskOf(blocker, 0, 0), work.EndDone)
	got := starts(f.advance(tickInterval))
	require.Len(t, got, 2)
	require.Equal(t, got[0].Run, got[1].Run)

	// One member ends as broken: the other is stopped too, and both restart with the same run number.
	f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndGangBroken)
	var again []Start
	for range 8 {
		again = append(again, starts(f.advance(tickInterval))...)
	}
	require.Len(t, again, 2)
	require.Equal(t, again[0].Run, again[1].Run)
	require.Greater(t, again[0].Run, got[0].Run)

	// One member's end as done completes the whole gang.
	f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndDone)
	f.advance(tickInterval)
	f.advance(tickInterval)
	s, _ := f.pool.State(id)
	require.Equal(t, work.Done, s)
}

func TestPreemptionStopsRunWithLeastLostWork(t *testing.T) {
	f := newFakePool(t, 1, 4)
	lowPriority := testQueue
	lowPriority.Name, lowPriority.Priority = "less", 1
	checkpointing := stepOf(1, 2000)
	checkpointing.Checkpointing = true
	kept := f.accept("b", lowPriority, stepOf(1, 2000))
	lost := f.accept("c", lowPriority, checkpointing)
	f.advance(tickInterval)
	f.setProgress(taskOf(kept, 0, 0), 50, 0)
	urgent := f.accept("a", testQueue, stepOf(1, 2000))
	got := stops(f.advance(tickInterval))
	require.Len(t, got, 1)
	require.Equal(t, lost, got[0].Task.Job)
	for range 3 {
		f.advance(tickInterval)
	}
	require.Equal(t, "r0", f.runnerOf(taskOf(urgent, 0, 0)))
}

func TestEvacuationRespectsMaxUnavailable(t *testing.T) {
	f := newFakePool(t, 4, 8)
	longRunning := work.Step{Count: 3, Resources: work.Resources{CPU: 1000}, LongRunning: true, MaxPerRunner: 1, MaxUnavailable: 1, HasMaxUnavailable: true}
	id := f.accept("a", testQueue, longRunning)
	f.advance(tickInterval)
	for i := range 3 {
		f.setProgress(taskOf(id, 0, i), 100, 0)
	}
	f.advance(tickInterval)
	for _, r := range f.runnerIDs() {
		f.pool.SetEvacuating(r, r != "r3") // three of four at the same time
	}
	require.Len(t, stops(f.advance(tickInterval)), 1)
	require.Empty(t, stops(f.advance(tickInterval))) // the first one isn't available again yet
}

func TestBestEffortPaceFollowsTailLatency(t *testing.T) {
	f := newFakePool(t, 1, 8)
	serving := work.Step{Count: 1, Resources: work.Resources{CPU: 4000}, LongRunning: true, LatencyTarget: 100 * time.Millisecond}
	bestEffort := work.Step{Count: 1, Resources: work.Resources{CPU: 8000}, LongRunning: true, BestEffort: true}
	s := f.accept("a", testQueue, serving)
	b := f.accept("b", testQueue, bestEffort)
	f.advance(tickInterval)
	f.setProgress(taskOf(s, 0, 0), 100, 250)
	f.setProgress(taskOf(b, 0, 0), 100, 3000)
	pace := 100
	for range 10 {
		for _, order := range paces(f.advance(tickInterval)) {
			require.Less(t, order.Percent, pace)
			pace = order.Percent
		}
	}
	require.Less(t, pace, 50)
	f.setProgress(taskOf(s, 0, 0), 100, 40)
	for range 30 {
		for _, order := range paces(f.advance(tickInterval)) {
			require.Greater(t, order.Percent, pace)
			require.LessOrEqual(t, order.Percent-pace, paceIncrease)
			pace = order.Percent
		}
	}
	require.Equal(t, 100, pace)
}

func TestStepRunsOnlyOnApprovedRunners(t *testing.T) {
	f := newFakePool(t, 3, 8)
	q := testQueue
	q.Advice = &work.ApprovalTiming{Base: 10 * time.Millisecond, Each: time.Millisecond, Valid: 3 * time.Second}
	f.accept("a", q, stepOf(1, 1000))
	orders := f.advance(tickInterval)
	require.Empty(t, starts(orders))
	require.Len(t, orders, 1)
	request := orders[0].(ApprovalRequest)
	require.Empty(t, starts(f.advance(tickInterval))) // the request isn't repeated
	f.pool.HandleApproval(f.now, request, map[string]string{"r1": "ticket-1"}, 3*time.Second)
	got := starts(f.advance(tickInterval))
	require.Len(t, got, 1)
	require.Equal(t, "r1", got[0].Runner)
	require.Equal(t, "ticket-1", got[0].Ticket)
}

func TestMaxPerRunnerAndRequiredLabel(t *testing.T) {
	f := newFakePool(t, 2, 8)
	s := stepOf(4, 1000)
	s.MaxPerRunner = 1
	f.accept("a", testQueue, s)
	require.Len(t, starts(f.advance(tickInterval)), 2)
	s = stepOf(1, 1000)
	s.RequiredLabel = "b"
	f.accept("b", testQueue, s)
	require.Empty(t, starts(f.advance(tickInterval)))
}

func TestOnTimeJobsStartBeforeLateJobs(t *testing.T) {
	f := newFakePool(t, 1, 4)
	long := stepOf(1, 4000)
	long.Estimate = 10 * time.Second // equal to the real run time, so that the estimate ratio doesn't change
	blocker := f.accept("b", testQueue, long)
	f.advance(tickInterval)
	stale := f.accept("c", testQueue, stepOf(1, 4000))
	f.now = f.now.Add(8 * time.Second) // three times the objective of 2.2 s has passed
	f.poll()
	late := f.accept("d", testQueue, stepOf(1, 4000))
	f.now = f.now.Add(2 * time.Second)
	f.poll()
	fresh := f.accept("e", testQueue, stepOf(1, 4000))
	running := blocker
	for _, want := range []work.ID{fresh, late, stale} {
		f.endRun("r0", taskOf(running, 0, 0), work.EndDone)
		got := starts(f.advance(tickInterval))
		require.Len(t, got, 1)
		require.Equal(t, want, got[0].Task.Job)
		running = want
	}
}

// Of two jobs with the same critical path the wide one has to start earlier to end on time.
func TestWideJobStartsBeforeNarrowJob(t *testing.T) {
	f := newFakePool(t, 1, 4)
	queue := testQueue
	queue.Slack = 4 // both can end on time if the wide one starts first
	blocker := f.accept("b", queue, stepOf(1, 4000))
	f.advance(tickInterval)
	f.accept("c", queue, stepOf(1, 4000))
	f.now = f.now.Add(tickInterval)
	f.poll()
	wide := f.accept("d", queue, stepOf(3, 4000))
	f.endRun("r0", taskOf(blocker, 0, 0), work.EndDone)
	got := starts(f.advance(tickInterval))
	require.Len(t, got, 1)
	require.Equal(t, wide, got[0].Task.Job)
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	f := newFakePool(t, 1, 8)
	id := work.ID("000000000000000a")
	f.pool.Accept(f.now, id, testQueue, work.Job{Spec: "a", Steps: []work.Step{stepOf(1, 1000)}, Repeat: 2, Start: f.now.Add(time.Second), Interval: time.Second})
	require.Empty(t, starts(f.advance(900*time.Millisecond)))
	require.Len(t, starts(f.advance(200*time.Millisecond)), 1)
	got := starts(f.advance(time.Second))
	require.Len(t, got, 1)
	require.Equal(t, 1, got[0].Task.Occurrence)
}
