package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// balancer sends to the entries that were ready when it last looked, some seconds ago.
type balancer struct {
	w     *world
	ready [worldEntries]atomic.Bool
}

const balancerLag = 3 * time.Second

// watch asks every entry for readiness; what it learns takes effect after the lag.
func (b *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for e := range b.w.entries {
			ready := false
			if resp, err := b.w.client(e).Get("http://entry" + ReadyPath); err == nil {
				ready = resp.StatusCode == http.StatusOK
				_ = resp.Body.Close()
			}
			time.AfterFunc(balancerLag, func() { b.ready[e].Store(ready) })
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2 * balancerLag)
}

// pick returns an entry that the balancer takes to be ready.
func (b *balancer) pick(rng *rand.Rand) int {
	e := rng.IntN(worldEntries)
	for !b.ready[e].Load() {
		e = (e + 1) % worldEntries
	}
	return e
}

// stopUnderLoad stops one of the entries under load and returns how many requests failed and how
// many the stopped entry served after it was told to stop.
func stopUnderLoad(t *testing.T, stop func(ctx context.Context, e *Entry, srv *http.Server) error) (failed, late int64) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, parts{})
		for _, r := range w.runners {
			r.SetRun(200 * time.Millisecond)
		}
		b := &balancer{w: w}
		for e := range b.ready {
			b.ready[e].Store(true)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var load, watch sync.WaitGroup
		watch.Go(func() { b.watch(ctx) })
		var bad, after, stopping atomic.Int64
		for i := range 12 {
			load.Go(func() {
				rng := rand.New(rand.NewPCG(1, uint64(i)))
				var clients [worldEntries]*http.Client
				for e := range clients {
					clients[e] = &http.Client{Transport: &http.Transport{DialContext: w.fronts[e].Dial}}
				}
				for n := 0; ctx.Err() == nil; n++ {
					e := b.pick(rng)
					a := &asked{id: fmt.Sprintf("%d-%d", i, n), size: answerSizes[rng.IntN(len(answerSizes))]}
					a.sendPatiently(clients[e], rng)
					if a.outcome != "ran" || a.wrong != "" {
						bad.Add(1)
					}
					if e == 0 && stopping.Load() == 1 {
						after.Add(1)
					}
				}
				for _, c := range clients {
					c.CloseIdleConnections()
				}
			})
		}
		time.Sleep(2 * time.Second)
		stopping.Store(1)
		require.NoError(t, stop(t.Context(), w.entries[0], w.servers[0]))
		time.Sleep(6 * time.Second)
		cancel()
		load.Wait()
		watch.Wait()
		w.stop()
		failed, late = bad.Load(), after.Load()
	})
	return failed, late
}

// sendPatiently sends an unkeyed request that has all the time it needs.
func (a *asked) sendPatiently(c *http.Client, rng *rand.Rand) {
	a.patient = true
	a.send(context.Background(), c, rng)
}

func TestStopCutsNothing(t *testing.T) {
	failed, late := stopUnderLoad(t, func(ctx context.Context, e *Entry, srv *http.Server) error {
		return e.Stop(ctx, srv, time.Second)
	})
	without, _ := stopUnderLoad(t, func(ctx context.Context, e *Entry, srv *http.Server) error {
		e.Leave()
		return srv.Shutdown(ctx)
	})
	t.Logf("entry stopped under load, balancer %v behind: %d requests failed, %d served meanwhile; with a shutdown at once %d failed", balancerLag, failed, late, without)
	require.Zero(t, failed)
	require.Positive(t, late)
	require.Positive(t, without)
}
