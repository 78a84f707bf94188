package emulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// crashingShape is the shape of jobs of a single task that crashes its runners.
var crashingShape = JobShape{MaxSteps: 1, MaxWidth: 1, MeanMS: 800, CPU: 2000, CrashesRunners: true}

// Guards against a task that is started for ever, runner after runner, as its crashes don't count or don't outlast a
// leader that is killed just as it has ordered the start.
func TestTaskThatCrashesRunnersIsGivenUpThoughItsLeadersAreKilled(t *testing.T) {
	tests := []struct {
		name   string
		killAt []int // starts of the task
	}{
		{"no leader is killed", nil},
		{"at its second start", []int{2}},
		{"at its first and third start", []int{1, 3}},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runScenario(t, Small, uint64(41+i), func(t *testing.T, c *Cluster) {
				c.mu.Lock()
				c.onFatalRun = func(n int) {
					if slices.Contains(test.killAt, n) {
						c.restartDaemon(c.Leader("s0"))
					}
				}
				c.mu.Unlock()
				wire, job := c.NewBatchJob(crashingShape)
				id := c.Submit("s0", wire, job)
				submitEvenly(c, "s0", 40, 15*time.Second, batchShape)
				time.Sleep(15 * time.Second)
				require.Equal(t, work.Failed, c.State(id))
			})
		})
	}
}

func TestTasksThatCrashRunnersLeaveTheOtherJobsToEnd(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, Small, 50+seed, func(t *testing.T, c *Cluster) {
				for range 3 {
					wire, job := c.NewBatchJob(crashingShape)
					c.Submit("s0", wire, job)
					submitEvenly(c, "s0", 20, 5*time.Second, batchShape)
				}
				c.Kill(c.Leader("s0"))
				submitEvenly(c, "s0", 20, 5*time.Second, batchShape)
				for _, name := range c.Daemons() {
					c.Start(name)
				}
			})
		})
	}
}

// restartDaemon kills a daemon and starts it again soon.
func (c *Cluster) restartDaemon(name string) {
	c.Kill(name)
	time.AfterFunc(2*time.Second, func() {
		if c.ctx.Err() == nil {
			c.Start(name)
		}
	})
}
