package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/record"
)

// reclaimRun lets a kind with long runs flood while the other is idle, then asks for the
// other's whole floor at once and returns how long that takes to start.
func reclaimRun(t *testing.T, opts ...Option) time.Duration {
	t.Helper()
	const slots, longRun, quietFor, wanted = 8, 8 * time.Second, 41 * time.Second, 4
	p := New("p", opts...)
	start := time.Unix(1, 0)
	now := start
	apply := func(ev Event) []Effect {
		effects, err := p.Apply(ev, now)
		require.NoError(t, err)
		return effects
	}
	apply(Capacity{Slots: slots, Total: slots})
	apply(Configure{Services: []Service{
		{Name: "quick", Works: []record.Work{{Name: "w", Mean: 20}}},
		{Name: "batch", Works: []record.Work{{Name: "w", Mean: 0.1, Urgency: 9}}},
	}})
	ends := map[time.Time][]uint64{}
	started := 0
	for tick := 0; started < wanted; tick++ {
		now = start.Add(time.Duration(tick) * 10 * time.Millisecond)
		var effects []Effect
		for _, id := range ends[now] {
			effects = append(effects, apply(Finish{ID: id})...)
		}
		effects = append(effects, apply(Arrive{ID: uint64(10 * tick), Service: "batch", Deadline: now.Add(20 * time.Second)})...)
		if now.Equal(start.Add(quietFor)) {
			for i := range uint64(wanted) {
				effects = append(effects, apply(Arrive{ID: uint64(10*tick) + 1 + i, Service: "quick", Deadline: now.Add(time.Minute)})...)
			}
		}
		for _, f := range effects {
			s, ok := f.(Start)
			if !ok {
				continue
			}
			if s.ID%10 != 0 {
				started++
				continue
			}
			end := now.Add(longRun)
			ends[end] = append(ends[end], s.ID)
		}
	}
	return now.Sub(start.Add(quietFor))
}

func TestLentFloorIsWholeAgainInTime(t *testing.T) {
	require.LessOrEqual(t, reclaimRun(t), defaultReclaim)
	require.Greater(t, reclaimRun(t, WithReclaim(time.Hour), WithShort(1)), defaultReclaim, "lending without a bound")
}
