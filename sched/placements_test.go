package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// newSuccessor returns a pool of a leader that takes over from another one that stored its placements. The runner
// "lost" may still run what the other leader gave it, and doesn't answer.
func newSuccessor(t *testing.T, runners int) *fakePool {
	f := newFakePool(t, runners, 8)
	leases := testLeases
	leases.InheritedPlacements = true
	infos := f.runners
	f.pool = New(f.now, 2, leases, WithCheckInterval(0), WithViolationHook(func(err error) { f.violations = append(f.violations, err.Error()) }))
	for _, r := range infos {
		f.pool.InheritRunner(r.info, time.Time{}, time.Time{})
		f.pool.UpdateRunner(f.now, r.info)
	}
	lost := &fakeRunner{info: work.Runner{ID: "lost", Machine: "mx", Service: "s", Born: 1, Room: work.Resources{CPU: 8000, Mem: 1 << 20}}, runs: map[string]work.Run{}, silent: true}
	f.runners["lost"] = lost
	f.pool.InheritRunner(lost.info, time.Time{}, time.Time{})
	f.poll()
	return f
}

// restore adds a job that the earlier leader accepted, with the runners that may have runs of it.
func (f *fakePool) restore(id string, placements ...string) work.ID {
	jobID := work.ID("000000000000000" + id)
	f.pool.RestoreJob(f.now, jobID, testQueue, work.Job{Spec: id, Steps: []work.Step{stepOf(1, 1000)}}, f.now, &Progress{State: work.Queued, Runners: placements})
	return jobID
}

// Guards against a service that stands still after a change of leader because one runner of many doesn't answer.
func TestSilentRunnerDelaysOnlyJobsPlacedThere(t *testing.T) {
	f := newSuccessor(t, 2)
	never := f.restore("a")
	elsewhere := f.restore("b", "r0")
	there := f.restore("c", "lost", "r1")
	got := map[work.ID]bool{}
	for _, s := range starts(f.advance(tickInterval)) {
		got[s.Task.Job] = true
	}
	require.Equal(t, map[work.ID]bool{never: true, elsewhere: true}, got)
	for id := range got {
		f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndDone)
	}
	begin := f.now
	for f.now.Sub(begin) < testLeases.InheritedTTL-time.Second {
		require.Empty(t, starts(f.advance(tickInterval)))
	}
	var late []Start
	for range 10 {
		late = append(late, starts(f.advance(tickInterval))...)
	}
	require.NotEmpty(t, late)
	require.Equal(t, there, late[0].Task.Job)
}

func TestStartWaitsUntilItsPlacementIsStored(t *testing.T) {
	f := newFakePool(t, 1, 8)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	for range 3 {
		f.now = f.now.Add(tickInterval)
		f.poll()
		require.Empty(t, starts(f.pool.Plan(f.now, f.now, true)))
	}
	state, _ := f.pool.State(id)
	require.Equal(t, work.Queued, state)
	at, ok := f.pool.NextCommit()
	require.True(t, ok)
	require.False(t, at.After(f.now), "a start waits for the commit")
	batch := f.pool.UncommittedBatch(f.now, 10, false)
	require.Len(t, batch, 1)
	require.Equal(t, []string{"r0"}, batch[0].Progress.Runners)
	f.pool.MarkCommitted(f.now, batch)
	require.Len(t, starts(f.pool.Plan(f.now, f.now, true)), 1)
}

// While the store takes no commits, a job goes on where it has run, and nothing else starts.
func TestJobsGoOnWhereTheyAreWhileTheStoreTakesNoCommits(t *testing.T) {
	f := newFakePool(t, 2, 8)
	second := stepOf(1, 1000)
	second.After = []int{0}
	running := f.accept("a", testQueue, stepOf(1, 1000), second)
	f.advance(tickInterval)
	home := f.runnerOf(taskOf(running, 0, 0))
	f.pool.SetStoreAvailable(false)
	f.accept("b", testQueue, stepOf(1, 1000))
	f.endRun(home, taskOf(running, 0, 0), work.EndDone)
	var got []Start
	for range 5 {
		f.now = f.now.Add(tickInterval)
		f.poll()
		got = append(got, starts(f.pool.Plan(f.now, f.now, true))...)
	}
	require.Len(t, got, 1)
	require.Equal(t, taskOf(running, 1, 0), got[0].Task)
	require.Equal(t, home, got[0].Runner)
}

