package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/standin"
)

// slowShape is the shape of jobs of which a tenth of the runs are slow and whose steps allow copies.
var slowShape = JobShape{MaxSteps: 2, MaxWidth: 5, MeanMS: 800, CPU: 1000, FailingShare: 0.05, SlowPercent: 10}

// Guards against a copy that starts after its task is done, a third run beside two, and failures beyond the attempts, also
// while leaders and runners are lost with both runs in progress.
func TestCopiesWhileLeadersAndRunnersAreLost(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, Small, 60+seed, func(t *testing.T, c *Cluster) {
				submitEvenly(c, "s0", 60, 15*time.Second, slowShape)
				c.restartDaemon(c.Leader("s0"))
				submitEvenly(c, "s0", 30, 8*time.Second, slowShape)
				id := c.Runners()[seed]
				c.runners[id].runner.Crash()
				time.AfterFunc(3*time.Second, c.runners[id].runner.Restart)
				submitEvenly(c, "s0", 30, 8*time.Second, slowShape)
				require.Positive(t, c.Checker.CopyCount())
				t.Log(c.Checker.CopyCount(), "copies")
			})
		})
	}
}

// Guards against a copy whose start is carried out seconds late, after the end of the earlier run was acknowledged.
func TestCopiesThatStartLate(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, Small, 80+seed, func(t *testing.T, c *Cluster) {
				shape := slowShape
				shape.SlowPercent = 30
				for _, id := range c.Runners() {
					c.SetRunnerFaults(id, standin.RunnerFaults{DelayedOrderRate: 0.3})
				}
				submitEvenly(c, "s0", 60, 30*time.Second, shape)
				for _, id := range c.Runners() {
					c.SetRunnerFaults(id, standin.RunnerFaults{})
				}
				submitEvenly(c, "s0", 20, 10*time.Second, shape)
				require.Positive(t, c.Checker.CopyCount())
			})
		})
	}
}
