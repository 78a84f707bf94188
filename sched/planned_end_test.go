package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// Guards against a job that is reported as failed because tasks that had just started on machines were blamed for the
// ends of these, which orders had caused: the evacuation was over before the machine's next runner was known, the lease of
// the runner that went down expired meanwhile, or the machine came back by way of another pool.
func TestPlannedEndIsNoCrashWhenTheNextRunnerIsKnownLate(t *testing.T) {
	tests := map[string]struct {
		silence time.Duration // longer than the lease or shorter
		end     func(f *crashingPool, info work.Runner)
		after   func(f *crashingPool, info work.Runner) // before the machine is back
	}{
		"evacuated, lease expired": {
			silence: 15 * time.Second,
			end:     func(f *crashingPool, info work.Runner) { f.pool.SetEvacuating(info.ID, true) },
			after:   func(f *crashingPool, info work.Runner) { f.pool.SetEvacuating(info.ID, false) },
		},
		"ordered, evacuation over": {
			end: func(f *crashingPool, info work.Runner) {
				f.pool.SetEvacuating(info.ID, true)
				f.pool.SetEndPlanned(f.now, info.Machine)
				f.pool.SetEvacuating(info.ID, false)
			},
		},
		"ordered, without evacuation": {
			end: func(f *crashingPool, info work.Runner) { f.pool.SetEndPlanned(f.now, info.Machine) },
		},
		"order known after the lease": {
			silence: 15 * time.Second,
			after:   func(f *crashingPool, info work.Runner) { f.pool.SetEndPlanned(f.now, info.Machine) },
		},
		"back from another pool": {
			silence: 15 * time.Second,
			after: func(f *crashingPool, info work.Runner) {
				info.ID, info.Born, info.Service = info.ID+"y", info.Born+1, "other"
				f.pool.HandleReplacement(f.now, info)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashingPool(t, 1, 8)
			id := f.submit("a", stepOf(1, 1000))
			f.step()
			task := f.pool.jobs[id].findTask(taskOf(id, 0, 0))
			info := f.runners[f.runnerOf(task.name)].info
			if test.end != nil {
				test.end(f, info)
			}
			f.runners[info.ID].runs, f.runners[info.ID].silent = map[string]work.Run{}, true
			f.run(test.silence)
			if test.after != nil {
				test.after(f, info)
			}
			info.ID, info.Born = info.ID+"x", info.Born+2
			f.pool.UpdateRunner(f.now, info)
			require.Empty(t, task.crashes)
		})
	}
}

// Guards against a machine on which crashes never count again once an order has taken it down.
func TestNextIncarnationAfterAPlannedEndMayCrash(t *testing.T) {
	f := newCrashingPool(t, 1, 8)
	info := f.runners["r0"].info
	f.pool.SetEndPlanned(f.now, info.Machine)
	info.Born++
	f.runners["r0"].info = info
	f.pool.UpdateRunner(f.now, info)
	id := f.submit("a", stepOf(1, 1000))
	f.step()
	f.step()
	require.NotEmpty(t, f.runnerOf(taskOf(id, 0, 0)))
	info.Born++
	f.pool.UpdateRunner(f.now, info)
	require.Len(t, f.pool.jobs[id].findTask(taskOf(id, 0, 0)).crashes, 1)
}
