package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// flood plays jobs of steps of eight tasks of one second each, so many times more of them than the pool
// holds, and returns how many were handed in and how many ended in time.
func flood(t *testing.T, times float64, steps, seconds int) (asked, inTime int) {
	const tick = 50 * time.Millisecond
	f := newFake(t, 16, 8) // holds sixteen steps of eight tasks a second
	chain := make([]work.Step, steps)
	for n := range chain {
		chain[n] = stepOf(8, 1000)
		if n > 0 {
			chain[n].After = []int{n - 1}
		}
	}
	aim := time.Duration(queue.Slack*float64(steps)*float64(time.Second)) + queue.Aim + 2*tick
	started := map[work.Task]time.Time{}
	accepted := map[work.ID]time.Time{}
	due := 0.0
	for n := range seconds*20 + 150 {
		if n < seconds*20 {
			for due += times * 16 / float64(20*steps); due >= 1; due-- {
				id := f.accept(fmt.Sprintf("%d", asked), queue, chain...)
				accepted[id] = f.now
				asked++
			}
		}
		for task, at := range started {
			if f.now.Sub(at) < time.Second {
				continue
			}
			f.end(f.where(task), task, work.EndDone)
			delete(started, task)
		}
		for _, o := range starts(f.step(tick)) {
			started[o.Task] = f.now
		}
		for id, at := range accepted {
			s, known := f.p.State(id)
			if known && !s.Final() {
				continue
			}
			delete(accepted, id)
			if s == work.Done && f.now.Sub(at) <= aim {
				inTime++
			}
		}
	}
	return asked, inTime
}

// A pool that is asked for more than it holds must not make every job late: what it can do in time it does,
// for most of what it has room for.
func TestFloodLeavesAsManyInTimeAsThePoolHolds(t *testing.T) {
	for _, steps := range []int{1, 2, 3} {
		for _, times := range []float64{0.8, 1.5, 3, 5} {
			t.Run(fmt.Sprintf("%d steps, %.1f times", steps, times), func(t *testing.T) {
				asked, inTime := flood(t, times, steps, 5)
				held := min(float64(asked), float64(asked)/times)
				require.GreaterOrEqual(t, float64(inTime), 0.8*held, "of %d", asked)
				t.Logf("%d of %d in time", inTime, asked)
			})
		}
	}
}
