package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// setRoom changes the room that a runner's entry in the platform's list shows.
func (f *fakePool) setRoom(id string, room work.Resources) {
	f.runners[id].info.Room = room
	f.pool.UpdateRunner(f.now, f.runners[id].info)
}

func cores(n int64) work.Resources { return work.Resources{CPU: n * 1000, Mem: 1 << 20} }

// A planned run keeps its room until the store has its placement. Its start was ordered although the runner's room had
// shrunk meanwhile.
func TestPlannedRunStartsOnRunnerWhoseRoomHasShrunk(t *testing.T) {
	f := newFakePool(t, 1, 8)
	f.accept("a", testQueue, stepOf(4, 2000))
	f.pool.Plan(f.now, f.now, true)
	f.setRoom("r0", cores(4))
	f.pool.MarkCommitted(f.now, f.pool.UncommittedBatch(f.now, 100, true))

	ordered := starts(f.plan())
	require.Len(t, ordered, 2)
	f.setRoom("r0", cores(8))
	require.Len(t, starts(f.advance(50*time.Millisecond)), 2, "the room has grown again")
}

// A start waits in its session's queue until earlier orders are answered.
func TestQueuedStartIsSentToRunnerWhoseRoomHasShrunk(t *testing.T) {
	f := newFakePool(t, 1, 8)
	f.accept("a", testQueue, stepOf(4, 2000))
	queued := starts(f.planCommitted(true))
	require.Len(t, queued, 4)
	f.setRoom("r0", cores(4))

	sent := 0
	for _, order := range queued {
		if f.pool.ShouldSend(order) {
			sent++
			f.execute(order)
		} else {
			f.pool.WithdrawStart(f.now, order)
		}
	}
	require.Equal(t, 2, sent)
}

// listOrphan makes a runner list a run of a job that this leader knows to be cancelled, as after a change of leader.
func (f *fakePool) listOrphan(runner string, need int64) work.Task {
	id := f.accept("gone", testQueue, stepOf(1, need))
	require.True(f.t, f.pool.Cancel(f.now, id))
	task := taskOf(id, 0, 0)
	f.runners[runner].runs[task.String()] = work.Run{Task: task, Run: 7}
	return task
}

// What is being stopped still takes up room, also if the leader found the run on the runner and doesn't want it.
func TestStartTakesRoomOfUnwantedRunThatIsStillBeingStopped(t *testing.T) {
	f := newFakePool(t, 1, 8)
	orphan := f.listOrphan("r0", 6000)
	f.accept("a", testQueue, stepOf(2, 4000))
	f.poll()

	orders := f.planCommitted(true)
	require.Empty(t, starts(orders))
	require.Len(t, stops(orders), 1)
	f.pool.HandleStopResult(f.now, stops(orders)[0], OutcomeDone)
	require.Empty(t, starts(f.planCommitted(true)), "the stop is answered, but the run has not ended")
	f.endRun("r0", orphan, work.EndStopped)
	require.Len(t, starts(f.advance(50*time.Millisecond)), 2)
}

// The need of a run whose job the leader doesn't know is unknown.
func TestStartOnRunnerWithRunOfUnknownJob(t *testing.T) {
	f := newFakePool(t, 1, 8)
	unknown := taskOf("00000000000000ff", 0, 0)
	f.runners["r0"].runs[unknown.String()] = work.Run{Task: unknown, Run: 7}
	f.accept("a", testQueue, stepOf(2, 4000))
	f.poll()

	orders := f.planCommitted(true)
	require.Empty(t, starts(orders))
	require.Len(t, stops(orders), 1)
	f.execute(stops(orders)[0])
	require.Len(t, starts(f.advance(50*time.Millisecond)), 2)
}

// The estimates by which waiting work is ordered divide by what a pool has for tasks that end.
func TestShrunkRoomMakesSchedulableCPUNegative(t *testing.T) {
	f := newFakePool(t, 2, 8)
	lasting := stepOf(2, 6000)
	lasting.LongRunning, lasting.MaxPerRunner = true, 1
	f.accept("a", testQueue, lasting)
	require.Len(t, starts(f.advance(50*time.Millisecond)), 2)
	f.setRoom("r0", cores(1))
	f.setRoom("r1", cores(7))
	f.advance(50 * time.Millisecond)
	require.Equal(t, int64(1000), f.pool.schedulableCPU)
}

// Only the CPU of a best-effort task isn't counted against its runner's room.
func TestBestEffortStartsExceedMemoryOfRunner(t *testing.T) {
	f := newFakePool(t, 1, 8)
	f.setRoom("r0", work.Resources{CPU: 8000, Mem: 1000})
	filler := stepOf(3, 6000)
	filler.BestEffort, filler.LongRunning, filler.Resources.Mem = true, true, 400
	f.accept("a", testQueue, filler)
	require.Len(t, starts(f.advance(50*time.Millisecond)), 2)

	task := stepOf(1, 1000)
	task.Resources.Mem = 300
	f.accept("b", testQueue, task)
	require.Empty(t, starts(f.advance(50*time.Millisecond)))
}
