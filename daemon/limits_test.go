package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/settings"
)

// Guards against limits whose sum leaves too little for the store and runners, or that a site within the documented sizes meets.
func TestLimitsLeaveRoom(t *testing.T) {
	const fullBody = 256 << 10
	for _, scenario := range []struct {
		name        string
		memoryMB    int64
		descriptors int
		want        limits
	}{
		{"smallest settings", 32, 300, limits{bodies: 4 << 20, callers: 25, ready: 16, peers: 12}},
		{"large site", 160, 4100, limits{bodies: 20 << 20, callers: 975, ready: 117, peers: 487}},
		{"defaults", 256, 4096, limits{bodies: 32 << 20, callers: 974, ready: 116, peers: 487}},
		{"little memory", 64, 4100, limits{bodies: 8 << 20, callers: 512, ready: 117, peers: 487}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			conf := settings.Defaults()
			conf.MemoryMB, conf.MaxFiles = scenario.memoryMB, scenario.descriptors
			got := limitsOf(conf)
			require.Equal(t, scenario.want, got)
			require.Less(t, got.callers+got.ready+got.peers, (scenario.descriptors-reservedFiles)*3/5)
			require.Less(t, int64(got.callers*memoryPerConn)+got.bodies, scenario.memoryMB<<20/2)
			require.Greater(t, got.bodies, int64(4*fullBody))
		})
	}
}
