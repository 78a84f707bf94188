package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// heldDay is a day on which a data centre's runners restart under their IDs, are cut off soon after by links that hold what is sent
// meanwhile, and restart once more behind the cut.
type heldDay struct {
	name        string
	cutAfter    time.Duration // from the first restart
	crashAfter  time.Duration // from the cut
	heldFor     time.Duration
	crashBehind bool
	lose        func(c *Cluster, leader string) // what happens to the leader at the cut
}

// play plays a day with the given seed.
func (d heldDay) play(t *testing.T, seed uint64) {
	size := Size{Centres: []string{"c1", "c2", "c3"}, Daemons: 3, Services: 1, RunnersPerService: 12, CoresPerMachine: 16, SteadyConfig: true}
	runScenario(t, size, seed, func(_ *testing.T, c *Cluster) {
		rng := rand.New(rand.NewPCG(seed, 97))
		for range 2 {
			submitSpread(c, 6, 2*time.Second)
			ids := runnersIn(c, c.size.Centres[0])
			for _, id := range ids {
				c.CrashRunner(id, longDowntime)
			}
			submitSpread(c, 6, longDowntime+d.cutAfter)
			time.Sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
			if d.lose != nil {
				d.lose(c, c.Leader("s0"))
			}
			holdOff(c, ids)
			submitSpread(c, 10, time.Second) // while the leader takes the runners for reachable
			time.Sleep(d.crashAfter - time.Second)
			if d.crashBehind {
				for _, id := range ids {
					c.CrashRunner(id, longDowntime)
				}
			}
			time.Sleep(d.heldFor - d.crashAfter)
			repairAll(c)
			time.Sleep(4 * time.Second)
		}
		time.Sleep(20 * time.Second)
	})
}

// submitSpread submits jobs of long tasks, each of which is on a runner of its own, at an even rate.
func submitSpread(c *Cluster, count int, period time.Duration) {
	for range count {
		spec := standin.Spec{Steps: []standin.SpecStep{{RunMS: 15000, CPU: 500, Mem: 100}}}
		wire := wireJob{Spec: spec.Text(), JobSteps: []wireStep{{Count: 8, CPU: 500, MemMb: 100, EstimateMs: 15000, MaxPerServer: 1}}}
		c.Submit("s0", wire, work.Job{Spec: wire.Spec, Steps: []work.Step{{Count: 8}}})
		time.Sleep(period / time.Duration(count))
	}
}

// holdOff holds the links of runners to all daemons and the store.
func holdOff(c *Cluster, ids []string) {
	var addrs []netip.Addr
	for _, id := range ids {
		addrs = append(addrs, c.RunnerAddr(id))
	}
	synctest.Wait()
	c.Net.Hold(addrs, append(daemonAddrs(c), storeAddr.Addr()))
}

// Guards against a task that runs twice because the network holds its start for as long as a cut, and the runner's next life carries it
// out.
func TestStartThatACutHoldsIsNotCarriedOutBesideAnother(t *testing.T) {
	for _, d := range []heldDay{
		{"restart and cut", 2 * time.Second, 2 * time.Second, 9600 * time.Millisecond, false, nil},
		{"crash behind the cut", 2 * time.Second, 2 * time.Second, 9600 * time.Millisecond, true, nil},
		{"crash late behind the cut", 300 * time.Millisecond, 7 * time.Second, 9600 * time.Millisecond, true, nil},
	} {
		for i := range *seedCount {
			seed := *firstSeed + uint64(i)
			t.Run(fmt.Sprint(d.name, ", seed ", seed), func(t *testing.T) { d.play(t, 300+seed) })
		}
	}
}

// Guards against the same on days whose moments and losses of the leader are random.
func TestStartsThatCutsHoldOnRandomDays(t *testing.T) {
	losses := []func(*Cluster, string){nil, nil, killLeader, stopLeader, replaceProcess, isolateLeader}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		rng := rand.New(rand.NewPCG(seed, 96))
		between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
		d := heldDay{
			name: "random", cutAfter: between(100*time.Millisecond, 3*time.Second), crashAfter: between(time.Second, 9*time.Second),
			heldFor: between(9*time.Second, 13*time.Second), crashBehind: rng.IntN(3) > 0, lose: losses[rng.IntN(len(losses))],
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { d.play(t, 400+seed) })
	}
}
