package trial

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// On loads above what the pool holds callers get more in time than first come first served gives, and the
// largest tenth is served at least half as often as the rest.
func TestMoreIsInTimeThanFirstComeFirstServedAndLargeJobsAreNotStarved(t *testing.T) {
	for _, tc := range []struct {
		load string
		seed uint64
	}{{"turns", 1}, {"turns", 2}, {"bursts", 1}} {
		t.Run(fmt.Sprintf("%s %d", tc.load, tc.seed), func(t *testing.T) {
			t.Parallel()
			now, err := Run(tc.load, "now", tc.seed)
			require.NoError(t, err)
			first, err := Run(tc.load, "first", tc.seed)
			require.NoError(t, err)
			require.Zero(t, now.Violations)
			require.Greater(t, now.OnTimeShare, first.OnTimeShare)
			rest := now.OnTimeShare + (now.OnTimeShare-now.LargeOnTimeShare)/9 // of the other nine tenths
			require.GreaterOrEqual(t, now.LargeOnTimeShare, rest/2)
		})
	}
}

// Where the pool holds what is asked, the way makes no difference to speak of: everything is in time.
func TestSteadyLoadIsInTimeUnderEveryWay(t *testing.T) {
	for _, way := range []string{"now", "urgent", "first"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			r, err := Run("steady", way, 1)
			require.NoError(t, err)
			require.Equal(t, 1.0, r.OnTimeShare)
			require.Zero(t, r.Violations)
		})
	}
}

// The same seed gives the same result, also where jobs give way to each other.
func TestPlayIsDeterministic(t *testing.T) {
	for load, seed := range map[string]uint64{"rack": 7, "turns": 1} {
		t.Run(load, func(t *testing.T) {
			t.Parallel()
			a, err := Run(load, "now", seed)
			require.NoError(t, err)
			b, err := Run(load, "now", seed)
			require.NoError(t, err)
			require.Equal(t, a, b)
		})
	}
}
