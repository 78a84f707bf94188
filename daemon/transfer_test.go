package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/member"
)

// If the planned daemon doesn't acquire a lease, the largest daemons must be the first to try: a small one schedules
// a large service too slowly.
func TestRankPrefersLargerDaemons(t *testing.T) {
	live := []member.Node{{Name: "a", Weight: 0.2}, {Name: "b", Weight: 0.8}, {Name: "c", Weight: 0.2}, {Name: "d", Weight: 0.8}}
	for offset := range 4 {
		got := map[int]string{}
		for _, n := range live {
			got[rank(live, n.Name, offset)] = n.Name
		}
		require.Len(t, got, len(live), "every daemon has its own rank")
		require.ElementsMatch(t, []string{"b", "d"}, []string{got[0], got[1]})
	}
	require.NotEqual(t, rank(live, "b", 0), rank(live, "b", 1), "the first daemon differs between services")
}
