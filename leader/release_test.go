package leader

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/home"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/standin"
)

// A commit that was in flight when the leader stopped may take effect just before the release. The lease must be
// released nevertheless, or the service has no leader until the daemon's heartbeat times out.
func TestReleaseWithCommitInFlight(t *testing.T) {
	for name, tc := range map[string]struct {
		late LeaseRow
		want bool
	}{
		"own commit":          {LeaseRow{Holder: "a", Boot: "x", Term: 3, Commits: 8}, true},
		"another leader":      {LeaseRow{Holder: "b", Boot: "y", Term: 4}, false},
		"own later term":      {LeaseRow{Holder: "a", Boot: "x", Term: 4}, false},
		"another incarnation": {LeaseRow{Holder: "a", Boot: "z", Term: 3}, false},
		"no commit in flight": {LeaseRow{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
			own := LeaseRow{Holder: "a", Boot: "x", Term: 3, Commits: 7}
			store.Put(tableLease, keyLease, own)
			server := httptest.NewServer(store)
			defer server.Close()
			client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), platform.DialTCP, platform.NewMeter())
			defer client.Close()
			row, leaseRow, _, err := readLease(t.Context(), client, "")
			require.NoError(t, err)
			now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
			l := New(Lease{Row: leaseRow, Version: row.Version, AcquiredAt: now}, sched.LeaseConfig{}, Deps{
				Store: client, Homes: home.NewDirectory(client, zap.NewNop()), Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now },
			})
			close(l.done) // the leader has stopped
			if tc.late != (LeaseRow{}) {
				store.Put(tableLease, keyLease, tc.late)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			l.Release(ctx)
			var got LeaseRow
			require.NoError(t, json.Unmarshal(store.Get(tableLease, "", keyLease), &got))
			require.Equal(t, tc.want, got.Released)
		})
	}
}

// The lease must also be released if the store fails to answer the first attempts.
func TestReleaseRetriesUnansweredCommits(t *testing.T) {
	store := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
	store.Put(tableLease, keyLease, LeaseRow{Holder: "a", Boot: "x", Term: 3})
	failures := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "rows-tx") && failures < 2 {
			failures++
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), platform.DialTCP, platform.NewMeter())
	defer client.Close()
	row, leaseRow, _, err := readLease(t.Context(), client, "")
	require.NoError(t, err)
	l := New(Lease{Row: leaseRow, Version: row.Version}, sched.LeaseConfig{}, Deps{Store: client, Homes: home.NewDirectory(client, zap.NewNop()), Log: zap.NewNop(), Now: time.Now})
	close(l.done)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	l.Release(ctx)
	var got LeaseRow
	require.NoError(t, json.Unmarshal(store.Get(tableLease, "", keyLease), &got))
	require.True(t, got.Released)
	require.Equal(t, 2, failures)
}
