package share

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gypsumlead/record"
)

// sized returns a configured pool of the given number of kinds of work, five to a service.
func sized(kinds, slots int) *Pool {
	p := New("p")
	now := time.Unix(1, 0)
	var ss []Service
	for i := range kinds {
		if i%5 == 0 {
			ss = append(ss, Service{Name: fmt.Sprint("s", i/5)})
		}
		s := &ss[len(ss)-1]
		s.Works = append(s.Works, record.Work{Name: fmt.Sprint("w", i%5), Mean: 10, Urgency: i % 5})
	}
	for _, ev := range []Event{Capacity{Slots: slots, Total: slots}, Configure{Services: ss}} {
		if _, err := p.Apply(ev, now); err != nil {
			panic(err)
		}
	}
	return p
}

// BenchmarkDecision measures one admission and one end of a run, without a queue and in a flood.
func BenchmarkDecision(b *testing.B) {
	for _, kinds := range []int{10, 100, 1000} {
		for _, load := range []string{"calm", "flood"} {
			b.Run(fmt.Sprintf("%s/kinds=%d", load, kinds), func(b *testing.B) {
				p := sized(kinds, 64)
				now := time.Unix(1, 0)
				var running []uint64
				var names []kindName
				for k := range kinds {
					names = append(names, kindName{fmt.Sprint("s", k/5), fmt.Sprint("w", k%5)})
				}
				id := uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(500 * time.Microsecond)
					k := int(id) % kinds
					if load == "flood" {
						k = 0
					}
					id++
					effects, err := p.Apply(Arrive{ID: id, Service: names[k].service, Work: names[k].work, Deadline: now.Add(time.Second)}, now)
					if err != nil {
						b.Fatal(err)
					}
					running = started(running, effects)
					if len(running) >= 50 || load == "flood" && len(running) > 0 && id%2 == 0 {
						effects, err = p.Apply(Finish{ID: running[0]}, now)
						if err != nil {
							b.Fatal(err)
						}
						running = started(running[1:], effects)
					}
				}
			})
		}
	}
}

func started(running []uint64, effects []Effect) []uint64 {
	for _, f := range effects {
		if s, ok := f.(Start); ok {
			running = append(running, s.ID)
		}
	}
	return running
}

// BenchmarkGate measures a whole Acquire and release, over as many pools as asked for at once.
func BenchmarkGate(b *testing.B) {
	for _, pools := range []int{1, 10, 50} {
		b.Run(fmt.Sprint("pools=", pools), func(b *testing.B) {
			g := NewGate()
			for i := range pools {
				g.SetService(fmt.Sprint("s", i), record.Service{Pool: fmt.Sprint("p", i), Works: []record.Work{{Name: "a", Mean: 10}, {Name: "b", Mean: 10}}})
				g.SetCapacity(fmt.Sprint("p", i), 64)
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					release, err := g.Acquire(context.Background(), fmt.Sprint("s", i%pools), "a", time.Time{})
					if err == nil {
						release()
					}
				}
			})
		})
	}
}

// BenchmarkMemory reports the bytes that a kind of work and a queued request take.
func BenchmarkMemory(b *testing.B) {
	for _, kinds := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("kinds=", kinds), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				p := sized(kinds, kinds)
				b.ReportMetric(float64(heapBytes()-before)/float64(kinds), "B/kind")
				runtime.KeepAlive(p)
			}
		})
	}
	for _, waits := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("queued=", waits), func(b *testing.B) {
			for b.Loop() {
				p := sized(1, 2000)
				now := time.Unix(1, 0)
				before := heapBytes()
				for id := range uint64(2000 + waits) {
					if _, err := p.Apply(Arrive{ID: id, Service: "s0", Deadline: now.Add(time.Hour)}, now); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(2000+waits), "B/request")
				b.ReportMetric(float64(p.Waiting()), "queued")
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
