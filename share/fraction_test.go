package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/record"
)

// TestFloorsBelowOneSlotAreServedInTurn floods a pool that has fewer slots than kinds of work.
func TestFloorsBelowOneSlotAreServedInTurn(t *testing.T) {
	const quiet, run, length, slots = 5, 100 * time.Millisecond, 30 * time.Second, 2
	p := New("p")
	now := time.Unix(1, 0)
	apply := func(ev Event) []Effect {
		effects, err := p.Apply(ev, now)
		require.NoError(t, err)
		return effects
	}
	apply(Capacity{Slots: slots, Total: slots})
	works := []record.Work{{Name: "loud", Mean: 5, Urgency: 9}}
	for i := range quiet {
		works = append(works, record.Work{Name: fmt.Sprint("quiet", i), Mean: 1})
	}
	apply(Configure{Services: []Service{{Name: "s", Works: works}}})
	ends := map[time.Time][]uint64{}
	served := map[uint64]int{} // by kind: IDs are 10*n + kind
	asked := map[uint64]int{}
	for ms := range uint64(length.Milliseconds()) {
		now = time.Unix(1, 0).Add(time.Duration(ms) * time.Millisecond)
		var effects []Effect
		for _, id := range ends[now] {
			effects = append(effects, apply(Finish{ID: id})...)
		}
		effects = append(effects, apply(Arrive{ID: 10 * ms, Service: "s", Work: "loud", Deadline: now.Add(time.Second)})...)
		for i := range uint64(quiet) {
			if (ms+100*i)%1000 == 0 {
				asked[1+i]++
				effects = append(effects, apply(Arrive{ID: 10*ms + 1 + i, Service: "s", Work: fmt.Sprint("quiet", i), Deadline: now.Add(time.Second)})...)
			}
		}
		for _, f := range effects {
			if s, ok := f.(Start); ok {
				ends[now.Add(run)] = append(ends[now.Add(run)], s.ID)
				served[s.ID%10]++
			}
		}
	}
	for i := range uint64(quiet) {
		require.GreaterOrEqual(t, served[1+i], asked[1+i]*95/100, "quiet%d of %d", i, asked[1+i])
	}
	require.Greater(t, served[0], 100, "the rest goes to the loud kind")
}
