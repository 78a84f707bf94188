package wave

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/record"
)

var stride = flag.Int("stride", 47, "every how many calls the holder is cut off; 1 is every call")

// TestKillAtEveryCall cuts the holder off at its n-th call, before or after the call takes
// effect, while it drives a wave over the two instances of one rack.
func TestKillAtEveryCall(t *testing.T) {
	t.Parallel()
	for _, after := range []bool{false, true} {
		for n := 1; n <= killCalls; n += *stride {
			w := newWorld(t, 3, "")
			w.killAt, w.killAfter = n, after
			w.startWave("w", record.Wave{Pools: []string{"a"}, Racks: []string{"r0"}})
			w.calls = 0
			for range 150 {
				w.tick()
			}
			require.Empty(t, w.breaches, "call %d: %s", n, w.first)
			var p Part
			require.True(t, w.load(Key("w", "a"), &p))
			require.False(t, p.Ended.IsZero(), "call %d, after %v: %+v", n, after, p)
			require.Equal(t, 2, w.reboots, "call %d", n)
			require.Equal(t, 1, w.kills, "call %d", n)
		}
	}
}

// killCalls is more than the wave needs to end; later calls are renewals and looks.
const killCalls = 250
