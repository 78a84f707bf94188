package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gypsumlead/standin"
)

// Any trouble, at any moment, more than once. By hand: go test -run RandomDays ./emulator -seeds 200.
func TestRandomDays(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, Small, seed, func(t *testing.T, w *World) { chaos(t, w, seed) })
		})
	}
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
	w.Store.SetFaults(standin.StoreFaults{})
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
			{Unresponsive: true},
			{LostReplyRate: 0.3},
			{DelayedCommitRate: 0.3},
			{ExtraLatency: 300 * time.Millisecond},
			{RejectFrom: map[netip.Addr]struct{}{w.At(name): {}}},
		}
		w.Store.SetFaults(all[r.IntN(len(all))])
	case 10:
		w.Store.SetFaults(standin.StoreFaults{})
		w.Store.Compact()
	case 11:
		w.CrashFor(id, time.Duration(1+r.IntN(7))*time.Second)
	case 12:
		all := []standin.RunnerFaults{{FailRuns: true}, {StallRuns: true}, {SlowdownFactor: 5}, {DelayedOrderRate: 0.3}}
		w.Trouble(id, all[r.IntN(len(all))])
	case 13:
		w.Trouble(id, standin.RunnerFaults{})
		w.Net.Blackhole(w.At(name))
	case 14:
		w.Net.ResetConns(w.At(name))
		w.Configure()
	case 16:
		w.Store.SetFaults(standin.StoreFaults{})
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
