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
			play(t, Small, seed, func(t *testing.T, w *Cluster) { chaos(t, w, seed) })
		})
	}
}

// chaos is half a minute of load with a trouble every second or so.
func chaos(t *testing.T, w *Cluster, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 99))
	for _, s := range []string{"s0", "s1"} {
		wj, j := w.NewLongRunningJob(3, 1, 3000)
		w.Submit(s, wj, j)
	}
	shapes := []JobShape{batch, {MaxSteps: 3, MaxWidth: 4, MeanMS: 600, CPU: 3000, Checkpointing: true}}
	wave := int64(0)
	for range 60 {
		for _, s := range []string{"s0", "s1"} {
			for range r.IntN(3) {
				wj, j := w.NewBatchJob(shapes[r.IntN(len(shapes))])
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
		w.SetRunnerFaults(id, standin.RunnerFaults{})
	}
	for _, name := range w.Daemons() {
		w.Start(name)
	}
	time.Sleep(15 * time.Second)
}

// trouble makes one trouble, or ends those that there are.
func trouble(w *Cluster, r *rand.Rand, wave *int64) {
	ids, names := w.Runners(), w.Daemons()
	id, name := ids[r.IntN(len(ids))], names[r.IntN(len(names))]
	switch r.IntN(18) {
	case 0:
		w.Kill(name)
	case 1:
		w.Kill(w.Leader("s0"))
	case 2, 3:
		for _, n := range names {
			w.Start(n)
		}
	case 4:
		in, out := split(w, name)
		w.Net.Cut(in, out)
	case 5:
		w.Net.Cut([]netip.Addr{w.DaemonAddr(name)}, []netip.Addr{storeAt.Addr()})
	case 6:
		w.Net.Cut([]netip.Addr{w.RunnerAddr(id)}, places(w))
	case 7, 8:
		w.Net.Heal()
	case 9:
		all := []standin.StoreFaults{
			{Down: true},
			{Unresponsive: true},
			{LostReplyRate: 0.3},
			{DelayedCommitRate: 0.3},
			{ExtraLatency: 300 * time.Millisecond},
			{RejectFrom: map[netip.Addr]struct{}{w.DaemonAddr(name): {}}},
		}
		w.Store.SetFaults(all[r.IntN(len(all))])
	case 10:
		w.Store.SetFaults(standin.StoreFaults{})
		w.Store.Compact()
	case 11:
		w.CrashRunner(id, time.Duration(1+r.IntN(7))*time.Second)
	case 12:
		all := []standin.RunnerFaults{{FailRuns: true}, {StallRuns: true}, {SlowdownFactor: 5}, {DelayedOrderRate: 0.3}}
		w.SetRunnerFaults(id, all[r.IntN(len(all))])
	case 13:
		w.SetRunnerFaults(id, standin.RunnerFaults{})
		w.Net.Blackhole(w.DaemonAddr(name))
	case 14:
		w.Net.ResetConns(w.DaemonAddr(name))
		w.UpdateConfig()
	case 16:
		w.Store.SetFaults(standin.StoreFaults{})
		w.ExpireRunnerEntries()
	case 17:
		w.PowerCycle(time.Duration(200+r.IntN(2000)) * time.Millisecond)
	case 15:
		*wave++
		w.RequestWave(*wave, w.Machines.Names("s1"), 1, 20*time.Second)
	}
}

func places(w *Cluster) []netip.Addr {
	var list []netip.Addr
	for _, name := range w.Daemons() {
		list = append(list, w.DaemonAddr(name))
	}
	return list
}
