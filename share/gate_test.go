package share

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
	"gypsumlead/record"
)

func texts() record.Service {
	return record.Service{Pool: "p", Works: []record.Work{
		{Name: "notice", Urgency: 3, Mean: 20},
		{Name: "digest", Urgency: 1, Mean: 20},
	}}
}

func TestGateNeverGivesOutMoreThanItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(WithBreach(func(err error) { t.Error(err) }))
		g.SetService("texts", texts())
		g.SetCapacity("p", 8)
		var held, most, served, refused atomic.Int64
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				work := []string{"notice", "digest", ""}[i%3]
				release, err := g.Acquire(t.Context(), "texts", work, time.Now().Add(time.Second))
				if err != nil {
					require.True(t, fault.Is(err, fault.Overload), err)
					require.GreaterOrEqual(t, fault.RetryAfter(err), time.Second)
					refused.Add(1)
					return
				}
				n := held.Add(1)
				for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
				}
				time.Sleep(50 * time.Millisecond)
				held.Add(-1)
				release()
				release() // giving back twice changes nothing
				served.Add(1)
			})
		}
		wg.Wait()
		running, waiting := g.Load("p")
		require.Zero(t, running)
		require.Zero(t, waiting)
		require.EqualValues(t, 8, most.Load())
		require.EqualValues(t, 400, served.Load()+refused.Load())
		// Before the first answer a run is taken to last 100 ms, which 80 of them fit in.
		require.Greater(t, served.Load(), int64(60))
		require.Greater(t, refused.Load(), int64(100))
	})
}

func TestGateSaysWhatIsMissing(t *testing.T) {
	g := NewGate()
	g.SetService("texts", texts())
	_, err := g.Acquire(t.Context(), "texts", "notice", time.Time{})
	require.True(t, fault.Is(err, fault.NoUpstream), "no slots: %v", err)
	g.SetCapacity("p", 8)
	_, err = g.Acquire(t.Context(), "nobody", "", time.Time{})
	require.True(t, fault.Is(err, fault.Missing), err)
	_, err = g.Acquire(t.Context(), "texts", "nothing", time.Time{})
	require.True(t, fault.Is(err, fault.Missing), err)
	g.DropService("texts")
	_, err = g.Acquire(t.Context(), "texts", "notice", time.Time{})
	require.True(t, fault.Is(err, fault.Missing), err)
}

func TestGateForgetsCallersThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(WithBreach(func(err error) { t.Error(err) }))
		g.SetService("texts", texts())
		g.SetCapacity("p", 1)
		release, err := g.Acquire(t.Context(), "texts", "", time.Time{})
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = g.Acquire(ctx, "texts", "", time.Now().Add(time.Minute))
		require.True(t, fault.Is(err, fault.Overload), err)
		_, waiting := g.Load("p")
		require.Zero(t, waiting)
		release()
		running, _ := g.Load("p")
		require.Zero(t, running)
	})
}

func TestGateMovesAServiceBetweenPools(t *testing.T) {
	g := NewGate(WithBreach(func(err error) { t.Error(err) }))
	r := texts()
	g.SetService("texts", r)
	g.SetCapacity("p", 1)
	release, err := g.Acquire(t.Context(), "texts", "", time.Time{})
	require.NoError(t, err)
	r.Pool = "q"
	g.SetService("texts", r)
	g.SetCapacity("q", 1)
	second, err := g.Acquire(t.Context(), "texts", "", time.Time{})
	require.NoError(t, err)
	release()
	second()
	for _, p := range []string{"p", "q"} {
		running, _ := g.Load(p)
		require.Zero(t, running)
	}
}

func TestGateBoundsWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, asked = 10, 100
		g := NewGate(WithWaiting(limit), WithBreach(func(err error) { t.Error(err) }))
		quiet := record.Service{Pool: "q", Works: []record.Work{{Name: "a", Mean: 1}}}
		g.SetService("texts", texts())
		g.SetService("quiet", quiet)
		g.SetCapacity("p", 1)
		g.SetCapacity("q", 1)
		require.Equal(t, []string{"p", "q"}, g.Pools())
		acquire := func(service string) {
			release, err := g.Acquire(t.Context(), service, "", time.Now().Add(time.Minute))
			if err == nil {
				time.Sleep(100 * time.Millisecond)
				release()
			}
		}
		for range asked {
			go acquire("texts")
		}
		synctest.Wait()
		_, waiting := g.Load("p")
		require.Equal(t, limit, waiting, "a flood fills the room")
		for range 3 {
			go acquire("quiet")
		}
		synctest.Wait()
		running, waiting := g.Load("q")
		require.Equal(t, 1, running)
		require.Equal(t, 2, waiting, "the other pool still has its part of the room")
		time.Sleep(time.Minute)
		refused := uint64(0)
		for _, u := range g.Usage("p") {
			refused += u.Refused
		}
		require.EqualValues(t, asked-limit-1, refused)
	})
}

func TestUsageOfAnIdlePoolFades(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(WithBreach(func(err error) { t.Error(err) }))
		g.SetService("texts", texts())
		g.SetCapacity("p", 8)
		for range 100 {
			release, err := g.Acquire(t.Context(), "texts", "notice", time.Time{})
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			release()
		}
		require.InDelta(t, 20, g.Usage("p")[0].Asked, 5)
		time.Sleep(time.Minute)
		require.InDelta(t, 0, g.Usage("p")[0].Asked, 0.1)
	})
}
