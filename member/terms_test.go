package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
)

// Guards against requests and reports that go to a leader that has a successor.
func TestLeaderIsTheOneOfTheNewestTerm(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := testMembers(Node{Name: "self", Weight: 1}, nil, &now, 6)
	heard := int64(0)
	hear := func(n Node) {
		value, err := n.encode()
		require.NoError(t, err)
		heard++
		m.applyPage(platform.Page{Rows: []platform.Row{{RowKey: RowKey(n.Name), Value: value, Version: heard}}})
	}
	leader := func() string {
		n, _ := m.Leader("s")
		return n.Name
	}
	hear(Node{Name: "a", Boot: "1", Holds: []string{"s"}})
	require.Equal(t, "a", leader(), "rows of earlier releases have no terms")
	hear(Node{Name: "a", Boot: "1", Holds: []string{"s"}, Terms: map[string]int{"s": 3}})
	hear(Node{Name: "b", Boot: "1", Holds: []string{"s"}, Terms: map[string]int{"s": 4}})
	require.Equal(t, "b", leader())
	require.Equal(t, 4, m.NewestTerm("s"))
	hear(Node{Name: "b", Boot: "1"})
	require.Empty(t, leader(), "the term of a is over")
	hear(Node{Name: "a", Boot: "1"})
	hear(Node{Name: "c", Boot: "1", Holds: []string{"s"}, Terms: map[string]int{"s": 5}})
	require.Equal(t, "c", leader())
}
