package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/budget"
	"gypsumlead/work"
)

// acceptFor adds a job of a workspace to the pool and returns its ID.
func (f *fakePool) acceptFor(workspace, id string, steps ...work.Step) work.ID {
	jobID := work.ID(fmt.Sprintf("%016s", id))
	f.pool.Accept(f.now, jobID, testQueue, work.Job{Spec: id, Steps: steps, Workspace: workspace})
	return jobID
}

// allow sets the cap of workspace w and what it may use in the pool, in cores.
func (f *fakePool) allow(limit, cores int64) {
	f.pool.SetCaps(map[string]work.Resources{"w": {CPU: limit * 1000}})
	f.pool.SetAllowances(map[string]work.Resources{"w": budget.Limit(work.Resources{CPU: cores * 1000}, work.Resources{CPU: limit * 1000})})
}

// running returns the number of runs on the runners.
func (f *fakePool) running() int {
	n := 0
	for _, r := range f.runners {
		n += len(r.runs)
	}
	return n
}

// Guards against a workspace that runs more than its allowance while there is room, and against its holding up others.
func TestAllowanceLimitsStarts(t *testing.T) {
	f := newFakePool(t, 4, 16)
	f.allow(100, 10)
	id := f.acceptFor("w", "a", stepOf(8, 4000))
	f.acceptFor("other", "b", stepOf(4, 4000))
	f.accept("c", testQueue, stepOf(4, 4000))
	f.pool.Plan(f.now, f.now, true)
	require.True(t, f.pool.NewlyHeldUp())
	f.advance(50 * time.Millisecond)
	require.Equal(t, 2+4+4, f.running(), "two of w, all others")

	f.advance(50 * time.Millisecond)
	require.False(t, f.pool.NewlyHeldUp(), "held up before")
	for i := range 8 {
		if runner := f.runnerOf(taskOf(id, 0, i)); runner != "" {
			f.endRun(runner, taskOf(id, 0, i), work.EndDone)
			break
		}
	}
	f.advance(50 * time.Millisecond)
	require.Equal(t, 2+4+4, f.running(), "the next one replaces it")
}

// Guards against a gang of which only some members start.
func TestAllowanceTakesWholeGangOrNone(t *testing.T) {
	f := newFakePool(t, 4, 16)
	f.allow(100, 15)
	gang := stepOf(4, 4000)
	gang.Gang = true
	f.acceptFor("w", "a", gang)
	f.advance(50 * time.Millisecond)
	require.Zero(t, f.running())
	f.allow(100, 16)
	f.advance(50 * time.Millisecond)
	require.Equal(t, 4, f.running())
}

// Guards against starts that were planned, or ordered and not sent, before the cap was lowered or the portion expired.
func TestLoweredAllowanceWithdrawsStartsInProgress(t *testing.T) {
	f := newFakePool(t, 4, 16)
	f.allow(100, 8)
	f.acceptFor("w", "a", stepOf(2, 4000))
	f.pool.Plan(f.now, f.now, true)
	require.Equal(t, work.Resources{CPU: 8000}, f.pool.WorkspaceUsage(f.now)["w"].Used, "planned starts count")
	f.allow(100, 4)
	f.commit()
	orders := starts(f.pool.Plan(f.now, f.now, true))
	require.Len(t, orders, 1, "both are withdrawn, and one is planned anew")
	require.True(t, f.pool.ShouldSend(orders[0]))
	f.pool.SetAllowances(nil)
	require.False(t, f.pool.ShouldSend(orders[0]))
}

// Guards against stops because of a lowered cap, and against starts before what runs is below it.
func TestLoweredAllowanceStopsNothing(t *testing.T) {
	f := newFakePool(t, 4, 16)
	f.allow(100, 16)
	id := f.acceptFor("w", "a", stepOf(8, 4000))
	f.advance(50 * time.Millisecond)
	require.Equal(t, 4, f.running())
	f.allow(10, 10)
	require.Empty(t, f.advance(50*time.Millisecond))
	for left := 3; left >= 2; left-- {
		for i := range 8 {
			if runner := f.runnerOf(taskOf(id, 0, i)); runner != "" {
				f.endRun(runner, taskOf(id, 0, i), work.EndDone)
				break
			}
		}
		f.advance(50 * time.Millisecond)
		require.Equal(t, left, f.running())
	}
}

// Guards against machines requested, rooms reserved, runs stopped and jobs shed for tasks that a cap holds up.
func TestHeldUpTasksTakeNothingFromOthers(t *testing.T) {
	f := newFakePool(t, 2, 16)
	f.allow(100, 4)
	urgent := testQueue
	urgent.Priority = -1
	f.pool.Accept(f.now, "00000000000000aa", urgent, work.Job{Steps: []work.Step{stepOf(50, 4000)}, Workspace: "w"})
	f.accept("b", testQueue, stepOf(7, 4000))
	orders := f.advance(50 * time.Millisecond)
	require.Empty(t, stops(orders))
	require.Equal(t, 8, f.running(), "one of w, all of the other job")
	require.Empty(t, f.pool.reserved)
	demand := f.pool.Demand(f.now, f.now)
	require.Zero(t, demand.Waiting+demand.Late)

	f = newFakePool(t, 2, 16)
	f.allow(100, 4)
	f.acceptFor("w", "a", stepOf(50, 4000))
	f.advance(50 * time.Millisecond)
	_, busy := f.pool.Availability(f.now)
	require.False(t, busy)
	require.Empty(t, f.pool.overload(f.now, f.now))
}

