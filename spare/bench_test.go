package spare

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkObserve is one look at every pool: how long the decision takes as pools are added.
func BenchmarkObserve(b *testing.B) {
	for _, pools := range []int{6, 51, 500} {
		b.Run(fmt.Sprint(pools), func(b *testing.B) {
			l := New("spare", 3)
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(5 * time.Second)
				for i := range pools {
					o := Observe{Pool: fmt.Sprintf("pool-%03d", i), Have: 82, Limit: 4, Asked: float64(40 + i%30)}
					if i == 0 {
						o.Pool = "spare"
					}
					if _, err := l.Apply(o, now); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
