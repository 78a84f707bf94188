package job

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/record"
)

const benchTasks = 20 // of a worker

// fullPool returns a pool whose workers run as many tasks as they have room for, of 5 teams.
func fullPool(b *testing.B, workers int) (*Pool, View) {
	b.Helper()
	v := View{Version: 1, Teams: map[string]record.Team{}}
	var list []backing.Worker
	for i := range workers {
		id := fmt.Sprintf("w%05d", i)
		v.Members = append(v.Members, id)
		list = append(list, backing.Worker{
			Instance: backing.Instance{ID: id, Boot: "1", Rack: fmt.Sprintf("r%04d", i/4), State: backing.StateLive, Seen: testNow},
			Total:    backing.Size{Cores: 64, Memory: 256 << 30},
		})
	}
	for i := range 5 {
		v.Teams[fmt.Sprintf("t%d", i)] = record.Team{Quotas: []record.Quota{{Cores: 1e6, Memory: 1 << 50}}}
	}
	for i := range workers {
		v.add(fmt.Sprintf("j%05d", i), record.Job{Team: fmt.Sprintf("t%d", i%5), Count: 2 * benchTasks, Size: backing.Size{Cores: 3, Memory: 11 << 30}})
	}
	y := DefaultPolicy()
	y.Canary, y.Starts, y.Acts, y.Patience = 1<<30, 1<<30, 1<<30, 1<<40
	p := New("p", 1, WithPolicy(y))
	require.NoError(b, p.Apply(Configured{View: v}, testNow))
	require.NoError(b, p.Apply(Listed{Workers: list}, testNow))
	return p, v
}

var benchSizes = []int{50, 82, 400}

func BenchmarkFill(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			tasks := 0
			for b.Loop() {
				b.StopTimer()
				p, _ := fullPool(b, n)
				b.StartTimer()
				require.NoError(b, p.Decide(testNow))
				tasks += p.Count().Tries
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tasks), "ns/task")
		})
	}
}

func BenchmarkIdlePass(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			before := liveBytes()
			p, _ := fullPool(b, n)
			empty := liveBytes()
			require.NoError(b, p.Decide(testNow))
			_, err := p.Flush()
			require.NoError(b, err)
			full := liveBytes()
			now := testNow
			for b.Loop() {
				now = now.Add(time.Millisecond)
				require.NoError(b, p.Settle(now))
				require.NoError(b, p.Decide(now))
			}
			b.ReportMetric(float64(empty-before)/float64(n), "B/worker+job")
			b.ReportMetric(float64(full-empty)/float64(p.Count().Tries), "B/task")
			runtime.KeepAlive(p)
		})
	}
}

func BenchmarkUrgentPass(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				p, v := fullPool(b, n)
				for i := range v.Jobs {
					v.Jobs[i].Restart = true
				}
				p.pass2(b, v, testNow)
				v.add("urgent", record.Job{Team: "t0", Count: 16, Urgency: 9, Size: backing.Size{Cores: 8, Memory: 32 << 30}})
				require.NoError(b, p.Apply(Configured{View: v}, testNow))
				b.StartTimer()
				require.NoError(b, p.Decide(testNow.Add(time.Second)))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/16, "ns/urgent-task")
		})
	}
}

// pass2 runs a pass whose effects are all acknowledged.
func (p *Pool) pass2(b *testing.B, v View, now time.Time) {
	b.Helper()
	require.NoError(b, p.Apply(Configured{View: v}, now))
	require.NoError(b, p.Decide(now))
	for _, e := range p.Effects(now) {
		require.NoError(b, p.Apply(Answered{Effect: e}, now))
	}
}

func liveBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

func BenchmarkTeam(b *testing.B) {
	for _, n := range []int{5, 230, 2000} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := liveBytes()
				p := New("p", 1)
				for i := range n {
					tm := p.team(fmt.Sprintf("team%05d", i))
					for range ringSize {
						tm.prior.learn(&Estimate{Cores: Ring{Ratios: []float64{1}}, Memory: Ring{Ratios: []float64{1}}, Time: Ring{Ratios: []float64{1}}})
					}
				}
				b.ReportMetric(float64(liveBytes()-before)/float64(n), "B/team")
				runtime.KeepAlive(p)
			}
		})
	}
}
