package relay

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
)

// origin is the time from which the times of these tests count.
var origin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

// A short disturbance, a full partition or a call that was sent before another one was served must not lead to a probe;
// two rejections in a row and an unanswered call must, but not right after a probe was answered.
func TestRouteDoubtsStore(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events func(r *route)
		probed bool
	}{
		{"one rejection", func(r *route) { r.rejected(at(0), at(5)) }, false},
		{"rejections with a served call between", func(r *route) { r.rejected(at(0), at(5)); r.served(at(10)); r.rejected(at(20), at(25)) }, false},
		{"two rejections", func(r *route) { r.rejected(at(0), at(5)); r.rejected(at(10), at(15)) }, true},
		{"rejections of calls older than a served one", func(r *route) { r.served(at(3)); r.rejected(at(0), at(5)); r.rejected(at(1), at(6)) }, false},
		{"unanswered call", func(r *route) { r.served(at(0)); r.silent(at(10), at(260)) }, true},
		{"slow call beside an answered one", func(r *route) { r.served(at(20)); r.silent(at(10), at(260)) }, false},
		{"slow calls after an answered probe", func(r *route) { r.probeEnded(true, at(0), at(400)); r.silent(at(410), at(660)) }, false},
		{"poll answered that began before the silence", func(r *route) { r.silent(at(10), at(260)); r.served(at(0)) }, true},
		{"call answered that began after the silence", func(r *route) { r.silent(at(10), at(260)); r.served(at(20)) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &route{}
			tc.events(r)
			_, wanted := r.probeIn(at(1000))
			require.Equal(t, tc.probed, wanted)
		})
	}
}

// Calls must be relayed only after a failed probe and a carrier that is served, there must be at most three
// questions a second, and an answered probe must end it all. A daemon whose calls are relayed or that met a rejection is no carrier.
func TestRouteThroughCarrier(t *testing.T) {
	r := &route{}
	r.served(at(0))
	require.True(t, r.serves(at(1499)))
	require.False(t, r.serves(at(1500)), "frozen or without contact")
	r.rejected(at(1500), at(1500))
	r.rejected(at(1510), at(1510))
	require.EqualValues(t, -1, askIn(r, 1510))
	r.probeEnded(false, at(1510), at(1515))
	require.EqualValues(t, 0, askIn(r, 1515))
	require.Equal(t, 3, r.askBegins(at(1515)))
	require.False(t, r.askEnded(1, "", at(1520)))
	require.EqualValues(t, 995, askIn(r, 1520))
	require.Equal(t, 3, r.askBegins(at(2515)))
	require.True(t, r.askEnded(2, "a", at(2520)))
	require.False(t, r.serves(at(2520)))
	r.carrierFailed("b")
	require.EqualValues(t, -1, askIn(r, 2600)) // a failure of an earlier carrier
	r.carrierFailed("a")
	require.EqualValues(t, 0, askIn(r, 2600))
	require.Equal(t, 1, r.askBegins(at(2600)))
	require.True(t, r.askEnded(1, "c", at(2605)))
	r.carrierFailed("c")
	require.EqualValues(t, 905, askIn(r, 2610), "three questions in this second")
	require.True(t, r.probeEnded(true, at(4520), at(4525)))
	require.False(t, r.askEnded(1, "c", at(4530)), "the store has answered meanwhile")
	require.Equal(t, modeDirect, r.mode)
	require.Equal(t, 2005*time.Millisecond, r.relayedFor(at(9000)))
}

// askIn returns in how many milliseconds carriers are to be asked; -1 stands for not at all.
func askIn(r *route, now int) int64 {
	if wait, wanted := r.askIn(at(now)); wanted {
		return max(wait, 0).Milliseconds()
	}
	return -1
}

// fakeCarriers answer each call by name.
type fakeCarriers map[string]func(ctx context.Context) Answer

func (f fakeCarriers) Candidates() []string { return slices.Sorted(maps.Keys(f)) }

func (f fakeCarriers) Carry(ctx context.Context, name string, _ Call) Answer {
	return f[name](ctx)
}

// relayedStore returns a client whose calls are relayed through carrier "a", and its relay. Its own dials are refused.
func relayedStore(f fakeCarriers) (*platform.Store, *Relay) {
	refuse := func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	store := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:1"), refuse, platform.NewMeter())
	relay := New(store, f, platform.RowKey{Key: "own"}, zap.NewNop(), time.Now)
	store.Use(relay)
	relay.route = route{mode: modeRelayed, carrier: "a", nextProbe: time.Now().Add(time.Hour)}
	return store, relay
}

// The outcome of a relayed call must be known as well as that of a direct one: a call that may have been sent is never
// reported as not executed, nor made again.
func TestRelayedOutcomes(t *testing.T) {
	for kind, answer := range map[fault.Kind]Answer{
		fault.Overload:    {}, // refused by the carrier, then made directly
		fault.Unavailable: {Sent: true},
		fault.Conflict:    {Sent: true, Status: http.StatusPreconditionFailed, Body: []byte("{}")},
	} {
		carrier := func(context.Context) Answer { return answer }
		store, _ := relayedStore(fakeCarriers{"a": carrier})
		_, err := store.Commit(t.Context(), platform.Tx{})
		require.Equal(t, kind, fault.KindOf(err), "%v", err)
	}
}

// A carrier that no longer answers must be replaced before a leader's heartbeat is overdue, also for calls in progress.
func TestSilentCarrierIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		silent := func(ctx context.Context) Answer { <-ctx.Done(); return Answer{Sent: true} }
		good := func(context.Context) Answer {
			return Answer{Sent: true, Status: http.StatusOK, Body: []byte("{}")}
		}
		store, relay := relayedStore(fakeCarriers{"a": silent, "b": good})
		go func() { _ = relay.Run(ctx) }() // ends with ctx
		start := time.Now()
		_, err := store.GetRow(ctx, platform.RowKey{Key: "k"})
		require.True(t, fault.Is(err, fault.Unavailable))
		require.Equal(t, silenceLimit+askTimeout, time.Since(start))
		_, err = store.GetRow(ctx, platform.RowKey{Key: "k"})
		require.NoError(t, err)
		cancel()
	})
}
