package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/watch"
)

// soleCarrier is the only daemon that makes calls for others.
type soleCarrier struct{ *Relay }

func (soleCarrier) Candidates() []string { return []string{"a"} }

func (c soleCarrier) Carry(ctx context.Context, _ string, call Call) Answer {
	return c.Relay.Carry(ctx, call)
}

// All connections of a carrier to the store go silent, idle ones too, while it polls for a daemon that the store rejects.
func TestCarriedPollsMeetOneSilentConnectionAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within, idle = 2 * time.Second, 4
		network, table := standin.NewNetwork(), standin.NewStore(rand.New(rand.NewPCG(1, 1)))
		storeAddr, carrierAddr := netip.MustParseAddrPort("10.0.0.2:80"), netip.MustParseAddr("10.0.0.1")
		server, err := network.Serve(storeAddr, table)
		require.NoError(t, err)
		carrierStore := platform.NewStore(storeAddr, network.Dialer(carrierAddr), platform.NewMeter())
		carrier := New(carrierStore, fakeCarriers{}, platform.RowKey{Key: "own"}, zap.NewNop(), time.Now)
		carrierStore.Use(carrier)
		store, relay := relayedStore(nil)
		relay.carriers = soleCarrier{carrier}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = relay.Run(ctx) }()
		seen := make(chan string, 100)
		watcher := watch.Watcher{Store: store, Table: "t", FromVersion: watch.FromSnapshot, Within: within, Log: zap.NewNop()}
		watcher.Apply = func(_ context.Context, page platform.Page, _ bool) error {
			for _, row := range page.Rows {
				seen <- string(row.Value)
			}
			return nil
		}
		go func() { _ = watcher.Run(ctx) }()
		for i := range 20 {
			var calls sync.WaitGroup
			for range idle {
				calls.Go(func() { _, _ = carrierStore.GetRow(ctx, platform.RowKey{Key: "k"}) })
			}
			calls.Wait()
			time.Sleep(time.Second + time.Duration(i)*70*time.Millisecond)
			network.Blackhole(carrierAddr)
			table.Put("t", "k", i)
			time.Sleep(within)
			require.Len(t, seen, 1, "change %d", i)
			<-seen
		}
		cancel()
		_ = server.Close()
		carrierStore.Close()
		time.Sleep(10 * time.Second) // calls in progress end
	})
}
