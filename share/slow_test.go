package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/record"
)

// TestASlowKindDoesNotTakeTheFloors lets the runs of one kind grow from 50 ms to 1.9 s, as
// when something behind its runners fails, while the others ask their means.
func TestASlowKindDoesNotTakeTheFloors(t *testing.T) {
	const slots, before, length = 16, 60 * time.Second, 90 * time.Second
	const quick, slow = 50 * time.Millisecond, 1900 * time.Millisecond
	const harmless = 2 * quick
	p := New("p")
	start := time.Unix(1, 0)
	now := start
	apply := func(ev Event) []Effect {
		effects, err := p.Apply(ev, now)
		require.NoError(t, err)
		return effects
	}
	apply(Capacity{Slots: slots, Total: slots})
	works := []record.Work{{Name: "w0", Mean: 50, Urgency: 9}, {Name: "w1", Mean: 50}, {Name: "w2", Mean: 50}}
	apply(Configure{Services: []Service{{Name: "s", Works: works}}})
	ends := map[time.Time][]uint64{}
	asked := map[uint64]time.Time{}
	longest := time.Duration(0)
	for ms := range uint64(length.Milliseconds()) {
		now = start.Add(time.Duration(ms) * time.Millisecond)
		var effects []Effect
		for _, id := range ends[now] {
			effects = append(effects, apply(Finish{ID: id})...)
		}
		delete(ends, now)
		if ms%20 == 0 {
			for i, w := range works {
				id := 10*ms + uint64(i)
				asked[id] = now
				effects = append(effects, apply(Arrive{ID: id, Service: "s", Work: w.Name, Deadline: now.Add(4 * time.Second)})...)
			}
		}
		for _, f := range effects {
			switch f := f.(type) {
			case Start:
				run := quick
				if f.ID%10 == 0 && now.Sub(start) > before {
					run = slow
				}
				ends[now.Add(run)] = append(ends[now.Add(run)], f.ID)
				if f.ID%10 != 0 {
					longest = max(longest, now.Sub(asked[f.ID]))
				}
			case Refuse:
				require.Zero(t, f.ID%10, "a kind that is not slow was refused after %s", now.Sub(start))
			}
		}
	}
	require.LessOrEqual(t, longest, harmless)
}
