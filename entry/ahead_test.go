package entry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
)

// keyedRate lets many callers ask keyed requests of 10 ms through one entry with eight slots and
// a table that takes 20 ms, and returns how many ran a second.
func keyedRate(t *testing.T, opts ...Option) float64 {
	rate := 0.0
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, parts{options: append(opts, WithGate(make(slots, 8)))})
		w.platform.SetFaults(standin.Faults{Slow: 20 * time.Millisecond}, standin.ServiceTable)
		var wg sync.WaitGroup
		var mu sync.Mutex
		ran := 0
		const span = time.Second
		end := time.Now().Add(span)
		for i := range 64 {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					key := fmt.Sprintf("%d.%d", i, n)
					a := &asked{id: key + "-0", key: key, size: 100, patient: true}
					a.send(t.Context(), w.client(0), rand.New(rand.NewPCG(1, 1)))
					mu.Lock()
					if a.outcome == "ran" {
						ran++
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		rate = float64(ran) / span.Seconds()
		w.stop()
	})
	return rate
}

func TestSlotsAreNotIdleDuringClaims(t *testing.T) {
	with := keyedRate(t)
	without := keyedRate(t, func(c *config) { c.ahead = time.Hour })
	t.Logf("keyed requests a second over 8 slots of 10 ms, table 20 ms: %.0f, %.0f with claims made after the slot is taken", with, without)
	require.Greater(t, with, 2*without)
}
