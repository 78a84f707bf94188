package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

const tickTime = 200 * time.Millisecond

func TestStepWaitsForTheOnesBefore(t *testing.T) {
	f := newFake(t, 2, 8)
	second := stepOf(1, 1000)
	second.After = []int{0}
	id := f.accept("a", queue, stepOf(2, 1000), second)
	require.Len(t, starts(f.step(tickTime)), 2)
	f.end(f.where(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndDone)
	require.Empty(t, starts(f.step(tickTime)))
	f.end(f.where(taskOf(id, 0, 1)), taskOf(id, 0, 1), work.EndDone)
	require.Len(t, starts(f.step(tickTime)), 1)
	f.end(f.where(taskOf(id, 1, 0)), taskOf(id, 1, 0), work.EndDone)
	f.step(tickTime)
	f.step(tickTime)
	s, _ := f.p.State(id)
	require.Equal(t, work.Done, s)
}

func TestRoomIsNeverExceeded(t *testing.T) {
	f := newFake(t, 2, 4)
	f.accept("a", queue, stepOf(10, 1500))
	require.Len(t, starts(f.step(tickTime)), 4) // two on each
	require.Empty(t, starts(f.step(tickTime)))
}

func TestFailedTaskGoesElsewhereAndEndsTheJobAfterItsAttempts(t *testing.T) {
	f := newFake(t, 3, 8)
	id := f.accept("a", queue, stepOf(1, 1000))
	f.step(tickTime)
	first := f.where(taskOf(id, 0, 0))
	f.end(first, taskOf(id, 0, 0), work.EndFailed)
	f.step(tickTime)
	second := f.where(taskOf(id, 0, 0))
	require.NotEqual(t, first, second)
	f.end(second, taskOf(id, 0, 0), work.EndFailed)
	require.Empty(t, starts(f.step(tickTime)))
	f.step(tickTime)
	s, _ := f.p.State(id)
	require.Equal(t, work.Failed, s)
}

func TestAnEndCountsOnceThoughItIsListedAgain(t *testing.T) {
	f := newFake(t, 2, 8)
	id := f.accept("a", queue, stepOf(1, 1000))
	f.step(tickTime)
	f.end(f.where(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndFailed)
	f.step(tickTime)
	f.step(tickTime)
	f.step(tickTime)
	s, _ := f.p.State(id)
	require.Equal(t, work.Running, s)
}

func TestEndIsAcknowledgedOnlyOnceItIsStored(t *testing.T) {
	f := newFake(t, 1, 8)
	id := f.accept("a", queue, stepOf(1, 1000))
	f.step(tickTime)
	f.end("r0", taskOf(id, 0, 0), work.EndDone)
	f.look()
	require.Zero(t, f.p.AckCursor("r0"))
	batch := f.p.UncommittedBatch(f.now, 10, true)
	require.Len(t, batch, 1)
	require.Zero(t, f.p.AckCursor("r0"))
	f.p.MarkCommitted(f.now, batch)
	require.Equal(t, int64(1), f.p.AckCursor("r0"))
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	f := newFake(t, 2, 4)
	blocker := f.accept("b", queue, stepOf(1, 3000))
	f.step(tickTime)
	gang := stepOf(2, 3000)
	gang.Gang = true
	id := f.accept("a", queue, gang)
	require.Empty(t, starts(f.step(tickTime))) // there is room for one of two
	f.end(f.where(taskOf(blocker, 0, 0)), taskOf(blocker, 0, 0), work.EndDone)
	got := starts(f.step(tickTime))
	require.Len(t, got, 2)
	require.Equal(t, got[0].Run, got[1].Run)

	// One member ends broken: the other is ended too, and both start anew with the same number.
	f.end(f.where(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndGangBroken)
	var again []Start
	for range 8 {
		again = append(again, starts(f.step(tickTime))...)
	}
	require.Len(t, again, 2)
	require.Equal(t, again[0].Run, again[1].Run)
	require.Greater(t, again[0].Run, got[0].Run)

	// One end as done stands for the whole gang.
	f.end(f.where(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndDone)
	f.step(tickTime)
	f.step(tickTime)
	s, _ := f.p.State(id)
	require.Equal(t, work.Done, s)
}

func TestUrgentWorkDisplacesWhatLosesLeast(t *testing.T) {
	f := newFake(t, 1, 4)
	less := queue
	less.Name, less.Priority = "less", 1
	saves := stepOf(1, 2000)
	saves.Checkpointing = true
	kept := f.accept("b", less, stepOf(1, 2000))
	lost := f.accept("c", less, saves)
	f.step(tickTime)
	f.set(taskOf(kept, 0, 0), 50, 0)
	urgent := f.accept("a", queue, stepOf(1, 2000))
	got := stops(f.step(tickTime))
	require.Len(t, got, 1)
	require.Equal(t, lost, got[0].Task.Job)
	for range 3 {
		f.step(tickTime)
	}
	require.Equal(t, "r0", f.where(taskOf(urgent, 0, 0)))
}

func TestWhatLastsIsMovedOnlyWithinItsBudget(t *testing.T) {
	f := newFake(t, 4, 8)
	lasts := work.Step{Count: 3, Resources: work.Resources{CPU: 1000}, LongRunning: true, MaxPerRunner: 1, MaxUnavailable: 1, HasMaxUnavailable: true}
	id := f.accept("a", queue, lasts)
	f.step(tickTime)
	for i := range 3 {
		f.set(taskOf(id, 0, i), 100, 0)
	}
	f.step(tickTime)
	for _, r := range f.ids() {
		f.p.SetEvacuating(r, r != "r3") // three of four are to be emptied at the same time
	}
	require.Len(t, stops(f.step(tickTime)), 1)
	require.Empty(t, stops(f.step(tickTime))) // the first one isn't at work again
}

func TestWhatFillsIsSlowedWhileItHarmsAndGivenBackInSteps(t *testing.T) {
	f := newFake(t, 1, 8)
	serves := work.Step{Count: 1, Resources: work.Resources{CPU: 4000}, LongRunning: true, LatencyTarget: 100 * time.Millisecond}
	fills := work.Step{Count: 1, Resources: work.Resources{CPU: 8000}, LongRunning: true, BestEffort: true}
	s := f.accept("a", queue, serves)
	b := f.accept("b", queue, fills)
	f.step(tickTime)
	f.set(taskOf(s, 0, 0), 100, 250)
	f.set(taskOf(b, 0, 0), 100, 3000)
	pace := 100
	for range 10 {
		for _, o := range paces(f.step(tickTime)) {
			require.Less(t, o.Percent, pace)
			pace = o.Percent
		}
	}
	require.Less(t, pace, 50)
	f.set(taskOf(s, 0, 0), 100, 40)
	for range 30 {
		for _, o := range paces(f.step(tickTime)) {
			require.Greater(t, o.Percent, pace)
			require.LessOrEqual(t, o.Percent-pace, paceUp)
			pace = o.Percent
		}
	}
	require.Equal(t, 100, pace)
}

func TestStepOfAPolicyRunsOnlyWhereItIsApproved(t *testing.T) {
	f := newFake(t, 3, 8)
	q := queue
	q.Advice = &work.ApprovalTiming{Base: 10 * time.Millisecond, Each: time.Millisecond, Valid: 3 * time.Second}
	f.accept("a", q, stepOf(1, 1000))
	orders := f.step(tickTime)
	require.Empty(t, starts(orders))
	require.Len(t, orders, 1)
	ask := orders[0].(ApprovalRequest)
	require.Empty(t, starts(f.step(tickTime))) // it is not asked twice
	f.p.HandleApproval(f.now, ask, map[string]string{"r1": "ticket-1"}, 3*time.Second)
	got := starts(f.step(tickTime))
	require.Len(t, got, 1)
	require.Equal(t, "r1", got[0].Runner)
	require.Equal(t, "ticket-1", got[0].Ticket)
}

func TestCopiesAndLimitsOfAStep(t *testing.T) {
	f := newFake(t, 2, 8)
	s := stepOf(4, 1000)
	s.MaxPerRunner = 1
	f.accept("a", queue, s)
	require.Len(t, starts(f.step(tickTime)), 2)
	s = stepOf(1, 1000)
	s.RequiredLabel = "b"
	f.accept("b", queue, s)
	require.Empty(t, starts(f.step(tickTime)))
}

func TestWhatCanBeInTimeGoesBeforeWhatIsLate(t *testing.T) {
	f := newFake(t, 1, 4)
	long := stepOf(1, 4000)
	long.Estimate = 10 * time.Second // as long as it then takes, so that nothing is learned from it
	blocker := f.accept("b", queue, long)
	f.step(tickTime)
	stale := f.accept("c", queue, stepOf(1, 4000))
	f.now = f.now.Add(8 * time.Second) // three times the objective of 2.2 s has passed
	f.look()
	late := f.accept("d", queue, stepOf(1, 4000))
	f.now = f.now.Add(2 * time.Second)
	f.look()
	fresh := f.accept("e", queue, stepOf(1, 4000))
	running := blocker
	for _, want := range []work.ID{fresh, late, stale} {
		f.end("r0", taskOf(running, 0, 0), work.EndDone)
		got := starts(f.step(tickTime))
		require.Len(t, got, 1)
		require.Equal(t, want, got[0].Task.Job)
		running = want
	}
}

// Two jobs of the same chain: the wide one has to begin earlier to be in time.
func TestWideJobBeginsBeforeANarrowOne(t *testing.T) {
	f := newFake(t, 1, 4)
	queue := queue
	queue.Slack = 4 // both can be in time, if the wide one begins first
	blocker := f.accept("b", queue, stepOf(1, 4000))
	f.step(tickTime)
	f.accept("c", queue, stepOf(1, 4000))
	f.now = f.now.Add(tickTime)
	f.look()
	wide := f.accept("d", queue, stepOf(3, 4000))
	f.end("r0", taskOf(blocker, 0, 0), work.EndDone)
	got := starts(f.step(tickTime))
	require.Len(t, got, 1)
	require.Equal(t, wide, got[0].Task.Job)
}

func TestTurnsStartWhenTheyAreDue(t *testing.T) {
	f := newFake(t, 1, 8)
	id := work.ID("000000000000000a")
	f.p.Accept(f.now, id, queue, work.Job{Spec: "a", Steps: []work.Step{stepOf(1, 1000)}, Repeat: 2, Start: f.now.Add(time.Second), Interval: time.Second})
	require.Empty(t, starts(f.step(900*time.Millisecond)))
	require.Len(t, starts(f.step(200*time.Millisecond)), 1)
	got := starts(f.step(time.Second))
	require.Len(t, got, 1)
	require.Equal(t, 1, got[0].Task.Occurrence)
}
