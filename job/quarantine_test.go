package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/job"
)

// failuresOn runs five minutes with one worker that fails everything and counts what failed on it.
func failuresOn(t *testing.T, y job.Policy) (failed, right, wrong int) {
	t.Helper()
	c := newChaos(t, 1, time.Hour, y)
	c.run(time.Minute, 0)
	c.w.Break(0, true)
	for range 600 {
		c.tick()
	}
	for _, r := range c.w.Truth.Tasks(c.w.Members()[0]) {
		if r.State == backing.TaskFailed {
			failed++
		}
	}
	r := c.w.Result()
	return failed, r.Right, r.Wrong
}

func TestAWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	y := job.DefaultPolicy()
	with, right, wrong := failuresOn(t, y)
	y.NoQuarantine = true
	without, _, _ := failuresOn(t, y)
	t.Logf("seed 1: %d failures on the worker with quarantine (right %d, wrong %d), %d without", with, right, wrong, without)
	require.Positive(t, right)
	require.Zero(t, wrong)
	require.Less(t, 2*with, without, "the test must see what the mechanism prevents")
}
