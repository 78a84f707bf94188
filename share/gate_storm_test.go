package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
	"gypsumlead/record"
)

// TestGateUnderChange floods several pools while capacities and services change and callers
// leave; afterwards nothing may be held, waiting or counted.
func TestGateUnderChange(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) { storm(t, seed) })
	}
}

func storm(t *testing.T, seed uint64) {
	const pools, callers, rounds = 4, 60, 40
	g := NewGate(WithWaiting(100), WithBreach(func(err error) { t.Error("seed", seed, err) }))
	service := func(i int) string { return fmt.Sprint("s", i) }
	configure := func(rng *rand.Rand, i int) {
		g.SetService(service(i), record.Service{
			Pool:  fmt.Sprint("p", rng.IntN(pools)),
			Works: []record.Work{{Name: "a", Mean: 20 * rng.Float64()}, {Name: "b", Urgency: 1, Mean: 5}},
		})
	}
	setup := rand.New(rand.NewPCG(seed, 0))
	for i := range pools {
		configure(setup, i)
		g.SetCapacity(fmt.Sprint("p", i), 8)
	}
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	for c := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(c)+1))
		wg.Go(func() {
			for range rounds {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+rng.IntN(500))*time.Millisecond)
				release, err := g.Acquire(ctx, service(rng.IntN(pools)), []string{"", "a", "b"}[rng.IntN(3)], time.Now().Add(time.Second))
				if err != nil {
					refused.Add(1)
					if k := fault.KindOf(err); k != fault.Overload && k != fault.Missing && k != fault.NoUpstream {
						t.Error(err)
					}
					time.Sleep(10 * time.Millisecond)
				} else {
					served.Add(1)
					time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
					release()
				}
				cancel()
			}
		})
	}
	wg.Go(func() {
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			switch i := setup.IntN(pools); setup.IntN(3) {
			case 0:
				g.SetCapacity(fmt.Sprint("p", i), setup.IntN(12))
			case 1:
				configure(setup, i)
			case 2:
				g.DropService(service(i))
				configure(setup, i)
			}
		}
	})
	wg.Wait()
	for i := range pools {
		running, waiting := g.Load(fmt.Sprint("p", i))
		require.Zero(t, running+waiting, "seed %d", seed)
	}
	require.Zero(t, g.room.waiting.Load(), "seed %d", seed)
	require.Positive(t, served.Load())
	require.Positive(t, refused.Load())
}
