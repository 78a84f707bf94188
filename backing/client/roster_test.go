package client

import (
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
)

// TestRosterFollowsTheList alters instances at random and compares the list made of deltas with
// the whole one, also where answers are lost and the platform is replaced by one that starts anew.
func TestRosterFollowsTheList(t *testing.T) {
	for seed := range uint64(5) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		p := standin.New()
		srv := httptest.NewServer(p.Handler())
		c := New(netip.MustParseAddrPort(srv.Listener.Addr().String()))
		for range 200 {
			id := "i" + strconv.Itoa(rnd.IntN(20))
			switch rnd.IntN(3) {
			case 0:
				p.PutInstance(backing.Instance{ID: id, Rack: strconv.Itoa(rnd.IntN(3))})
			case 1:
				// Fails where there is no such instance.
				_ = p.Remove(id)
			case 2:
				_ = p.Instances.Drain(t.Context(), id, id+"-1")
			}
			got, stamp, err := c.Roster.Roster(t.Context(), backing.Stamp{})
			require.NoError(t, err)
			want, err := p.Instances.List(t.Context())
			require.NoError(t, err)
			require.Len(t, got, len(want), "seed %d", seed)
			for i := range want {
				want[i].Seen = got[i].Seen
				require.Equal(t, want[i], got[i], "seed %d", seed)
			}
			again, same, err := c.Roster.Roster(t.Context(), stamp)
			require.NoError(t, err)
			require.Equal(t, stamp, same)
			require.Len(t, again, len(got))
		}
		srv.Close()
	}
}

func TestLookReturnsTheNamed(t *testing.T) {
	p := standin.New()
	p.PutInstance(backing.Instance{ID: "a"})
	p.PutInstance(backing.Instance{ID: "b"})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	c := New(netip.MustParseAddrPort(srv.Listener.Addr().String()))
	list, err := c.Roster.Look(t.Context(), "b", "none")
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.Equal(t, "b", list[0].ID)
	require.False(t, list[0].Seen.IsZero())
}
