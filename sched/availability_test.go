package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// takeOverLongRunning returns a pool with a new leader, whose predecessor left the tasks of a step at work on r0 to r2,
// and r3 without work. One of the tasks may be away.
func takeOverLongRunning(t *testing.T) *fakePool {
	f := newFakePool(t, 4, 8)
	id := work.ID("000000000000000a")
	for i := range 3 {
		task := taskOf(id, 0, i)
		f.runners[f.runnerIDs()[i]].runs[task.String()] = work.Run{Task: task, Run: 1, Percent: 100}
	}
	longRunning := work.Step{Count: 3, Resources: work.Resources{CPU: 1000}, LongRunning: true, MaxPerRunner: 1, MaxUnavailable: 1, HasMaxUnavailable: true}
	f.pool.RestoreJob(f.now, id, testQueue, work.Job{Spec: "a", Steps: []work.Step{longRunning}}, f.now, &Progress{State: work.Running, Runners: f.runnerIDs()})
	for _, r := range f.runnerIDs() {
		f.pool.InheritRunner(f.runners[r].info, time.Time{})
	}
	return f
}

func TestStopForAMoveNamesTheOtherTasksOfItsStep(t *testing.T) {
	f := takeOverLongRunning(t)
	f.pool.SetEvacuating("r0", true)
	var got []Stop
	for range 5 {
		got = append(got, stops(f.advance(tickInterval))...)
	}
	require.Len(t, got, 1)
	require.Contains(t, got[0].Detail, "0 away, 1 may be; 1 run 1 running 100% adopted")
	require.Contains(t, got[0].Detail, "on r1 polled 0s ago; 2 run 1 running 100% adopted")
}
