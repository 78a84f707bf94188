package trial

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// When the load exceeds the pool's capacity, DeadlineAware completes more jobs on time than FIFO, and the share of
// the largest tenth that is on time is at least half that of the other jobs.
func TestDeadlineAwareBeatsFIFOWithoutStarvingLargeJobs(t *testing.T) {
	for _, tc := range []struct {
		workload string
		seed     uint64
	}{{"turns", 1}, {"turns", 2}, {"bursts", 1}} {
		t.Run(fmt.Sprintf("%s %d", tc.workload, tc.seed), func(t *testing.T) {
			t.Parallel()
			deadlineAware, err := Run(tc.workload, "now", tc.seed)
			require.NoError(t, err)
			fifo, err := Run(tc.workload, "first", tc.seed)
			require.NoError(t, err)
			require.Zero(t, deadlineAware.Violations)
			require.Greater(t, deadlineAware.OnTimeShare, fifo.OnTimeShare)
			rest := deadlineAware.OnTimeShare + (deadlineAware.OnTimeShare-deadlineAware.LargeOnTimeShare)/9 // on-time share of the other nine tenths
			require.GreaterOrEqual(t, deadlineAware.LargeOnTimeShare, rest/2)
		})
	}
}

// When the load is within the pool's capacity, every strategy completes all jobs on time.
func TestSteadyLoadIsOnTimeUnderEveryStrategy(t *testing.T) {
	for _, strategy := range []string{"now", "urgent", "first"} {
		t.Run(strategy, func(t *testing.T) {
			t.Parallel()
			r, err := Run("steady", strategy, 1)
			require.NoError(t, err)
			require.Equal(t, 1.0, r.OnTimeShare)
			require.Zero(t, r.Violations)
		})
	}
}

// The same seed gives the same result, also when runs are preempted.
func TestRunIsDeterministic(t *testing.T) {
	for workload, seed := range map[string]uint64{"rack": 7, "turns": 1, "uneven": 3} {
		t.Run(workload, func(t *testing.T) {
			t.Parallel()
			a, err := Run(workload, "now", seed)
			require.NoError(t, err)
			b, err := Run(workload, "now", seed)
			require.NoError(t, err)
			require.Equal(t, a, b)
		})
	}
}

// Going to another rack at once fills the pool with slow runs, which drives further tasks away from their racks.
func TestWaitingForRacksPaysOff(t *testing.T) {
	for _, workload := range []string{"hot", "group"} {
		t.Run(workload, func(t *testing.T) {
			t.Parallel()
			decide, err := Run(workload, "now", 1)
			require.NoError(t, err)
			direct, err := Run(workload, "direct", 1)
			require.NoError(t, err)
			require.Zero(t, decide.Violations)
			require.Greater(t, decide.OnTimeShare, direct.OnTimeShare+0.2)
		})
	}
}
