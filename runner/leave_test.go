package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
)

// leaveUnderLoad lets one of three runners leave under load, with slow dials, and returns how
// many requests reached it after Leave had returned, and after none was said to be in progress.
func leaveUnderLoad(t *testing.T, seed uint64, opts ...Option) (afterLeave, afterDrain int) {
	synctest.Test(t, func(t *testing.T) {
		m := newFarm(3, standin.WithRun(30*time.Millisecond))
		rng := rand.New(rand.NewPCG(seed, 0))
		var mu sync.Mutex
		dial := func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			mu.Lock()
			d := time.Duration(rng.IntN(400)) * time.Millisecond
			mu.Unlock()
			time.Sleep(d)
			return m.dial(ctx, addr)
		}
		f := newFleet(t, 3, append(opts, WithDial(dial), WithSeed(seed), WithIdle(20*time.Millisecond))...)
		end := time.Now().Add(3 * time.Second)
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(seed, uint64(i)))
				for n := 0; time.Now().Before(end); n++ {
					_, err := within(t, f, request(fmt.Sprintf("%d-%d", i, n), 0), time.Second)
					if err != nil {
						t.Error(err)
					}
					time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Duration(500+seed) * time.Millisecond)
		f.Leave("u1", "b1")
		atLeave := m.runners[0].Account().Total().Seen
		// A stale list that calls the runner live changes nothing.
		f.Update(targets(3))
		for f.InProgress("u1", "b1") > 0 {
			time.Sleep(time.Millisecond)
		}
		atDrain := m.runners[0].Account().Total().Seen
		wg.Wait()
		total := m.runners[0].Account().Total()
		require.Equal(t, total.Started, total.Finished)
		afterLeave, afterDrain = total.Seen-atLeave, total.Seen-atDrain
		f.Close()
		m.close()
	})
	return afterLeave, afterDrain
}

func TestLeavingRunnerGetsNoNewWork(t *testing.T) {
	without, runs := 0, uint64(5)
	for seed := range runs {
		afterLeave, afterDrain := leaveUnderLoad(t, seed)
		require.Zero(t, afterLeave, "seed %d", seed)
		require.Zero(t, afterDrain, "seed %d", seed)
		n, _ := leaveUnderLoad(t, seed, func(c *config) { c.off.gate = true })
		without += n
	}
	t.Logf("%d seeds: requests that reached a runner after Leave: 0; %d without the check before the first byte", runs, without)
	require.Positive(t, without)
}

func TestLeavingIsStickyForTheBoot(t *testing.T) {
	f := NewFleet()
	defer f.Close()
	f.Leave("u1", "b1")
	f.Update(targets(1))
	require.True(t, f.Stats().Upstreams[0].Leaving)
	f.Update(nil)
	f.Update(targets(1))
	require.True(t, f.Stats().Upstreams[0].Leaving)
	again := targets(1)
	again[0].Instance.Boot = "b2"
	f.Update(again)
	require.False(t, f.Stats().Upstreams[0].Leaving)
	again[0].Leaving = true
	f.Update(again)
	again[0].Leaving = false
	f.Update(again)
	require.True(t, f.Stats().Upstreams[0].Leaving)
}
