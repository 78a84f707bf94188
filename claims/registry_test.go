package claims

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/standin"
)

// One caller's reading of the list of machines gets no answer. The others must not wait for it beyond their own time.
func TestSilentReadingOfTheListHoldsUpNobodyElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		r := New(Deps{
			Machines: platform.NewMachineClient(netip.MustParseAddrPort("10.0.0.1:80"), silent, platform.NewMeter()),
			Log:      zap.NewNop(), Now: time.Now,
		})
		go r.List(t.Context())
		synctest.Wait()
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, ok := r.List(ctx)
		require.False(t, ok)
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		time.Sleep(time.Second) // until the first reading has given up
	})
}

// The callers of List got the same map: what one of them changed, the others and the next callers saw.
func TestCallersOfListShareNoMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		addr := netip.MustParseAddrPort("10.0.0.1:80")
		service := standin.NewMachineService("spare", time.Second, time.Second, time.Second, standin.NewChecker(),
			func(*standin.Runner) {}, func(*standin.Machine, int) *standin.Runner { return nil })
		service.Add(&standin.Machine{Name: "m0", Pool: "spare"})
		server, err := network.Serve(addr, service)
		require.NoError(t, err)
		defer func() { _ = server.Close() }()
		client := platform.NewMachineClient(addr, platform.DialFunc(network.Dialer(netip.MustParseAddr("10.0.1.1"))), platform.NewMeter())
		defer client.Close()
		r := New(Deps{Machines: client, Log: zap.NewNop(), Now: time.Now})
		for range 3 { // the first call reads the list, the others share it
			list, _, ok := r.List(t.Context())
			require.True(t, ok)
			require.Contains(t, list, "m0")
			clear(list)
		}
	})
}

// The end of a machine that an order of any daemon takes down isn't to count as a crash: Recent has to name it from the
// claim on, and no longer once its next runner may crash for other reasons.
func TestRecentNamesMachinesThatAnOrderMayTakeDown(t *testing.T) {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	r := New(Deps{Log: zap.NewNop(), Now: func() time.Time { return now }, TTL: 3 * time.Second})
	r.rows["m0"] = versionedRow{Row{Owner: "other", ClaimedAt: time.Minute}, 7}
	require.Empty(t, r.Recent(), "the store's clock isn't known")
	r.stamp, r.stampAt, r.synced = platform.Stamp{Now: time.Minute}, now, true
	require.Equal(t, map[string]int64{"m0": 7}, r.Recent())
	now = now.Add(permitTTL + claimSlack + r.TTL + time.Millisecond)
	require.Empty(t, r.Recent())
}
