package sched

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlanUnderFlood plans for a pool of 250 runners that is full, with 1,000 jobs waiting.
func BenchmarkPlanUnderFlood(b *testing.B) {
	f := newFake(&testing.T{}, 250, 64)
	for n := range 1500 {
		s := stepOf(8, 6200)
		after := stepOf(8, 6200)
		after.After = []int{0}
		f.accept(fmt.Sprintf("%d", n), queue, s, after)
	}
	f.step(50 * time.Millisecond)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.now = f.now.Add(5 * time.Millisecond)
		f.p.Plan(f.now, f.now, true)
	}
}
