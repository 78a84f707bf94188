package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/record"
)

// learnRun asks for one kind at a steady rate for ten minutes and returns the mean that its
// floor is for at the end; the pool's other kind asks nothing.
func learnRun(t *testing.T, rate float64, opts ...Option) float64 {
	t.Helper()
	const slots, run, length = 10, 100 * time.Millisecond, 10 * time.Minute
	p := New("p", opts...)
	start := time.Unix(1, 0)
	now := start
	apply := func(ev Event) []Effect {
		effects, err := p.Apply(ev, now)
		require.NoError(t, err)
		return effects
	}
	apply(Capacity{Slots: slots, Total: slots})
	apply(Configure{Services: []Service{{Name: "s", Works: []record.Work{{Name: "a", Mean: 10}, {Name: "b", Mean: 10}}}}})
	gap := seconds(1 / rate)
	var ends []struct {
		at time.Time
		id uint64
	}
	for id := uint64(1); now.Sub(start) < length; id++ {
		arrival := start.Add(time.Duration(id) * gap)
		var effects []Effect
		for len(ends) > 0 && !ends[0].at.After(arrival) {
			now = ends[0].at
			effects = append(effects, apply(Finish{ID: ends[0].id})...)
			ends = ends[1:]
			for _, f := range effects {
				if s, ok := f.(Start); ok {
					ends = append(ends, struct {
						at time.Time
						id uint64
					}{now.Add(run), s.ID})
				}
			}
			effects = nil
		}
		now = arrival
		for _, f := range apply(Arrive{ID: id, Service: "s", Work: "a", Deadline: now.Add(time.Second)}) {
			if s, ok := f.(Start); ok {
				ends = append(ends, struct {
					at time.Time
					id uint64
				}{now.Add(run), s.ID})
			}
		}
	}
	return p.Usage()[0].Guarded
}

func TestMeansAreLearnedInCalmOnly(t *testing.T) {
	require.InDelta(t, 30, learnRun(t, 30), 3, "declared 10, asked 30 of a hundred that the pool can serve")
	require.InDelta(t, 10, learnRun(t, 30, WithLearn(0)), 0.01, "switched off")
	require.InDelta(t, 10, learnRun(t, 2), 0.01, "a kind that asks less keeps its floor")
	require.Less(t, learnRun(t, 500), 12.0, "a flood doesn't raise its own floor")
}
