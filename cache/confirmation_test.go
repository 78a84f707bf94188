package cache

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gypsumlead/platform"
	"gypsumlead/standin"
)

// storedConfig is an operator's row with one workspace.
func storedConfig(version int, keys ...string) map[string]any {
	return map[string]any{"Version": version, "Tenants": []any{map[string]any{"Name": "a", "ApiKeys": keys}}}
}

// copySite is an OperatorState that follows a store, and a clock that suspends can move ahead.
type copySite struct {
	*OperatorState
	net       *standin.Network
	store     *standin.Store
	self      netip.Addr
	storeHost netip.Addr
	suspended atomic.Int64
	logs      *observer.ObservedLogs
}

// onCopySite runs a test on virtual time with a copy of the configuration that has the key k1.
func onCopySite(t *testing.T, test func(t *testing.T, s *copySite)) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		s := &copySite{
			net: standin.NewNetwork(), store: standin.NewStore(rand.New(rand.NewPCG(1, 1))), logs: logs,
			self: netip.MustParseAddr("10.0.0.1"), storeHost: netip.MustParseAddr("10.0.0.2"),
		}
		addr := netip.AddrPortFrom(s.storeHost, 80)
		listener, err := s.net.Listen(addr)
		require.NoError(t, err)
		server := &http.Server{Handler: s.store}
		go func() { _ = server.Serve(listener) }()
		client := platform.NewStore(addr, s.net.Dialer(s.self), platform.NewMeter())
		now := func() time.Time { return time.Now().Add(time.Duration(s.suspended.Load())) }
		s.OperatorState = NewOperatorState(client, zap.New(core), now, func() {})
		s.store.Put("op", "config", storedConfig(1, "k1"))
		go func() { _ = s.Run(t.Context()) }()
		t.Cleanup(func() {
			_ = server.Close()
			client.Close()
			time.Sleep(10 * time.Second) // polls in progress end
		})
		time.Sleep(time.Second)
		require.True(t, s.has("k1"))
		test(t, s)
	})
}

func (s *copySite) has(key string) bool {
	_, ok := s.Config().Keys.Lookup(key)
	return ok
}

// A daemon is suspended while a key is withdrawn. Its timers have not noticed, so it has to see the age of its copy, and
// read the newest one before it serves the next request.
func TestSuspendedDaemonConfirmsItsCopyBeforeItServes(t *testing.T) {
	onCopySite(t, func(t *testing.T, s *copySite) {
		s.net.Cut([]netip.Addr{s.self}, []netip.Addr{s.storeHost}) // a suspended process reads nothing
		synctest.Wait()
		s.store.Put("op", "config", storedConfig(2, "k2"))
		synctest.Wait()
		s.net.Heal()
		s.suspended.Store(int64(time.Minute))
		require.True(t, s.has("k1"))
		require.Greater(t, s.Age(), time.Minute)
		start := time.Now()
		s.Confirm(t.Context())
		require.LessOrEqual(t, time.Since(start), confirmTimeout)
		require.False(t, s.has("k1"))
		require.True(t, s.has("k2"))
		require.Less(t, s.Age(), time.Second)
	})
}

// An outage of the store must not make the copy look new, nor delay each request by a read that gets no answer.
func TestOutageOfTheStoreDelaysFewRequests(t *testing.T) {
	onCopySite(t, func(t *testing.T, s *copySite) {
		s.store.SetFaults(standin.StoreFaults{Unresponsive: true})
		time.Sleep(6 * time.Second)
		delayed := 0
		for range 100 {
			start := time.Now()
			s.Confirm(t.Context())
			if time.Since(start) > 0 {
				delayed++
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, delayed, 3)
		require.Greater(t, s.Age(), 11*time.Second)
		s.store.SetFaults(standin.StoreFaults{})
		time.Sleep(7 * time.Second)
		require.Less(t, s.Age(), 2*time.Second)
	})
}

// In contact with the store the copy must never be so old that requests wait for a confirmation, also with a slow store.
func TestCopyInContactIsNeverDoubtful(t *testing.T) {
	onCopySite(t, func(t *testing.T, s *copySite) {
		s.store.SetFaults(standin.StoreFaults{ExtraLatency: 400 * time.Millisecond})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			require.LessOrEqual(t, s.Age(), doubtfulAge)
		}
	})
}

// A faulty or older version must not replace the configuration in force, and the log must name the fault but no key.
func TestInvalidConfigurationKeepsThePreviousOne(t *testing.T) {
	onCopySite(t, func(t *testing.T, s *copySite) {
		for _, value := range []any{storedConfig(3, "k3", ""), "{", map[string]any{"Version": 3, "Tenants": "k3"}, storedConfig(1, "k3")} {
			s.store.Put("op", "config", value)
			time.Sleep(time.Second)
			require.EqualValues(t, 1, s.Config().Version)
			require.True(t, s.has("k1"))
		}
		require.Equal(t, 3, s.logs.FilterMessageSnippet("keeping the previous one").Len())
		for _, entry := range s.logs.All() {
			for _, value := range entry.ContextMap() {
				require.NotContains(t, fmt.Sprint(value), "k3")
			}
		}
		s.store.Put("op", "config", storedConfig(4, "k4"))
		time.Sleep(time.Second)
		require.True(t, s.has("k4"))
		require.Empty(t, s.Config().Workspaces[0].Keys, "the table that leaders and logs get has no keys")
	})
}