// A run that waits for the store must not keep its room from a job that could start without it.
func TestPlannedRunGivesUpItsRoomWhileTheStoreTakesNoCommits(t *testing.T) {
	f := newFakePool(t, 1, 1)
	second := stepOf(1, 1000)
	second.After = []int{0}
	running := f.accept("a", testQueue, stepOf(1, 1000), second)
	f.advance(tickInterval)
	waiting := f.accept("b", testQueue, stepOf(1, 1000))
	f.pool.jobs[waiting].queue.Priority = -1
	f.endRun("r0", taskOf(running, 0, 0), work.EndDone)
	f.poll()
	require.Empty(t, starts(f.pool.Plan(f.now, f.now, true)))
	require.Equal(t, int64(1000), f.pool.runners["r0"].used.CPU)
	f.pool.SetStoreAvailable(false)
	var got []Start
	for range 20 {
		f.now = f.now.Add(tickInterval)
		f.poll()
		got = append(got, starts(f.pool.Plan(f.now, f.now, true))...)
	}
	require.Len(t, got, 1)
	require.Equal(t, taskOf(running, 1, 0), got[0].Task)
}

func TestGangIsNotOrderedWithoutAMemberWhoseRunnerIsLost(t *testing.T) {
	f := newFakePool(t, 2, 1)
	gang := stepOf(2, 1000)
	gang.Gang = true
	f.accept("a", testQueue, gang)
	f.poll()
	require.Empty(t, starts(f.pool.Plan(f.now, f.now, true)))
	f.pool.MarkCommitted(f.now, f.pool.UncommittedBatch(f.now, 10, true))
	f.pool.HandlePollFailure(f.now, "r1")
	require.Empty(t, starts(f.pool.Plan(f.now, f.now, true)))
	require.Zero(t, f.pool.runners["r0"].used.CPU)
}

// An earlier leader that doesn't store placements, as of an older version, may have placed any job anywhere.
func TestPlacementsAreStoredOnceAdoptedRunsAre(t *testing.T) {
	f := newFakePool(t, 1, 8)
	f.pool = New(f.now, 2, testLeases)
	f.pool.InheritRunner(f.runners["r0"].info, time.Time{}, time.Time{})
	f.pool.UpdateRunner(f.now, f.runners["r0"].info)
	id := f.restore("a")
	require.False(t, f.pool.PlacementsStored())
	f.runners["r0"].runs[taskOf(id, 0, 0).String()] = work.Run{Task: taskOf(id, 0, 0), Run: 1}
	f.poll()
	require.False(t, f.pool.PlacementsStored(), "the adopted run is not stored yet")
	f.pool.MarkCommitted(f.now, f.pool.UncommittedBatch(f.now, 10, true))
	require.True(t, f.pool.PlacementsStored())
}

// Placements of a job that runs for weeks must not grow with every runner that it has ever used.
func TestPlacementsOnGoneRunnersAreForgotten(t *testing.T) {
	f := newFakePool(t, 2, 8)
	forever := stepOf(1, 1000)
	forever.LongRunning = true
	id := f.accept("a", testQueue, forever)
	f.advance(tickInterval)
	home := f.runnerOf(taskOf(id, 0, 0))
	f.endRun(home, taskOf(id, 0, 0), work.EndFailed)
	f.pool.MarkUnlisted(f.now, home)
	f.runners[home].silent = true
	for begin := f.now; f.now.Sub(begin) < 2*testLeases.TTL; {
		f.advance(tickInterval)
	}
	require.NotEmpty(t, f.runnerOf(taskOf(id, 0, 0)))
	require.NotEqual(t, home, f.runnerOf(taskOf(id, 0, 0)))
	f.pool.markChanged(f.pool.jobs[id], f.now)
	batch := f.pool.UncommittedBatch(f.now, 10, true)
	require.Equal(t, []string{f.runnerOf(taskOf(id, 0, 0))}, batch[0].Progress.Runners)
}

// Under load there is more progress than a transaction takes. Starts must not wait until that of all other jobs is stored.
func TestStartsAreCommittedBeforeOtherProgress(t *testing.T) {
	f := newFakePool(t, 2, 8)
	for i := range 10 {
		id := f.accept(string(rune('a'+i)), testQueue, stepOf(1, 1000))
		f.advance(tickInterval)
		f.pool.markChanged(f.pool.jobs[id], f.now)
	}
	f.poll()
	last := f.accept("z", testQueue, stepOf(1, 1000))
	f.pool.Plan(f.now, f.now, true)
	waiting := f.pool.StartsWaiting()
	require.Less(t, waiting, 10)
	var batched []work.ID
	for _, b := range f.pool.UncommittedBatch(f.now, waiting, true) {
		batched = append(batched, b.ID)
	}
	require.Contains(t, batched, last)
}
