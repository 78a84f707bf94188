package sched

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlanUnderOverload plans for a full pool of 250 runners with 1,000 jobs waiting.
func BenchmarkPlanUnderOverload(b *testing.B) {
	f := newFakePool(&testing.T{}, 250, 64)
	for n := range 1500 {
		s := stepOf(8, 6200)
		after := stepOf(8, 6200)
		after.After = []int{0}
		f.accept(fmt.Sprintf("%d", n), testQueue, s, after)
	}
	f.advance(50 * time.Millisecond)
	planRepeatedly(b, f)
}

// BenchmarkPlanWithRackWaits plans for a pool of 84 runners of which one is empty, while the tasks of 200 jobs wait for their
// racks.
func BenchmarkPlanWithRackWaits(b *testing.B) {
	f := newFakePool(&testing.T{}, 84, 64)
	f.pool.remoteFactor = 3
	for n := range 420 {
		s := stepOf(8, 6200)
		s.PreferredRack = fmt.Sprintf("rack%d", n%41)
		f.accept(fmt.Sprintf("%d", n), testQueue, s)
		if n == 104 {
			f.advance(50 * time.Millisecond) // 830 tasks are placed
		}
	}
	begun := time.Now()
	f.pool.Plan(f.now, f.now, true)
	b.Logf("the plan that begins %d waits takes %v", f.pool.Stats(f.now).RackWaits.Begun, time.Since(begun))
	planRepeatedly(b, f)
}

func planRepeatedly(b *testing.B, f *fakePool) {
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.now = f.now.Add(5 * time.Millisecond)
		f.pool.Plan(f.now, f.now, true)
	}
}

// BenchmarkPlanWithUrgentJobs plans for 250 runners full of less urgent runs that can't be stopped, with 300 urgent jobs waiting.
func BenchmarkPlanWithUrgentJobs(b *testing.B) {
	f := newFakePool(&testing.T{}, 250, 64)
	less := lessUrgentQueue()
	for n := range 400 {
		f.accept(fmt.Sprintf("%d", n), less, stepOf(8, 6200))
	}
	f.advance(50 * time.Millisecond)
	for n := range 300 {
		f.accept(fmt.Sprintf("a%d", n), testQueue, stepOf(8, 65000)) // larger than any room
	}
	planRepeatedly(b, f)
}
