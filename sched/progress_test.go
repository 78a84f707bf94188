package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// maxStored is less than the platform's store takes for a row.
const maxStored = 48 << 10

// storedProgress returns the progress of a job in its stored form, and the job as the next leader restores it.
func storedProgress(t *testing.T, j *job) (int, *job) {
	t.Helper()
	value, err := j.progress().Encode()
	require.NoError(t, err)
	pr, err := DecodeProgress(value)
	require.NoError(t, err)
	next := New(time.Time{}, 2, testLeases)
	next.RestoreJob(time.Time{}, j.id, j.queue, j.spec, time.Time{}, &pr)
	return len(value), next.jobs[j.id]
}

// The store refuses every commit with a row that is too large, so that the service stands still.
func TestProgressOfManyOccurrencesExceedsRow(t *testing.T) {
	spec := work.Job{Repeat: 5000, Interval: time.Second, Steps: []work.Step{stepOf(2, 100), stepOf(3, 100)}}
	j := newJob("000000000000000a", testQueue, spec, time.Time{})
	for _, occ := range j.occurrences[:4000] {
		for _, s := range occ.steps {
			for _, task := range s.tasks {
				task.markDone()
			}
		}
	}
	j.occurrences[4000].steps[0].tasks[1].markDone()

	size, restored := storedProgress(t, j)
	require.Less(t, size, maxStored)
	require.Equal(t, j.remaining, restored.remaining)
	require.True(t, restored.occurrences[4000].steps[0].tasks[1].done)
	require.Equal(t, work.Running, restored.state)
}

// A task without its checkpoint starts from the beginning.
func TestCheckpointsOfManyTasksExceedRow(t *testing.T) {
	step := stepOf(5000, 100)
	step.Checkpointing = true
	j := newJob("000000000000000a", testQueue, work.Job{Steps: []work.Step{step}}, time.Time{})
	for i, task := range j.occurrences[0].steps[0].tasks {
		task.checkpoint = fmt.Sprintf("%016x", i)
	}
	size, restored := storedProgress(t, j)
	require.Less(t, size, maxStored)
	require.Equal(t, "0000000000000007", restored.occurrences[0].steps[0].tasks[7].checkpoint)
}
