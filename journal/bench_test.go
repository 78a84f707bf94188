package journal

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/record"
)

// filled returns a state with n member records.
func filled(b *testing.B, n int) *State {
	s := NewState()
	for i := range n {
		_, err := s.Apply(change(b, s.Seq()+1, i))
		require.NoError(b, err)
	}
	return s
}

func change(b *testing.B, seq int64, i int) Change {
	e, err := record.Encode(fmt.Sprintf("runner-%05d", i), &record.Member{Pool: "texts"})
	require.NoError(b, err)
	return Change{Seq: seq, ID: fmt.Sprint("change-", seq), Records: []record.Envelope{e}}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := filled(b, n)
			c := change(b, 0, 7)
			b.ReportAllocs()
			for b.Loop() {
				c.Seq = s.Seq() + 1
				if _, err := s.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkStateMemory reports the heap that a configuration holds.
func BenchmarkStateMemory(b *testing.B) {
	for _, n := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := filled(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				s.Seq()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/record")
			runtime.KeepAlive(s)
		})
	}
}
