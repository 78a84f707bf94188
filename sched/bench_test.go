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
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.now = f.now.Add(5 * time.Millisecond)
		f.pool.Plan(f.now, f.now, true)
	}
}
