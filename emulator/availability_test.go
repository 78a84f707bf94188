package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gypsumlead/standin"
)

// allowanceSite is a site whose long-running steps have some more tasks than may be away.
type allowanceSite struct {
	size         Size
	moreTasks    int
	drawnTasks   int // up to so many more, drawn
	maxPerServer int // no limit if 0
}

var (
	tightSite = allowanceSite{size: Small, moreTasks: 2, maxPerServer: 2}
	// wideSite has pools of which a wave evacuates several runners at a time.
	wideSite = allowanceSite{Size{Centres: []string{"c1", "c2"}, Daemons: 3, Services: 2, RunnersPerService: 12, SpareMachines: 3, CoresPerMachine: 8}, 3, 4, 0}
)

// No order takes a task that lasts below the allowance of its step, whatever befalls the leader, the coordinator and
// their calls in the middle of evacuations, maintenance waves and moves between pools.
// For a longer run: go test -run LongRunningTasksKeepTheirAllowance ./emulator -seeds 200.
func TestLongRunningTasksKeepTheirAllowance(t *testing.T) {
	type day struct {
		name string
		site allowanceSite
		seed uint64
	}
	days := []day{
		{"wide", wideSite, 23}, // a leader stopped a task while its predecessor's stop of another was under way
		{"wide", wideSite, 24}, // a coordinator that had lost its service ordered maintenance after a slow claim
		{"tight", tightSite, 2},
		{"tight", tightSite, 7}, // a task found no runner to the end: a wave waited for ever on an evacuated one
	}
	for i := range *seedCount {
		days = append(days, day{"wide", wideSite, *firstSeed + uint64(i)})
	}
	for _, d := range days {
		t.Run(fmt.Sprint(d.name, " seed ", d.seed), func(t *testing.T) {
			runScenario(t, d.site.size, 9000+d.seed, func(_ *testing.T, c *Cluster) { runWavesAndOutages(c, d.site, d.seed) })
		})
	}
}

// runWavesAndOutages runs long-running jobs of several allowances through waves and bursts of other work, while leaders
// are replaced, cut off and silent.
func runWavesAndOutages(c *Cluster, site allowanceSite, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 12))
	services := []string{"s0", "s1"}
	for _, service := range services {
		for mayMiss := 1; mayMiss <= 3; mayMiss++ {
			count := mayMiss + site.moreTasks
			if site.drawnTasks > 0 {
				count += rng.IntN(site.drawnTasks + 1)
			}
			wire, job := newLongRunningJob(count, mayMiss, standin.SpecStep{
				CPU: 1500, Mem: 100, LongRunning: true, StartupMS: 500 + rng.Int64N(2500), StopMS: 200,
			})
			wire.JobSteps[0].MaxPerServer = site.maxPerServer
			c.Submit(service, wire, job)
		}
	}
	time.Sleep(3 * time.Second)
	burst := JobShape{MaxSteps: 2, MaxWidth: 5, MeanMS: 1200, CPU: 4000}
	wave := int64(0)
	for tick := range 160 {
		if tick%40 == 0 {
			wave++
			service := services[rng.IntN(2)]
			c.RequestWave(wave, c.Machines.Names(service), 2+rng.IntN(4), 20*time.Second)
		}
		if busy := services[tick/30%2]; rng.IntN(3) == 0 {
			wire, job := c.NewBatchJob(burst)
			c.Submit(busy, wire, job)
		}
		if rng.IntN(4) == 0 {
			injectLeaderTrouble(c, rng, services[rng.IntN(2)])
		}
		time.Sleep(250 * time.Millisecond)
	}
	repairAll(c)
	time.Sleep(30 * time.Second)
}

// injectLeaderTrouble injects a fault that replaces or hinders a service's leader, or repairs earlier ones.
func injectLeaderTrouble(c *Cluster, rng *rand.Rand, service string) {
	leader, ids := c.Leader(service), c.Runners()
	if c.daemons[leader] == nil {
		return
	}
	id := ids[rng.IntN(len(ids))]
	storeFaults := []standin.StoreFaults{
		{LostReplyRate: 0.3},
		{DelayedCommitRate: 0.3},
		{ExtraLatency: 300 * time.Millisecond},
		{RejectFrom: map[netip.Addr]struct{}{c.DaemonAddr(leader): {}}},
	}
	switch rng.IntN(15) {
	case 0, 1:
		c.Kill(leader)
	case 2, 3:
		for _, name := range c.Daemons() {
			c.Start(name)
		}
	case 4:
		cut(c, []netip.Addr{c.DaemonAddr(leader)}, []netip.Addr{storeAddr.Addr()})
	case 5:
		cut(c, []netip.Addr{c.RunnerAddr(id)}, []netip.Addr{c.DaemonAddr(leader)})
	case 6:
		blackhole(c, c.DaemonAddr(leader))
	case 7:
		c.Store.SetFaults(storeFaults[rng.IntN(len(storeFaults))])
	case 8:
		c.SetRunnerFaults(id, standin.RunnerFaults{DelayedOrderRate: 0.3})
	case 9, 10:
		c.Net.Heal()
		c.Store.SetFaults(standin.StoreFaults{})
		for _, name := range c.Daemons() {
			c.Start(name)
		}
	case 11, 12, 13, 14:
		c.wg.Go(func() { restartWhileEvacuating(c) })
	}
}

// restartWhileEvacuating waits until a long-running task is being stopped, and then restarts the leader of its service,
// which hands its services over first.
func restartWhileEvacuating(c *Cluster) {
	for range 2000 {
		if id, ok := c.Checker.Evacuating(); ok {
			c.mu.Lock()
			service := c.jobs[id].service
			c.mu.Unlock()
			restartLeader(c, service)
			return
		}
		if !c.sleep(2 * time.Millisecond) {
			return
		}
	}
}

// restartLeader stops the leader of a service gracefully and starts it again a second later.
func restartLeader(c *Cluster, service string) {
	leader := c.Leader(service)
	if c.daemons[leader] == nil {
		return
	}
	c.Stop(leader)
	if c.sleep(time.Second) {
		c.Start(leader)
	}
}
