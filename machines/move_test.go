package machines

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/claims"
	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/watch"
)

// A move order without an answer was repeated although the machine's new leader had begun to use it again.
func TestMoveIsNotRepeatedOnceItsMachineIsNoLongerOffered(t *testing.T) {
	for _, tc := range []struct {
		name     string
		pool     string
		state    platform.MachineState
		offers   []string
		repeated bool
		kept     bool
	}{
		{"still offered", "s", platform.MachineUp, []string{"m0"}, true, true},
		{"in the spare pool", "spare", platform.MachineUp, nil, true, true},
		{"on its way", "s", platform.MachineMoving, nil, false, true},
		{"taken back by its leader", "s", platform.MachineUp, nil, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			calls := 0
			dial := func(context.Context, string, string) (net.Conn, error) {
				calls++
				return nil, fault.New(fault.Unavailable, "no machine service in this test")
			}
			now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
			c := NewCoordinator(CoordinatorDeps{
				Log: zap.NewNop(), Now: func() time.Time { return now }, Claims: claims.New(claims.Deps{Log: zap.NewNop(), Now: func() time.Time { return now }}),
				Waves:        NewWaveTracker(nil, zap.NewNop(), watch.NewInterest()),
				Machines:     platform.NewMachineClient(netip.MustParseAddrPort("10.0.0.1:80"), dial, platform.NewMeter()),
				MoveDuration: time.Second, RequestedWaves: func() []platform.Wave { return nil }, SparePool: func() string { return "spare" },
			})
			c.moving["m0"] = move{pool: "other", startedAt: now.Add(-time.Second), orderedAt: now.Add(-time.Second), permit: platform.OrderPermit{Token: 7, Valid: func() bool { return true }}}
			list := map[string]platform.Machine{"m0": {Name: "m0", Pool: tc.pool, State: tc.state}}
			c.moveMachines(t.Context(), now, list, []Report{{Service: "s", Offers: tc.offers}}, nil)
			require.Equal(t, tc.repeated, calls > 0)
			require.Equal(t, tc.kept, c.moving["m0"].permit.Token == 7)
		})
	}
}
