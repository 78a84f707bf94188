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
