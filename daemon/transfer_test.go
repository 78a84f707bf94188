package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/member"
)

// A seat whose planned daemon doesn't take it goes to the largest one first: a small one schedules a large
// service too slowly.
func TestRankPrefersLargerDaemons(t *testing.T) {
	live := []member.Node{{Name: "a", Weight: 0.2}, {Name: "b", Weight: 0.8}, {Name: "c", Weight: 0.2}, {Name: "d", Weight: 0.8}}
	for turn := range 4 {
		got := map[int]string{}
		for _, n := range live {
			got[rank(live, n.Name, turn)] = n.Name
		}
		require.Len(t, got, len(live), "every daemon has a place of its own")
		require.ElementsMatch(t, []string{"b", "d"}, []string{got[0], got[1]})
	}
	require.NotEqual(t, rank(live, "b", 0), rank(live, "b", 1), "not all seats go to the same one")
}
