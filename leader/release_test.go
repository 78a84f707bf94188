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

	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/standin"
)

// A commit that was under way when the holder stopped takes effect just before the release: the seat must be
// released all the same, or the service stands still until the daemon's signs of life have lapsed.
func TestSeatIsReleasedBesideACommitUnderWay(t *testing.T) {
	for name, tc := range map[string]struct {
		late LeaseRow
		want bool
	}{
		"own commit":         {LeaseRow{Holder: "a", Boot: "x", Term: 3, Commits: 8}, true},
		"another holder":     {LeaseRow{Holder: "b", Boot: "y", Term: 4}, false},
		"own other tenure":   {LeaseRow{Holder: "a", Boot: "x", Term: 4}, false},
		"own other start":    {LeaseRow{Holder: "a", Boot: "z", Term: 3}, false},
		"nothing under way ": {LeaseRow{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
			mine := LeaseRow{Holder: "a", Boot: "x", Term: 3, Commits: 7}
			store.Put(tableHold, keySeat, mine)
			srv := httptest.NewServer(store)
			defer srv.Close()
			client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), platform.DialTCP, platform.NewMeter())
			defer client.Close()
			row, seat, _, err := readSeat(t.Context(), client, "")
			require.NoError(t, err)
			now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
			h := New(Lease{Row: seat, Version: row.Version, AcquiredAt: now}, sched.LeaseConfig{}, Deps{
				Store: client, Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now },
			})
			close(h.fate) // it has stopped
			if tc.late != (LeaseRow{}) {
				store.Put(tableHold, keySeat, tc.late)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			h.Release(ctx)
			var got LeaseRow
			require.NoError(t, json.Unmarshal(store.Get(tableHold, "", keySeat), &got))
			require.Equal(t, tc.want, got.Released)
		})
	}
}

// Answers of the store that are lost don't keep the seat either.
func TestSeatIsReleasedThoughTheStoreDoesNotAnswerAtFirst(t *testing.T) {
	store := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
	store.Put(tableHold, keySeat, LeaseRow{Holder: "a", Boot: "x", Term: 3})
	lost := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "rows-tx") && lost < 2 {
			lost++
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	defer srv.Close()
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), platform.DialTCP, platform.NewMeter())
	defer client.Close()
	row, seat, _, err := readSeat(t.Context(), client, "")
	require.NoError(t, err)
	h := New(Lease{Row: seat, Version: row.Version}, sched.LeaseConfig{}, Deps{Store: client, Log: zap.NewNop(), Now: time.Now})
	close(h.fate)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	h.Release(ctx)
	var got LeaseRow
	require.NoError(t, json.Unmarshal(store.Get(tableHold, "", keySeat), &got))
	require.True(t, got.Released)
	require.Equal(t, 2, lost)
}
