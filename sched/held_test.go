package sched

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against runs that are stopped, and room that is kept, for tasks that don't start before leadership is confirmed.
func TestNobodyGivesWayToHeldTasks(t *testing.T) {
	for name, gang := range map[string]bool{"gang": true, "single task": false} {
		t.Run(name, func(t *testing.T) {
			f := newFakePool(t, 1, 8)
			f.accept("1", lessUrgentQueue(), stepOf(3, 2000))
			f.advance(tickInterval)
			held := stepOf(1, 8000)
			held.Gang = gang
			id := f.accept("a", testQueue, held)
			f.pool.jobs[id].findTask(taskOf(id, 0, 0)).held = true
			other := f.accept("2", lessUrgentQueue(), stepOf(1, 2000))
			f.now = f.now.Add(tickInterval)
			f.poll()
			require.Empty(t, stops(f.planCommitted(false)))
			require.Len(t, f.pool.jobs[other].findTask(taskOf(other, 0, 0)).runs, 1)
		})
	}
}
