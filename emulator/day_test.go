package emulator

import (
	"context"
	"flag"
	"math/rand/v2"
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
var batch = Shape{Steps: 2, Width: 5, MS: 800, CPU: 2000, Poison: 0.05}

// play runs a day in a bubble: daemons start, what says what happens, and in the end nothing may be broken.
func play(t *testing.T, size Size, seed uint64, what func(t *testing.T, w *World)) {
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
		broken := w.Judge.Final(w.State)
		tally := w.Tally()
		require.Empty(t, broken)
		require.Empty(t, w.Broken())
		require.Positive(t, tally.Done)
		starts, ends := w.Judge.Counts()
		t.Logf("%+v, %d starts, ends %v, store calls %v", tally, starts, ends, w.Store.Counts())
	})
}

// emptyPools drops what sync.Pools hold: yamux pools timers, and those of one bubble must not be used in another.
func emptyPools() {
	runtime.GC() // the first collection moves what is pooled to the victims,
	runtime.GC() // the second one drops it
}

// flow hands in so many jobs of a service, evenly over a time, and returns when the last one is handed in.
func flow(w *World, service string, n int, over time.Duration, s Shape) {
	for range n {
		wj, j := w.Batch(s)
		w.Submit(service, wj, j)
		time.Sleep(over / time.Duration(n))
	}
}

func TestCalmDay(t *testing.T) {
	play(t, Small, 1, func(t *testing.T, w *World) {
		wj, j := w.Lasting(3, 1, 3000)
		w.Submit("s0", wj, j)
		w.Wave(1, append(w.Machines.Names("s0"), w.Machines.Names("s1")...), 2, 25*time.Second)
		flow(w, "s0", 30, 10*time.Second, batch)
		w.Configure()
		flow(w, "s1", 30, 10*time.Second, batch)
		time.Sleep(15 * time.Second)
		require.True(t, w.WaveDone(1))
		tally := w.Tally()
		require.Equal(t, tally.Asked, tally.Accepted)
	})
}

func TestCancelledJobStops(t *testing.T) {
	play(t, Small, 2, func(t *testing.T, w *World) {
		flow(w, "s0", 1, time.Second, batch)
		wj, j := w.Lasting(3, 1, 3000)
		id := w.Submit("s0", wj, j)
		time.Sleep(3 * time.Second)
		require.True(t, w.Cancel(id))
		time.Sleep(3 * time.Second)
		require.Equal(t, work.Cancelled, w.State(id))
		_, ends := w.Judge.Counts()
		require.Equal(t, 3, ends[work.EndStopped])
	})
}

func TestHolderIsKilled(t *testing.T) {
	play(t, Small, 3, func(t *testing.T, w *World) {
		wj, j := w.Lasting(3, 1, 3000)
		w.Submit("s0", wj, j)
		flow(w, "s0", 10, 3*time.Second, batch)
		name := w.Holder("s0")
		w.Kill(name)
		flow(w, "s0", 20, 6*time.Second, batch)
		w.Start(name)
		require.NotEqual(t, name, w.Holder("s0"))
	})
}

// A daemon that stops hands its seats over at once: its sign of life must not keep others from them.
func TestSeatIsHandedOver(t *testing.T) {
	play(t, Small, 8, func(t *testing.T, w *World) {
		flow(w, "s0", 10, 3*time.Second, batch)
		old := w.Holder("s0")
		go w.Stop(old)
		time.Sleep(1500 * time.Millisecond)
		require.NotEqual(t, old, w.Holder("s0"))
		flow(w, "s0", 10, 3*time.Second, batch)
		w.Start(old)
	})
}

