package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// Guards against a refusal without workspaces, with room, with a backlog that the job may outlast, or while machines can
// come, and against a Retry-After after which the work ahead is still there.
func TestOnlyCertainlyLateJobsAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name       string
		workspaces map[string]float64
		backlog    int // jobs of eight core-seconds on eight cores
		fullCPU    int64
		retry      time.Duration
	}{
		{"no workspaces", nil, 40, 0, 0},
		{"idle", map[string]float64{"a": 1}, 0, 0, 0},
		{"within the late objective", map[string]float64{"a": 1}, 7, 0, 0},
		{"within the safety factor", map[string]float64{"a": 1}, 8, 0, 0},
		{"certain", map[string]float64{"a": 1}, 40, 0, 40 * time.Second},
		{"machines can come", map[string]float64{"a": 1}, 40, 80_000, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakePool(t, 1, 8)
			f.pool.SetWorkspaces(tc.workspaces, 1)
			for i := range tc.backlog {
				f.acceptOf("a", fmt.Sprint(i), stepOf(8, 1000))
			}
			f.advance(tickInterval)
			f.now = f.now.Add(backlogInterval)
			job := work.Job{Steps: []work.Step{stepOf(8, 1000)}, Workspace: "none"}
			retry, refused := f.pool.Refusal(f.now, f.now, "000000000000000a", testQueue, job, tc.fullCPU)
			require.Equal(t, tc.retry > 0, refused)
			require.Equal(t, tc.retry, retry)
			require.Equal(t, refused, f.pool.MayRefuse(f.now, testQueue, job) && refused)
			job.Steps[0].LongRunning = true
			_, refused = f.pool.Refusal(f.now, f.now, "000000000000000a", testQueue, job, tc.fullCPU)
			require.False(t, refused)
		})
	}
}

// Guards against refusals of jobs that would have been of use: all jobs of a flood are accepted, and none that would have
// been refused ends within its late objective.
func TestRefusedJobsWouldHaveBeenTooLate(t *testing.T) {
	f := newFakePool(t, 2, 8)
	f.pool.SetWorkspaces(map[string]float64{"a": 4, "b": 4}, 1)
	late := time.Duration(lateFactor * (testQueue.Slack*float64(time.Second) + float64(testQueue.Aim)))
	refused, accepted, started := 0, map[work.ID]time.Time{}, map[work.Task]time.Time{}
	for n := range 800 {
		if n < 200 && n%2 == 0 {
			for i := range 3 {
				space := []string{"a", "b", "b"}[i]
				id := work.ID(fmt.Sprintf("%016s", fmt.Sprint(n, "-", i)))
				_, certain := f.pool.Refusal(f.now, f.now, id, testQueue, work.Job{Steps: []work.Step{stepOf(8, 1000)}, Workspace: space}, 0)
				f.acceptOf(space, fmt.Sprint(n, "-", i), stepOf(8, 1000))
				if certain {
					refused++
					accepted[id] = f.now
				}
			}
		}
		for task, at := range started {
			if f.now.Sub(at) >= time.Second {
				f.endRun(f.runnerOf(task), task, work.EndDone)
				delete(started, task)
			}
		}
		for _, order := range starts(f.advance(50 * time.Millisecond)) {
			started[order.Task] = f.now
		}
		for id, at := range accepted {
			if s, _ := f.pool.State(id); s == work.Done {
				require.Greater(t, f.now.Sub(at), late, id)
				delete(accepted, id)
			}
		}
	}
	require.Greater(t, refused, 50)
}
