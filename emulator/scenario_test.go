package emulator

import (
	"context"
	"flag"
	"net/netip"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"gypsumlead/standin"
	"gypsumlead/work"
)

var (
	loud  = flag.Bool("loud", false, "show the daemons' logs")
	seeds = flag.Int("seeds", 3, "how many seeds the random days play")
	first = flag.Uint64("first", 1, "the first seed of the random days")
)

// quiet is how long everything is left alone at the end of a day, so that it can come to its end.
const quiet = 25 * time.Second

// batch is what most emulated jobs are like.
var batch = JobShape{MaxSteps: 2, MaxWidth: 5, MeanMS: 800, CPU: 2000, FailingShare: 0.05}

// play runs a day in a bubble: daemons start, what says what happens, and in the end nothing may be broken.
func play(t *testing.T, size Size, seed uint64, what func(t *testing.T, w *Cluster)) {
	t.Helper()
	emptyPools()
	synctest.Test(t, func(t *testing.T) {
		log := zap.NewNop()
		if *loud {
			log = zaptest.NewLogger(t)
		}
		w := New(context.Background(), size, seed, log)
		defer synctest.Wait()
		defer w.Close()
		for _, name := range w.Daemons() {
			w.Start(name)
		}
		time.Sleep(4 * time.Second)
		what(t, w)
		time.Sleep(quiet)
		broken := w.Checker.Verify(w.State)
		tally := w.Stats()
		require.Empty(t, broken)
		require.Empty(t, w.Violations())
		require.Positive(t, tally.Done)
		starts, ends := w.Checker.RunCounts()
		t.Logf("%+v, %d starts, ends %v, store calls %v", tally, starts, ends, w.Store.CallCounts())
	})
}

// emptyPools drops what sync.Pools hold: yamux pools timers, and those of one bubble must not be used in another.
func emptyPools() {
	runtime.GC() // the first collection moves what is pooled to the victims,
	runtime.GC() // the second one drops it
}

// flow hands in so many jobs of a service, evenly over a time, and returns when the last one is handed in.
func flow(w *Cluster, service string, n int, over time.Duration, s JobShape) {
	for range n {
		wj, j := w.NewBatchJob(s)
		w.Submit(service, wj, j)
		time.Sleep(over / time.Duration(n))
	}
}

func TestCalmDay(t *testing.T) {
	play(t, Small, 1, func(t *testing.T, w *Cluster) {
		wj, j := w.NewLongRunningJob(3, 1, 3000)
		w.Submit("s0", wj, j)
		w.RequestWave(1, append(w.Machines.Names("s0"), w.Machines.Names("s1")...), 2, 25*time.Second)
		flow(w, "s0", 30, 10*time.Second, batch)
		w.UpdateConfig()
		flow(w, "s1", 30, 10*time.Second, batch)
		time.Sleep(15 * time.Second)
		require.True(t, w.WaveDone(1))
		tally := w.Stats()
		require.Equal(t, tally.Submitted, tally.Accepted)
	})
}

func TestCancelledJobStops(t *testing.T) {
	play(t, Small, 2, func(t *testing.T, w *Cluster) {
		flow(w, "s0", 1, time.Second, batch)
		wj, j := w.NewLongRunningJob(3, 1, 3000)
		id := w.Submit("s0", wj, j)
		time.Sleep(3 * time.Second)
		require.True(t, w.Cancel(id))
		time.Sleep(3 * time.Second)
		require.Equal(t, work.Cancelled, w.State(id))
		_, ends := w.Checker.RunCounts()
		require.Equal(t, 3, ends[work.EndStopped])
	})
}

func TestHolderIsKilled(t *testing.T) {
	play(t, Small, 3, func(t *testing.T, w *Cluster) {
		wj, j := w.NewLongRunningJob(3, 1, 3000)
		w.Submit("s0", wj, j)
		flow(w, "s0", 10, 3*time.Second, batch)
		name := w.Leader("s0")
		w.Kill(name)
		flow(w, "s0", 20, 6*time.Second, batch)
		w.Start(name)
		require.NotEqual(t, name, w.Leader("s0"))
	})
}

// A daemon that stops hands its seats over at once: its sign of life must not keep others from them.
func TestSeatIsHandedOver(t *testing.T) {
	play(t, Small, 8, func(t *testing.T, w *Cluster) {
		flow(w, "s0", 10, 3*time.Second, batch)
		old := w.Leader("s0")
		go w.Stop(old)
		time.Sleep(1500 * time.Millisecond)
		require.NotEqual(t, old, w.Leader("s0"))
		flow(w, "s0", 10, 3*time.Second, batch)
		w.Start(old)
	})
}

func TestAllAreKilledAtOnce(t *testing.T) {
	play(t, Small, 4, func(t *testing.T, w *Cluster) {
		wj, j := w.NewLongRunningJob(3, 1, 3000)
		w.Submit("s0", wj, j)
		flow(w, "s0", 10, 2*time.Second, batch)
		for _, name := range w.Daemons() {
			w.Kill(name)
		}
		time.Sleep(time.Second)
		for _, name := range w.Daemons() {
			w.Start(name)
		}
		flow(w, "s0", 10, 4*time.Second, batch)
	})
}

