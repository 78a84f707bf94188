package wave

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// events has one event for each state that an event can lead to.
func events() map[State]Event {
	return map[State]Event{
		Queued:    Joined{"a"},
		Taken:     Took{"a", "a1", 7},
		Draining:  Told{"a"},
		Quiet:     Quieted{"a"},
		Rebooting: Rebooted{"a"},
		Late:      Overran{"a"},
		Returned:  Came{"a"},
		Dropped:   Left{"a", "moved"},
	}
}

func TestEveryTransitionIsInTheTable(t *testing.T) {
	for _, from := range States() {
		for to, e := range events() {
			p := Part{Wave: "w", Items: []Item{{Instance: "a", State: from}}}
			got, err := p.Apply(e, start)
			require.Equal(t, from.CanBecome(to), err == nil, "%s to %s", from, to)
			if err != nil {
				require.True(t, fault.Is(err, fault.Breach))
				continue
			}
			require.Equal(t, to, got.Items[0].State)
			require.Equal(t, from, p.Items[0].State, "the part before must stay as it was")
		}
	}
}

func TestEveryStateReachesAnEndAndIsReached(t *testing.T) {
	reached := map[State]bool{Queued: true}
	for _, s := range States() {
		ends := s.IsFinal()
		for _, to := range s.next() {
			reached[to] = true
			ends = ends || to.IsFinal()
		}
		require.True(t, ends, "%s leads nowhere", s)
		require.Equal(t, s != Queued && s != Returned && s != Dropped, s.IsOut())
	}
	require.Len(t, reached, len(States()))
}

func TestStoppedWaveRebootsNothing(t *testing.T) {
	var p Part
	for i, s := range States() {
		p.Items = append(p.Items, Item{Instance: string(rune('a' + i)), State: s, Boot: "1"})
	}
	for _, stopped := range []bool{false, true} {
		restarts := 0
		for _, a := range p.Due(stopped) {
			if _, ok := a.(Restart); ok {
				restarts++
			}
		}
		require.Equal(t, map[bool]int{false: 2, true: 0}[stopped], restarts)
	}
}
