package machines

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/claims"
	"gypsumlead/fault"
	"gypsumlead/maintenance"
	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/watch"
)

// newSyncedClaims returns a registry that has read the claims of an empty store.
func newSyncedClaims(t *testing.T) *claims.Registry {
	t.Helper()
	server := httptest.NewServer(standin.NewStore(rand.New(rand.NewPCG(1, 1))))
	t.Cleanup(server.Close)
	store := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), platform.DialTCP, platform.NewMeter())
	t.Cleanup(store.Close)
	registry := claims.New(claims.Deps{Store: store, Log: zap.NewNop(), Name: "e1", Boot: "b", Now: time.Now, Interest: watch.NewInterest()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = registry.Watch(ctx) // it ends with ctx
	}()
	t.Cleanup(func() { cancel(); <-done })
	require.Eventually(t, func() bool { return registry.CanClaim("m0") }, 5*time.Second, 10*time.Millisecond)
	return registry
}

// A maintenance order without an answer was repeated although the machine's new leader had begun to use it again.
func TestMaintenanceIsRepeatedOnlyOnAnEmptyMachine(t *testing.T) {
	registry := newSyncedClaims(t)
	for _, tc := range []struct {
		name     string
		state    platform.MachineState
		empty    bool
		repeated bool
	}{
		{"empty", platform.MachineUp, true, true},
		{"on its way", platform.MachineMaintenance, false, true},
		{"in use", platform.MachineUp, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			calls := 0
			dial := func(context.Context, string, string) (net.Conn, error) {
				calls++
				return nil, fault.New(fault.Unavailable, "no machine service in this test")
			}
			c := NewCoordinator(CoordinatorDeps{
				Log: zap.NewNop(), Now: time.Now, Claims: registry, Waves: NewWaveTracker(nil, zap.NewNop(), watch.NewInterest()), Name: "e1",
				Machines: platform.NewMachineClient(netip.MustParseAddrPort("10.0.0.1:80"), dial, platform.NewMeter()),
			})
			now := time.Now()
			c.Waves.set(1, maintenance.Row{}.With("m0", maintenance.Claimed), 1)
			c.inMaintenance["m0"] = takenDown{orderedAt: now.Add(-time.Second), token: 7}
			c.continueMaintenance(t.Context(), now, platform.Wave{Number: 1}, platform.Machine{Name: "m0", State: tc.state}, now, tc.empty)
			require.Equal(t, tc.repeated, calls > 0)
		})
	}
}
