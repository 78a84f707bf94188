package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gypsumlead/standin"
)

// Random faults occur at random moments, also several at a time.
// For a longer run: go test -run RandomDays ./emulator -seeds 200.
func TestRandomDays(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, randomSite(seed), seed, func(t *testing.T, c *Cluster) { runRandomFaults(t, c, seed) })
		})
	}
}

// Guards against tasks that start twice when runners restart under their IDs and are cut off soon after, beside other faults.
func TestRandomDaysOfRestarts(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, randomSite(seed), seed, func(t *testing.T, c *Cluster) {
				c.wg.Go(func() { restartAndCutRunners(c, seed) })
				runRandomFaults(t, c, seed)
				time.Sleep(time.Minute) // long tasks may have waited for room, behind others
			})
		})
	}
}

// restartAndCutRunners twice restarts some runners of s0 with long tasks under their IDs, and cuts them off soon after.
func restartAndCutRunners(c *Cluster, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 98))
	for range 2 {
		time.Sleep(3 * time.Second)
		submitEvenly(c, "s0", 8, 2*time.Second, longShape)
		var ids []string
		for _, id := range c.Runners() {
			if rng.IntN(3) == 0 {
				ids = append(ids, id)
				c.CrashRunner(id, longDowntime)
			}
		}
		submitEvenly(c, "s0", 8, longDowntime+2*time.Second, longShape)
		cutOff(c, ids)
		time.Sleep(6 * time.Second)
	}
}

// runRandomFaults generates half a minute of load with a fault or a repair about every second, and then repairs
// everything.
func runRandomFaults(t *testing.T, c *Cluster, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	for _, service := range []string{"s0", "s1"} {
		wire, job := c.NewLongRunningJob(3, 1, 3000)
		c.Submit(service, wire, job)
	}
	shapes := []JobShape{batchShape, {MaxSteps: 3, MaxWidth: 4, MeanMS: 600, CPU: 3000, Checkpointing: true}}
	wave := int64(0)
	for range 60 {
		for _, service := range []string{"s0", "s1"} {
			for range rng.IntN(3) {
				wire, job := c.NewBatchJob(shapes[rng.IntN(len(shapes))])
				c.Submit(service, wire, job)
			}
		}
		if rng.IntN(2) == 0 {
			injectRandomFault(c, rng, &wave)
		}
		time.Sleep(500 * time.Millisecond)
	}
	repairAll(c)
	time.Sleep(15 * time.Second)
}

// repairAll repairs all faults and starts the daemons that are down.
func repairAll(c *Cluster) {
	c.Net.Heal()
	c.Store.SetFaults(standin.StoreFaults{})
	for _, id := range c.Runners() {
		c.SetRunnerFaults(id, standin.RunnerFaults{})
	}
	for _, name := range c.Daemons() {
		c.Start(name)
	}
}

// injectRandomFault injects one fault, repairs earlier ones or requests a maintenance wave.
func injectRandomFault(c *Cluster, rng *rand.Rand, wave *int64) {
	ids, names := c.Runners(), c.Daemons()
	id, name := ids[rng.IntN(len(ids))], names[rng.IntN(len(names))]
	switch rng.IntN(18) {
	case 0:
		c.Kill(name)
	case 1:
		c.Kill(c.Leader("s0"))
	case 2, 3:
		for _, daemon := range names {
			c.Start(daemon)
		}
	case 4:
		inside, outside := partitionByCentre(c, name)
		cut(c, inside, outside)
	case 5:
		cut(c, []netip.Addr{c.DaemonAddr(name)}, []netip.Addr{storeAddr.Addr()})
	case 6:
		cut(c, []netip.Addr{c.RunnerAddr(id)}, daemonAddrs(c))
	case 7, 8:
		c.Net.Heal()
	case 9:
		faults := []standin.StoreFaults{
			{Down: true},
			{Unresponsive: true},
			{LostReplyRate: 0.3},
			{DelayedCommitRate: 0.3},
			{ExtraLatency: 300 * time.Millisecond},
			{RejectFrom: map[netip.Addr]struct{}{c.DaemonAddr(name): {}}},
		}
		c.Store.SetFaults(faults[rng.IntN(len(faults))])
	case 10:
		c.Store.SetFaults(standin.StoreFaults{})
		c.Store.Compact()
	case 11:
		c.CrashRunner(id, time.Duration(1+rng.IntN(7))*time.Second)
	case 12:
		faults := []standin.RunnerFaults{{FailRuns: true}, {StallRuns: true}, {SlowdownFactor: 5}, {DelayedOrderRate: 0.3}}
		c.SetRunnerFaults(id, faults[rng.IntN(len(faults))])
	case 13:
		c.SetRunnerFaults(id, standin.RunnerFaults{})
		blackhole(c, c.DaemonAddr(name))
	case 14:
		c.Net.ResetConns(c.DaemonAddr(name))
		c.UpdateConfig()
	case 16:
		c.Store.SetFaults(standin.StoreFaults{})
		c.ExpireRunnerEntries()
	case 17:
		c.PowerCycle(time.Duration(200+rng.IntN(2000)) * time.Millisecond)
	case 15:
		*wave++
		c.RequestWave(*wave, c.Machines.Names("s1"), 1, 20*time.Second)
	}
}

// daemonAddrs returns the addresses of all daemons.
func daemonAddrs(c *Cluster) []netip.Addr {
	var list []netip.Addr
	for _, name := range c.Daemons() {
		list = append(list, c.DaemonAddr(name))
	}
	return list
}

// randomSite returns the site of a random day: on every other one callers need keys, and daemons out of contact with the
// store refuse them on every fourth.
func randomSite(seed uint64) Size {
	size := Small
	if seed%2 == 0 {
		size.Workspaces = 3
		size.StrictRevocation = seed%4 == 0
	}
	return size
}
