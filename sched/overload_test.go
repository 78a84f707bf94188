package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// simulateOverload submits jobs whose steps have eight tasks of one second each, at factor times the pool's capacity,
// and returns how many were submitted and how many ended on time.
func simulateOverload(t *testing.T, factor float64, steps, seconds int) (submitted, onTime int) {
	const tick = 50 * time.Millisecond
	f := newFakePool(t, 16, 8) // capacity: sixteen steps of eight tasks per second
	chain := make([]work.Step, steps)
	for n := range chain {
		chain[n] = stepOf(8, 1000)
		if n > 0 {
			chain[n].After = []int{n - 1}
		}
	}
	objective := time.Duration(testQueue.Slack*float64(steps)*float64(time.Second)) + testQueue.Aim + 2*tick
	started := map[work.Task]time.Time{}
	accepted := map[work.ID]time.Time{}
	unsubmitted := 0.0
	for n := range seconds*20 + 150 {
		if n < seconds*20 {
			for unsubmitted += factor * 16 / float64(20*steps); unsubmitted >= 1; unsubmitted-- {
				id := f.accept(fmt.Sprintf("%d", submitted), testQueue, chain...)
				accepted[id] = f.now
				submitted++
			}
		}
		for task, at := range started {
			if f.now.Sub(at) < time.Second {
				continue
			}
			f.endRun(f.runnerOf(task), task, work.EndDone)
			delete(started, task)
		}
		for _, order := range starts(f.advance(tick)) {
			started[order.Task] = f.now
		}
		for id, at := range accepted {
			s, known := f.pool.State(id)
			if known && !s.Final() {
				continue
			}
			delete(accepted, id)
			if s == work.Done && f.now.Sub(at) <= objective {
				onTime++
			}
		}
	}
	return submitted, onTime
}

// Guards against an overloaded pool that makes every job a little late: at least 80% of the jobs that it has capacity
// for have to end on time.
func TestOverloadKeepsFeasibleJobsOnTime(t *testing.T) {
	for _, steps := range []int{1, 2, 3} {
		for _, factor := range []float64{0.8, 1.5, 3, 5} {
			t.Run(fmt.Sprintf("%d steps, %.1f times capacity", steps, factor), func(t *testing.T) {
				submitted, onTime := simulateOverload(t, factor, steps, 5)
				feasible := min(float64(submitted), float64(submitted)/factor)
				require.GreaterOrEqual(t, float64(onTime), 0.8*feasible, "of %d", submitted)
				t.Logf("%d of %d on time", onTime, submitted)
			})
		}
	}
}

// Best-effort runs use what others leave; they must not make the pool look smaller than it is.
func TestBestEffortRunsTakeNoSchedulableCPU(t *testing.T) {
	f := newFakePool(t, 1, 8)
	filler := stepOf(2, 3000)
	filler.BestEffort, filler.LongRunning = true, true
	f.accept("a", testQueue, filler)
	f.advance(tickInterval)
	lasting := stepOf(1, 2000)
	lasting.LongRunning = true
	f.accept("b", testQueue, lasting)
	f.advance(tickInterval)
	f.advance(tickInterval)
	require.Len(t, f.runners["r0"].runs, 3)
	require.Equal(t, int64(6000), f.pool.schedulableCPU)
}