func TestAllAreKilledAtOnce(t *testing.T) {
	play(t, Small, 4, func(t *testing.T, w *World) {
		wj, j := w.Lasting(3, 1, 3000)
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
		play(t, Small, 10+seed, func(t *testing.T, w *World) {
			wj, j := w.Lasting(4, 1, 3000)
			w.Submit("s0", wj, j)
			flow(w, "s0", 10, 2*time.Second, batch)
			holder := w.Holder("s0")
			in, out := split(w, holder)
			w.Net.Cut(in, out)
			flow(w, "s0", 30, 6*time.Second, batch)
			w.Net.Heal()
			flow(w, "s0", 10, 2*time.Second, batch)
		})
	}
}

// split parts the places in two: the holder's centre, and all else with the platform.
func split(w *World, holder string) (in, out []netip.Addr) {
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
	play(t, Small, 5, func(t *testing.T, w *World) {
		wj, j := w.Lasting(4, 1, 3000)
		w.Submit("s0", wj, j)
		flow(w, "s0", 5, time.Second, batch)
		for id := range w.runners {
			if w.runners[id].r.Service == "s0" {
				w.CrashFor(id, time.Hour)
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
	play(t, Small, 31, func(t *testing.T, w *World) {
		for _, s := range []string{"s0", "s1"} {
			wj, j := w.Lasting(3, 1, 3000)
			w.Submit(s, wj, j)
		}
		flow(w, "s0", 10, 3*time.Second, batch)
		w.Store.Faults(standin.StoreFaults{Down: true})
		flow(w, "s0", 6, 3*time.Second, batch)
		in, out := split(w, w.Holder("s0"))
		w.Net.Cut(in, out)
		time.Sleep(2 * time.Second)
		w.Store.Faults(standin.StoreFaults{})
		w.Lapse()
		flow(w, "s1", 6, 2500*time.Millisecond, batch)
		w.Net.Heal()
		flow(w, "s0", 10, 2*time.Second, batch)
		w.PowerOff(800 * time.Millisecond)
		time.Sleep(3 * time.Second)
		flow(w, "s0", 5, time.Second, batch)
	})
}

func TestStoreTroubles(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults func(w *World) standin.StoreFaults
	}{
		{"down", func(*World) standin.StoreFaults { return standin.StoreFaults{Down: true} }},
		{"mute", func(*World) standin.StoreFaults { return standin.StoreFaults{Mute: true} }},
		{"slow", func(*World) standin.StoreFaults { return standin.StoreFaults{Slower: 400 * time.Millisecond} }},
		{"answers lost", func(*World) standin.StoreFaults { return standin.StoreFaults{Lost: 0.3} }},
		{"done late", func(*World) standin.StoreFaults { return standin.StoreFaults{Late: 0.3} }},
		{"turns the holder away", func(w *World) standin.StoreFaults {
			return standin.StoreFaults{Away: map[netip.Addr]struct{}{w.At(w.Holder("s0")): {}}}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, Small, 6, func(t *testing.T, w *World) {
				wj, j := w.Lasting(3, 1, 3000)
				w.Submit("s0", wj, j)
				flow(w, "s0", 10, 2*time.Second, batch)
				w.Store.Faults(tc.faults(w))
				flow(w, "s0", 20, 5*time.Second, batch)
				w.Store.Faults(standin.StoreFaults{})
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
		{"fails all", standin.RunnerFaults{Fails: true}},
		{"stands still", standin.RunnerFaults{Hangs: true}},
		{"slow", standin.RunnerFaults{Slow: 6}},
		{"carries out late", standin.RunnerFaults{Late: 0.3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, Small, 7, func(t *testing.T, w *World) {
				flow(w, "s0", 10, 2*time.Second, batch)
				ids := w.Runners()
				w.Trouble(ids[0], tc.faults)
				w.Trouble(ids[1], tc.faults)
				flow(w, "s0", 20, 6*time.Second, batch)
				w.Trouble(ids[0], standin.RunnerFaults{})
				w.Trouble(ids[1], standin.RunnerFaults{})
				flow(w, "s0", 10, 3*time.Second, batch)
			})
		})
	}
}

// Any trouble, at any moment, more than once. By hand: go test -run RandomDays ./emulator -seeds 200.
func TestRandomDays(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run("seed "+itoa(seed), func(t *testing.T) {
			play(t, Small, seed, func(t *testing.T, w *World) { chaos(t, w, seed) })
		})
	}
}

func itoa(n uint64) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}

// chaos is half a minute of load with a trouble every second or so.
func chaos(t *testing.T, w *World, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 99))
	for _, s := range []string{"s0", "s1"} {
		wj, j := w.Lasting(3, 1, 3000)
		w.Submit(s, wj, j)
	}
	shapes := []Shape{batch, {Steps: 3, Width: 4, MS: 600, CPU: 3000, Saves: true}}
	wave := int64(0)
	for range 60 {
		for _, s := range []string{"s0", "s1"} {
			for range r.IntN(3) {
				wj, j := w.Batch(shapes[r.IntN(len(shapes))])
				w.Submit(s, wj, j)
			}
		}
		if r.IntN(2) == 0 {
			trouble(w, r, &wave)
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.Net.Heal()
	w.Store.Faults(standin.StoreFaults{})
	for _, id := range w.Runners() {
		w.Trouble(id, standin.RunnerFaults{})
	}
	for _, name := range w.Daemons() {
		w.Start(name)
	}
	time.Sleep(15 * time.Second)
}

// trouble makes one trouble, or ends those that there are.
func trouble(w *World, r *rand.Rand, wave *int64) {
	ids, names := w.Runners(), w.Daemons()
	id, name := ids[r.IntN(len(ids))], names[r.IntN(len(names))]
	switch r.IntN(18) {
	case 0:
		w.Kill(name)
	case 1:
		w.Kill(w.Holder("s0"))
	case 2, 3:
		for _, n := range names {
			w.Start(n)
		}
	case 4:
		in, out := split(w, name)
		w.Net.Cut(in, out)
	case 5:
		w.Net.Cut([]netip.Addr{w.At(name)}, []netip.Addr{storeAt.Addr()})
	case 6:
		w.Net.Cut([]netip.Addr{w.RunnerAt(id)}, places(w))
	case 7, 8:
		w.Net.Heal()
	case 9:
		all := []standin.StoreFaults{
			{Down: true},
			{Mute: true},
			{Lost: 0.3},
			{Late: 0.3},
			{Slower: 300 * time.Millisecond},
			{Away: map[netip.Addr]struct{}{w.At(name): {}}},
		}
		w.Store.Faults(all[r.IntN(len(all))])
	case 10:
		w.Store.Faults(standin.StoreFaults{})
		w.Store.Compact()
	case 11:
		w.CrashFor(id, time.Duration(1+r.IntN(7))*time.Second)
	case 12:
		all := []standin.RunnerFaults{{Fails: true}, {Hangs: true}, {Slow: 5}, {Late: 0.3}}
		w.Trouble(id, all[r.IntN(len(all))])
	case 13:
		w.Trouble(id, standin.RunnerFaults{})
		w.Net.Silence(w.At(name))
	case 14:
		w.Net.Reset(w.At(name))
		w.Configure()
	case 16:
		w.Store.Faults(standin.StoreFaults{})
		w.Lapse()
	case 17:
		w.PowerOff(time.Duration(200+r.IntN(2000)) * time.Millisecond)
	case 15:
		*wave++
		w.Wave(*wave, w.Machines.Names("s1"), 1, 20*time.Second)
	}
}

func places(w *World) []netip.Addr {
	var list []netip.Addr
	for _, name := range w.Daemons() {
		list = append(list, w.At(name))
	}
	return list
}
