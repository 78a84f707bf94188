package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

func TestSplitGivesOutEachSlotOnce(t *testing.T) {
	for n := 1; n <= 10; n++ {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("e", i))
		}
		v := NewView(1, names...)
		for r := range 50 {
			sum := 0
			for _, e := range names {
				sum += v.Split(e, fmt.Sprint("r", r), 8)
			}
			require.Equal(t, 8, sum, "%d entries", n)
		}
	}
	require.Zero(t, NewView(1, "a").Split("b", "r", 8))
}

func TestOwnerMovesOnlyWithItsEntry(t *testing.T) {
	all, less := NewView(1, "a", "b", "c", "d"), NewView(2, "a", "b", "c")
	moved := 0
	for r := range 400 {
		runner := fmt.Sprint("r", r)
		if all.Owner(runner) == "d" {
			moved++
			continue
		}
		require.Equal(t, all.Owner(runner), less.Owner(runner))
	}
	require.InDelta(t, 100, moved, 40)
	require.Empty(t, NewView(1).Owner("r"))
}

func TestViewWaitsForAcknowledgements(t *testing.T) {
	old, next := NewView(1, "a", "b"), NewView(2, "a", "b", "c")
	require.False(t, old.Acknowledged(map[string]int64{"a": 2, "b": 1}, nil, next))
	require.True(t, old.Acknowledged(map[string]int64{"a": 2, "b": 2}, nil, next))
	require.True(t, old.Acknowledged(map[string]int64{"a": 2}, map[string]bool{"b": true}, next))
}

func TestLaterAsksWin(t *testing.T) {
	now := time.Unix(1, 0)
	l := NewLender(8, testLife, testMargin, now)
	g, err := l.Ask(Ask{Borrower: "a", Number: 1, Want: 5}, now)
	require.NoError(t, err)
	require.Zero(t, g.Slots, "a new owner waits")
	now = now.Add(testLife + testMargin)
	g, err = l.Ask(Ask{Borrower: "a", Number: 3, Want: 5}, now)
	require.NoError(t, err)
	require.Equal(t, 5, g.Slots)
	_, err = l.Ask(Ask{Borrower: "a", Number: 2, Want: 1}, now)
	require.True(t, fault.Is(err, fault.Fenced))
	g, err = l.Ask(Ask{Borrower: "b", Number: 1, Want: 8}, now)
	require.NoError(t, err)
	require.Equal(t, 3, g.Slots)
	g, err = l.Ask(Ask{Borrower: "a", Number: 4, Want: 5}, now)
	require.NoError(t, err)
	require.Equal(t, 4, g.Fair, "b wants more, so a is asked to come down to half")
	require.Equal(t, 8, l.Lent(now))
	require.Zero(t, l.Lent(now.Add(testLife+testMargin)))
}