// Guards against a task or gang that is larger than the cap and hides the tasks behind it from the granter.
func TestReportNamesWhatCanStart(t *testing.T) {
	f := newFakePool(t, 2, 16)
	f.allow(20, 0)
	gang := stepOf(8, 4000)
	gang.Gang = true
	f.acceptFor("w", "a", gang)
	f.acceptFor("w", "b", stepOf(3, 2000))
	f.advance(50 * time.Millisecond)
	u := f.pool.WorkspaceUsage(f.now)["w"]
	require.Equal(t, work.Resources{CPU: 6000}, u.Waiting)
	require.Equal(t, work.Resources{CPU: 2000}, u.Next)
}

// Guards against a new leader that starts tasks while the runs of the earlier one, which it doesn't know yet, use the cap;
// and against orphans that no longer count.
func TestUnseenRunsCountAfterChangeOfLeader(t *testing.T) {
	f := newFakePool(t, 2, 16)
	f.allow(100, 100)
	id := f.acceptFor("w", "a", stepOf(6, 4000))
	cancelled := f.acceptFor("w", "b", stepOf(2, 4000))
	f.advance(50 * time.Millisecond)
	require.Equal(t, 8, f.running())
	f.pool.Cancel(f.now, cancelled)
	f.commit() // the runs of the cancelled job are not stopped yet

	leases := testLeases
	leases.InheritedPlacements = true
	pool := New(f.now, 2, leases, WithCheckInterval(0), WithViolationHook(func(err error) { f.violations = append(f.violations, err.Error()) }))
	for _, r := range f.runners {
		pool.InheritRunner(r.info, time.Time{}, time.Time{})
		pool.UpdateRunner(f.now, r.info)
	}
	restored := map[work.ID]work.Step{id: stepOf(6, 4000), cancelled: stepOf(2, 4000)}
	for jobID, s := range restored {
		progress, err := DecodeProgress(f.stored[jobID])
		require.NoError(t, err)
		pool.RestoreJob(f.now, jobID, testQueue, work.Job{Steps: []work.Step{s}, Workspace: "w"}, f.now, &progress)
	}
	f.pool = pool
	f.allow(100, 34)
	f.acceptFor("w", "c", stepOf(1, 4000))
	require.Equal(t, work.Resources{CPU: 32_000}, pool.WorkspaceUsage(f.now)["w"].Unseen)
	require.Empty(t, starts(f.pool.Plan(f.now, f.now, true)), "32 cores may be in use, and 2 of the 34 are not enough")

	f.poll()
	u := pool.WorkspaceUsage(f.now)["w"]
	require.Equal(t, work.Resources{CPU: 32_000}, u.Used, "two orphans of the cancelled job included")
	require.Zero(t, u.Unseen)
	f.advance(50 * time.Millisecond) // stops the orphans
	f.advance(50 * time.Millisecond)
	require.Equal(t, work.Resources{CPU: 28_000}, pool.WorkspaceUsage(f.now)["w"].Used)
}

// A workspace that was added a moment ago must not run without its cap where the configuration that has it is not known yet. One
// that was removed has no cap.
func TestWorkspaceNewerThanTheLeadersConfigurationRunsWithoutCap(t *testing.T) {
	f := newFakePool(t, 4, 16)
	f.pool.SetWorkspaces(map[string]float64{"other": 1}, 1)
	f.pool.SetQueues(1, nil)
	newer := testQueue
	newer.Version = 2
	f.pool.Accept(f.now, work.ID(fmt.Sprintf("%016s", "a")), newer, work.Job{Spec: "a", Steps: []work.Step{stepOf(8, 4000)}, Workspace: "w"})
	f.acceptFor("removed", "b", stepOf(4, 4000))
	f.advance(50 * time.Millisecond)
	require.Equal(t, 4, f.running(), "those of the removed workspace alone")

	f.allow(100, 10)
	f.pool.SetWorkspaces(map[string]float64{"w": 1}, 1)
	f.pool.SetQueues(2, nil)
	f.advance(50 * time.Millisecond)
	require.Equal(t, 4+2, f.running(), "two within the allowance")
}

// The daemon that let a job in knew newer terms of its queue than the leader, which must not put its own in their place.
func TestLeadersOlderTermsReplaceNewerOnes(t *testing.T) {
	f := newFakePool(t, 1, 16)
	own, newer := testQueue, testQueue
	own.Attempts, own.Version = 1, 1
	newer.Attempts, newer.Version = 2, 2
	f.pool.SetQueues(1, []work.Queue{own})
	id := f.accept("a", newer, stepOf(1, 1000))
	f.advance(50 * time.Millisecond)
	f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndFailed)
	f.advance(50 * time.Millisecond)
	f.requireState(id, work.Running)

	own.Version = 3
	f.pool.SetQueues(3, []work.Queue{own})
	f.endRun(f.runnerOf(taskOf(id, 0, 0)), taskOf(id, 0, 0), work.EndFailed)
	f.advance(50 * time.Millisecond)
	f.requireState(id, work.Failed)
}
