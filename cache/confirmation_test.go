package cache

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gypsumlead/platform"
	"gypsumlead/standin"
)

// applyWithin is the bound on new versions of the grown sites.
const applyWithin = 3 * time.Second

// onCopy runs a test on virtual time with a copy of a configuration that follows a store.
func onCopy(t *testing.T, test func(t *testing.T, o *OperatorState, store *standin.Store)) {
	synctest.Test(t, func(t *testing.T) {
		network, store, addr := standin.NewNetwork(), standin.NewStore(rand.New(rand.NewPCG(1, 1))), netip.MustParseAddrPort("10.0.0.2:80")
		server, err := network.Serve(addr, store)
		require.NoError(t, err)
		client := platform.NewStore(addr, network.Dialer(netip.MustParseAddr("10.0.0.1")), platform.NewMeter())
		o := NewOperatorState(client, zap.NewNop(), time.Now, applyWithin, func() {})
		store.Put("op", "config", map[string]any{"Version": 1})
		go func() { _ = o.Run(t.Context()) }()
		t.Cleanup(func() {
			_ = server.Close()
			client.Close()
			time.Sleep(10 * time.Second) // polls in progress end
		})
		time.Sleep(time.Second)
		test(t, o, store)
	})
}

// An outage of the store must not make the copy look new, nor delay each request by a read that gets no answer.
func TestOutageOfTheStoreDelaysFewRequests(t *testing.T) {
	onCopy(t, func(t *testing.T, o *OperatorState, store *standin.Store) {
		store.SetFaults(standin.StoreFaults{Unresponsive: true})
		time.Sleep(6 * time.Second)
		delayed := 0
		for range 100 {
			start := time.Now()
			o.Confirm(t.Context())
			require.LessOrEqual(t, time.Since(start), confirmTimeout)
			if time.Since(start) > 0 {
				delayed++
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, delayed, 3)
		require.Greater(t, o.Age(), 11*time.Second)
	})
}

// In contact with the store the copy must never be so old that requests wait for a confirmation, also with a slow store.
func TestCopyInContactIsNeverDoubtful(t *testing.T) {
	onCopy(t, func(t *testing.T, o *OperatorState, store *standin.Store) {
		store.SetFaults(standin.StoreFaults{ExtraLatency: 400 * time.Millisecond})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			require.LessOrEqual(t, o.Age(), o.doubtfulAge())
		}
	})
}

// While the follower has no processor time, a request must not be answered from a copy that is older than the site's bound.
func TestRequestIsAnsweredFromCopyOlderThanItsBound(t *testing.T) {
	onCopy(t, func(t *testing.T, followed *OperatorState, store *standin.Store) {
		for _, within := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			o := NewOperatorState(followed.store, zap.NewNop(), time.Now, within, func() {})
			for version := followed.Config().Version + 1; version < 40; version++ {
				store.Put("op", "config", map[string]any{"Version": version})
				time.Sleep(within)
				o.Confirm(t.Context())
				require.Equal(t, version, o.Config().Version)
				time.Sleep(time.Duration(version) * 30 * time.Millisecond)
			}
		}
	})
}

// While the store serves other tables only, requests must not repeat a read that it rejects.
func TestRejectedReadIsRepeatedAtEveryRequest(t *testing.T) {
	onCopy(t, func(t *testing.T, o *OperatorState, store *standin.Store) {
		store.SetFaults(standin.StoreFaults{ResetPartitions: map[string]struct{}{"": {}}})
		store.Put("t", "k", 1)
		store.Compact() // the follower has to read all rows
		time.Sleep(applyWithin)
		const requests = 500
		before := store.CallCounts()["rows-get"]
		for range requests {
			o.Confirm(t.Context())
			_, err := o.store.Get(t.Context(), "t", "served", "", "", 1)
			require.NoError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		reads := store.CallCounts()["rows-get"] - before - requests
		require.Less(t, reads, requests/5, "the follower makes four a second, each twice as net/http repeats what is reset")
	})
}

// A leader that is passed a job must not go by its older copy until its next poll is answered.
func TestLeaderGoesByOlderCopyThanTheEntry(t *testing.T) {
	onCopy(t, func(t *testing.T, followed *OperatorState, store *standin.Store) {
		o := NewOperatorState(followed.store, zap.NewNop(), time.Now, applyWithin, func() {})
		store.Put("op", "config", map[string]any{"Version": 5})
		o.CatchUp(t.Context(), 5)
		require.EqualValues(t, 5, o.Config().Version)
		before := store.CallCounts()["rows-get"]
		o.CatchUp(t.Context(), 5)
		require.Equal(t, before, store.CallCounts()["rows-get"])
	})
}

// A faulty or older version must not replace the configuration in force, and the log must name the fault but no key.
func TestInvalidConfigurationKeepsThePreviousOne(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	o := NewOperatorState(nil, zap.New(core), time.Now, applyWithin, func() {})
	put := func(value string) {
		o.apply([]platform.Row{{RowKey: platform.ConfigKey(), Version: 1, Value: []byte(value)}}, false)
	}
	put(standin.WorkspaceConfig(2, "k1"))
	for _, faulty := range []string{standin.WorkspaceConfig(3, "k3", ""), `{k3`, standin.MalformedWorkspaceConfig(3, "k3"), `{"Version":1}`} {
		put(faulty)
		_, ok := o.Config().Keys.Lookup("k1")
		require.True(t, ok, faulty)
	}
	require.Equal(t, 3, logs.FilterMessageSnippet("keeping the previous one").Len())
	for _, entry := range logs.All() {
		require.NotContains(t, fmt.Sprint(entry.ContextMap()), "k3")
	}
	require.Empty(t, o.Config().Workspaces[0].Keys, "the table that leaders and logs get has no keys")
}
