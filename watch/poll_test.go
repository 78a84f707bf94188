package watch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/standin"
)

var (
	storeAddr   = netip.MustParseAddrPort("10.0.0.2:80")
	watcherAddr = netip.MustParseAddr("10.0.0.1")
)

// followed is a store with a Watcher of its table t, which has seen the values of the row k.
type followed struct {
	store    *standin.Store
	network  *standin.Network
	interest *Interest
	seen     sync.Map
}

// put stores a value and returns when.
func (f *followed) put(value int) time.Time {
	f.store.Put("t", "k", value)
	return time.Now()
}

// onWatcher runs a test on virtual time.
func onWatcher(t *testing.T, within time.Duration, test func(t *testing.T, f *followed)) {
	synctest.Test(t, func(t *testing.T) {
		f := &followed{store: standin.NewStore(rand.New(rand.NewPCG(1, 1))), network: standin.NewNetwork(), interest: NewInterest()}
		server, err := f.network.Serve(storeAddr, f.store)
		require.NoError(t, err)
		client := platform.NewStore(storeAddr, f.network.Dialer(watcherAddr), platform.NewMeter())
		f.put(0)
		f.interest.Set(Immediate)
		watcher := &Watcher{Store: client, Table: "t", FromVersion: FromSnapshot, Within: within, Interest: f.interest, Log: zap.NewNop()}
		watcher.Apply = func(_ context.Context, page platform.Page, _ bool) error {
			for _, row := range page.Rows {
				f.seen.Store(string(row.Value), true)
			}
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = watcher.Run(ctx) }()
		time.Sleep(time.Second)
		test(t, f)
		cancel()
		_ = server.Close()
		client.Close()
		time.Sleep(10 * time.Second) // polls in progress end
	})
}

// Whatever the phase of the poll that a silent connection or store swallows, it must not hold up the next change.
func TestChangeIsSeenLateAfterSilence(t *testing.T) {
	const within, contact = 2 * time.Second, 3 * time.Second
	for _, tc := range []struct {
		name    string
		silence func(f *followed, d time.Duration)
	}{
		{"silent store", func(f *followed, d time.Duration) {
			f.store.SetFaults(standin.StoreFaults{Unresponsive: true})
			time.Sleep(d)
			f.store.SetFaults(standin.StoreFaults{})
		}},
		{"store that rejects, then is silent", func(f *followed, d time.Duration) {
			f.store.SetFaults(standin.StoreFaults{Down: true})
			time.Sleep(d / 2)
			f.store.SetFaults(standin.StoreFaults{Unresponsive: true})
			time.Sleep(d / 2)
			f.store.SetFaults(standin.StoreFaults{})
		}},
		{"cut link", func(f *followed, d time.Duration) {
			f.network.Cut([]netip.Addr{watcherAddr}, []netip.Addr{storeAddr.Addr()})
			time.Sleep(d)
			f.network.Heal()
		}},
		{"silent connections", func(f *followed, d time.Duration) {
			time.Sleep(d)
			f.network.Blackhole(watcherAddr)
		}},
		{"history lost while silent", func(f *followed, d time.Duration) {
			f.store.SetFaults(standin.StoreFaults{Unresponsive: true})
			time.Sleep(d)
			f.put(-1)
			f.store.Compact()
			f.store.SetFaults(standin.StoreFaults{})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			onWatcher(t, within, func(t *testing.T, f *followed) {
				for i := 1; i <= 60; i++ {
					tc.silence(f, time.Duration(i)*200*time.Millisecond)
					returned := time.Now()
					time.Sleep(contact - within)
					f.put(i)
					time.Sleep(within)
					_, ok := f.seen.Load(strconv.Itoa(i))
					require.True(t, ok, "%v after %d00 ms", time.Since(returned), 2*i)
				}
			})
		})
	}
}

// With the bounds of every site, a change right after all connections have gone silent is known in time.
func TestSilentConnectionDelaysChangeBeyondItsBound(t *testing.T) {
	for _, within := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		onWatcher(t, within, func(t *testing.T, f *followed) {
			for i := 1; i <= 40; i++ {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				f.network.Blackhole(watcherAddr)
				stored := f.put(i)
				time.Sleep(within)
				_, ok := f.seen.Load(strconv.Itoa(i))
				require.True(t, ok, "%v after the change", time.Since(stored))
			}
		})
	}
}

// A table changes faster than one page a poll holds: who follows it loosely fell behind for good, and took its copy for new.
func TestFollowerFallsBehindManyChanges(t *testing.T) {
	onWatcher(t, 2*time.Second, func(t *testing.T, f *followed) {
		f.interest.Set(Occasional)
		for i := 1; i <= 5000; i++ {
			f.store.Put("t", strconv.Itoa(i), i)
		}
		time.Sleep(2 * idleInterval)
		_, ok := f.seen.Load("5000")
		require.True(t, ok)
	})
}
