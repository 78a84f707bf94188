package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// acceptOf accepts a job of a workspace.
func (f *fakePool) acceptOf(workspace, id string, steps ...work.Step) work.ID {
	jobID := work.ID(fmt.Sprintf("%016s", id))
	f.pool.Accept(f.now, jobID, testQueue, work.Job{Spec: id, Steps: steps, Workspace: workspace})
	return jobID
}

func (f *fakePool) classOf(id work.ID) Class {
	class, ok := f.pool.ClassOf(id)
	require.True(f.t, ok)
	return class
}

// Guards against a workspace that is entitled to more or less than its rate, against one without a weight that is entitled
// to anything, and against one with less than a job per window that never is.
func TestGuaranteedRate(t *testing.T) {
	for _, tc := range []struct {
		weight, fraction float64
		first, later     int // guaranteed jobs of 100 at once, and of 100 after ten more seconds
	}{{0, 1, 0, 0}, {0.1, 1, 2, 1}, {4, 0.2, 9, 8}, {4, 1, 29, 29}, {1, 0.2, 4, 2}} {
		t.Run(fmt.Sprint(tc.weight, tc.fraction), func(t *testing.T) {
			f := newFakePool(t, 1, 8)
			f.pool.SetWorkspaces(map[string]float64{"a": tc.weight, "b": 1}, 5)
			if tc.fraction != 0.2 {
				f.pool.SetFractions(map[string]float64{"a": tc.fraction})
			}
			count := func(from int) (guaranteed int) {
				for i := range 100 {
					if f.classOf(f.acceptOf("a", fmt.Sprint(from+i), stepOf(1, 1000))) == Guaranteed {
						guaranteed++
					}
				}
				return guaranteed
			}
			require.Equal(t, tc.first, count(0))
			f.now = f.now.Add(10 * time.Second)
			require.Equal(t, tc.later, count(100))
		})
	}
}

// Guards against a change of leader after which other jobs count as excess than before, although the jobs are restored in
// the order of their IDs, or after which a workspace can send its whole window once more.
func TestClassesSurviveAChangeOfLeader(t *testing.T) {
	before, after := newFakePool(t, 1, 8), newFakePool(t, 1, 8)
	before.pool.SetWorkspaces(map[string]float64{"a": 1}, 1)
	ids := map[work.ID]time.Time{}
	for i := range 20 {
		before.now = before.now.Add(100 * time.Millisecond)
		ids[before.acceptOf("a", fmt.Sprint(99-i), stepOf(1, 1000))] = before.now
	}
	for id, at := range ids { // in any order
		after.pool.RestoreJob(before.now, id, testQueue, work.Job{Spec: "r", Steps: []work.Step{stepOf(1, 1000)}, Workspace: "a"}, at, nil)
	}
	after.pool.SetWorkspaces(map[string]float64{"a": 1}, 1)
	after.now = before.now
	require.Equal(t, Excess, after.classOf(after.acceptOf("a", "new", stepOf(1, 1000))))
	for id := range ids {
		require.Equal(t, before.classOf(id), after.classOf(id), id)
	}
}

// Guards against excess jobs that wait although there is room, and that take the room of jobs within the guaranteed rate
// which would then be late.
func TestExcessJobsGetWhatIsLeft(t *testing.T) {
	f := newFakePool(t, 1, 8)
	f.pool.SetWorkspaces(map[string]float64{"a": 0, "b": 10}, 1)
	f.acceptOf("a", "1", stepOf(8, 1000))
	require.Len(t, starts(f.advance(tickInterval)), 8)
	for i := range 8 {
		f.acceptOf("a", fmt.Sprint("x", i), stepOf(8, 1000))
	}
	entitled := f.acceptOf("b", "g", stepOf(8, 1000))
	f.now = f.now.Add(time.Second)
	for i := range 8 {
		f.endRun("r0", taskOf(work.ID(fmt.Sprintf("%016s", "1")), 0, i), work.EndDone)
	}
	list := starts(f.advance(tickInterval))
	require.Len(t, list, 8)
	for _, order := range list {
		require.Equal(t, entitled, order.Task.Job)
	}
}

// Guards against a pool that is full of one workspace's work, all within its rate, and sheds the jobs of a workspace that
// has used nothing.
func TestOverservedWorkspaceIsShedFirst(t *testing.T) {
	f := newFakePool(t, 4, 8)
	f.pool.SetWorkspaces(map[string]float64{"a": 50, "b": 50}, 1)
	f.acceptOf("a", "0", stepOf(32, 1000))
	for range 20 {
		f.advance(100 * time.Millisecond)
	}
	f.acceptOf("b", "b0", stepOf(8, 1000))
	own, other := f.pool.jobs[f.acceptOf("a", "a1", stepOf(8, 1000))], f.pool.jobs[f.acceptOf("b", "b1", stepOf(8, 1000))]
	require.Equal(t, Guaranteed, own.class())
	require.Greater(t, f.pool.shares.shareFactor(own), 2*f.pool.shares.shareFactor(other))
	require.LessOrEqual(t, f.pool.shares.shareFactor(own), float64(maxShareFactor))
}