// The holder is cut off together with some runners; another daemon takes the seat and goes on with the
// runs that it can reach. What is beyond the cut must not be started again on either side.
func TestHolderIsCutOffWithSomeRunners(t *testing.T) {
	for seed := range uint64(4) {
		play(t, Small, 10+seed, func(t *testing.T, w *Cluster) {
			wj, j := w.NewLongRunningJob(4, 1, 3000)
			w.Submit("s0", wj, j)
			flow(w, "s0", 10, 2*time.Second, batch)
			holder := w.Leader("s0")
			in, out := split(w, holder)
			w.Net.Cut(in, out)
			flow(w, "s0", 30, 6*time.Second, batch)
			w.Net.Heal()
			flow(w, "s0", 10, 2*time.Second, batch)
		})
	}
}

// split parts the places in two: the holder's centre, and all else with the platform.
func split(w *Cluster, holder string) (in, out []netip.Addr) {
	centre := w.daemons[holder].centre
	for _, name := range w.Daemons() {
		if n := w.daemons[name]; n.centre == centre {
			in = append(in, n.at)
		} else {
			out = append(out, n.at)
		}
	}
	for _, id := range w.Runners() {
		if h := w.runners[id]; h.r.Centre == centre {
			in = append(in, h.r.Addr.Addr())
		} else {
			out = append(out, h.r.Addr.Addr())
		}
	}
	return in, append(out, storeAt.Addr(), machinesAt.Addr())
}

// A runner is lost for good while the daemons are stopped in turn: each new holder must learn from the
// one before when the lost runner's lease ends, or its tasks are never free.
func TestRunnerIsLostWhileDaemonsAreStoppedInTurn(t *testing.T) {
	play(t, Small, 5, func(t *testing.T, w *Cluster) {
		wj, j := w.NewLongRunningJob(4, 1, 3000)
		w.Submit("s0", wj, j)
		flow(w, "s0", 5, time.Second, batch)
		for id := range w.runners {
			if w.runners[id].r.Service == "s0" {
				w.CrashRunner(id, time.Hour)
				break
			}
		}
		time.Sleep(3 * time.Second)
		for range 2 {
			for _, name := range w.Daemons() {
				w.Stop(name)
				w.Start(name)
				time.Sleep(2 * time.Second)
			}
		}
		flow(w, "s0", 5, 2*time.Second, batch)
	})
}

// The store goes away and comes back without the entries that lapsed, a data centre is cut off meanwhile, and
// right after that every daemon loses power: the new holders have only the store's rows and the runners.
func TestPowerIsLostAfterAnOutageAndACut(t *testing.T) {
	play(t, Small, 31, func(t *testing.T, w *Cluster) {
		for _, s := range []string{"s0", "s1"} {
			wj, j := w.NewLongRunningJob(3, 1, 3000)
			w.Submit(s, wj, j)
		}
		flow(w, "s0", 10, 3*time.Second, batch)
		w.Store.SetFaults(standin.StoreFaults{Down: true})
		flow(w, "s0", 6, 3*time.Second, batch)
		in, out := split(w, w.Leader("s0"))
		w.Net.Cut(in, out)
		time.Sleep(2 * time.Second)
		w.Store.SetFaults(standin.StoreFaults{})
		w.ExpireRunnerEntries()
		flow(w, "s1", 6, 2500*time.Millisecond, batch)
		w.Net.Heal()
		flow(w, "s0", 10, 2*time.Second, batch)
		w.PowerCycle(800 * time.Millisecond)
		time.Sleep(3 * time.Second)
		flow(w, "s0", 5, time.Second, batch)
	})
}

func TestStoreTroubles(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults func(w *Cluster) standin.StoreFaults
	}{
		{"down", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{Down: true} }},
		{"mute", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{Unresponsive: true} }},
		{"slow", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{ExtraLatency: 400 * time.Millisecond} }},
		{"answers lost", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{LostReplyRate: 0.3} }},
		{"done late", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{DelayedCommitRate: 0.3} }},
		{"turns the holder away", func(w *Cluster) standin.StoreFaults {
			return standin.StoreFaults{RejectFrom: map[netip.Addr]struct{}{w.DaemonAddr(w.Leader("s0")): {}}}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, Small, 6, func(t *testing.T, w *Cluster) {
				wj, j := w.NewLongRunningJob(3, 1, 3000)
				w.Submit("s0", wj, j)
				flow(w, "s0", 10, 2*time.Second, batch)
				w.Store.SetFaults(tc.faults(w))
				flow(w, "s0", 20, 5*time.Second, batch)
				w.Store.SetFaults(standin.StoreFaults{})
				w.Store.Compact()
				flow(w, "s0", 10, 3*time.Second, batch)
			})
		})
	}
}

func TestRunnerTroubles(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults standin.RunnerFaults
	}{
		{"fails all", standin.RunnerFaults{FailRuns: true}},
		{"stands still", standin.RunnerFaults{StallRuns: true}},
		{"slow", standin.RunnerFaults{SlowdownFactor: 6}},
		{"carries out late", standin.RunnerFaults{DelayedOrderRate: 0.3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, Small, 7, func(t *testing.T, w *Cluster) {
				flow(w, "s0", 10, 2*time.Second, batch)
				ids := w.Runners()
				w.SetRunnerFaults(ids[0], tc.faults)
				w.SetRunnerFaults(ids[1], tc.faults)
				flow(w, "s0", 20, 6*time.Second, batch)
				w.SetRunnerFaults(ids[0], standin.RunnerFaults{})
				w.SetRunnerFaults(ids[1], standin.RunnerFaults{})
				flow(w, "s0", 10, 3*time.Second, batch)
			})
		})
	}
}
