package wavetrial

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

func report(t *testing.T, args ...string) Report {
	var out bytes.Buffer
	require.NoError(t, Run(args, &out))
	var rep Report
	require.NoError(t, json.Unmarshal(out.Bytes(), &rep))
	require.Len(t, rep.Runs, 2)
	return rep
}

func TestTodayEndsWithinTheBudget(t *testing.T) {
	longest := 0.0
	for _, r := range report(t, "-seed", "1", "-layout", "whole").Runs {
		require.True(t, r.Ended, r.Why)
		require.Equal(t, r.Runners, r.Returned)
		require.Zero(t, r.Breaches)
		require.Zero(t, r.Cut)
		longest = max(longest, r.Rollout)
	}
	// One at a time is through with only some of them by then.
	span := time.Duration(longest) * time.Second
	for _, r := range report(t, "-seed", "1", "-layout", "whole", "-design", "serial", "-span", span.String()).Runs {
		require.False(t, r.Ended)
		require.NotEmpty(t, r.Why)
		require.Less(t, r.Returned, r.Runners)
	}
}

func TestUnknownFlagsAreRefused(t *testing.T) {
	for _, args := range [][]string{{"-size", "huge"}, {"-design", "random"}, {"-layout", "flat"}} {
		err := Run(args, &bytes.Buffer{})
		require.True(t, fault.Is(err, fault.Invalid), "%v: %v", args, err)
	}
}

func TestSlotsPlaceEveryRunnerOnce(t *testing.T) {
	for _, size := range []string{"today", "middle", "target"} {
		scs, err := scales(size)
		require.NoError(t, err)
		for _, sc := range scs {
			for _, l := range []Layout{LayoutMixed, LayoutWhole} {
				slots := sc.slots(l)
				require.Len(t, slots, sc.Runners)
				pools, racks := map[int]int{}, map[string]int{}
				for _, s := range slots {
					pools[s.pool]++
					racks[s.rack]++
				}
				for p, n := range pools {
					require.Equal(t, sc.size(p), n)
				}
				for _, n := range racks {
					require.LessOrEqual(t, n, sc.Rack)
				}
			}
		}
	}
}

func BenchmarkTarget(b *testing.B) {
	for b.Loop() {
		require.NoError(b, Run([]string{"-size", "target"}, &bytes.Buffer{}))
	}
}
