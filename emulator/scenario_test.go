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
	verbose   = flag.Bool("loud", false, "show the daemons' logs")
	seedCount = flag.Int("seeds", 3, "number of seeds that TestRandomDays runs")
	firstSeed = flag.Uint64("first", 1, "first seed that TestRandomDays runs")
)

// cooldownTime is the time without load and faults before the final checks, so that accepted jobs can end.
const cooldownTime = 25 * time.Second

// batchShape is the shape of most emulated jobs.
var batchShape = JobShape{MaxSteps: 2, MaxWidth: 5, MeanMS: 800, CPU: 2000, FailingShare: 0.05}

// runScenario runs a scenario on a new cluster in a synctest bubble, and checks the invariants after cooldownTime.
func runScenario(t *testing.T, size Size, seed uint64, scenario func(t *testing.T, c *Cluster)) {
	t.Helper()
	drainSyncPools()
	synctest.Test(t, func(t *testing.T) {
		log := zap.NewNop()
		if *verbose {
			log = zaptest.NewLogger(t)
		}
		c := New(context.Background(), size, seed, log)
		defer synctest.Wait()
		defer c.Close()
		for _, name := range c.Daemons() {
			c.Start(name)
		}
		time.Sleep(4 * time.Second)
		c.wg.Go(c.askCounts)
		scenario(t, c)
		time.Sleep(cooldownTime)
		violations := c.Checker.Verify(c.State)
		stats := c.Stats()
		require.Empty(t, violations)
		require.Empty(t, c.Violations())
		require.Empty(t, c.storedKeys())
		require.Positive(t, stats.Done)
		starts, ends := c.Checker.RunCounts()
		t.Logf("%+v, %d starts, ends %v, store calls %v, keys %+v", stats, starts, ends, c.Store.CallCounts(), c.Checker.KeyUses())
	})
}

// drainSyncPools empties all sync.Pools: yamux pools timers, and a timer of one bubble must not be used in another.
func drainSyncPools() {
	runtime.GC() // the first collection moves pooled objects to the victim cache,
	runtime.GC() // the second one drops them
}

// submitEvenly submits jobs of a service at an even rate over a period and returns when the period is over.
func submitEvenly(c *Cluster, service string, count int, period time.Duration, shape JobShape) {
	for range count {
		wire, job := c.NewBatchJob(shape)
		c.Submit(service, wire, job)
		time.Sleep(period / time.Duration(count))
	}
}

func TestNoFaults(t *testing.T) {
	runScenario(t, Small, 1, func(t *testing.T, c *Cluster) {
		wire, job := c.NewLongRunningJob(3, 1, 3000)
		c.Submit("s0", wire, job)
		c.RequestWave(1, append(c.Machines.Names("s0"), c.Machines.Names("s1")...), 2, 25*time.Second)
		submitEvenly(c, "s0", 30, 10*time.Second, batchShape)
		c.UpdateConfig()
		submitEvenly(c, "s1", 30, 10*time.Second, batchShape)
		time.Sleep(15 * time.Second)
		require.True(t, c.WaveDone(1))
		stats := c.Stats()
		require.Equal(t, stats.Submitted, stats.Accepted)
	})
}

func TestCancelledJobStops(t *testing.T) {
	runScenario(t, Small, 2, func(t *testing.T, c *Cluster) {
		submitEvenly(c, "s0", 1, time.Second, batchShape)
		wire, job := c.NewLongRunningJob(3, 1, 3000)
		id := c.Submit("s0", wire, job)
		time.Sleep(3 * time.Second)
		require.True(t, c.Cancel(id))
		time.Sleep(3 * time.Second)
		require.Equal(t, work.Cancelled, c.State(id))
		_, ends := c.Checker.RunCounts()
		require.Equal(t, 3, ends[work.EndStopped])
	})
}

func TestLeaderIsKilled(t *testing.T) {
	runScenario(t, Small, 3, func(t *testing.T, c *Cluster) {
		wire, job := c.NewLongRunningJob(3, 1, 3000)
		c.Submit("s0", wire, job)
		submitEvenly(c, "s0", 10, 3*time.Second, batchShape)
		name := c.Leader("s0")
		c.Kill(name)
		submitEvenly(c, "s0", 20, 6*time.Second, batchShape)
		c.Start(name)
		require.NotEqual(t, name, c.Leader("s0"))
	})
}

// A daemon that stops releases its leases of leadership immediately. Its last heartbeat, which is still valid, must not
// keep other daemons from acquiring them.
func TestStoppedDaemonReleasesLeadership(t *testing.T) {
	runScenario(t, Small, 8, func(t *testing.T, c *Cluster) {
		submitEvenly(c, "s0", 10, 3*time.Second, batchShape)
		old := c.Leader("s0")
		go c.Stop(old)
		time.Sleep(1500 * time.Millisecond)
		require.NotEqual(t, old, c.Leader("s0"))
		submitEvenly(c, "s0", 10, 3*time.Second, batchShape)
		c.Start(old)
	})
}

func TestAllDaemonsAreKilled(t *testing.T) {
	runScenario(t, Small, 4, func(t *testing.T, c *Cluster) {
		wire, job := c.NewLongRunningJob(3, 1, 3000)
		c.Submit("s0", wire, job)
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
		for _, name := range c.Daemons() {
			c.Kill(name)
		}
		time.Sleep(time.Second)
		for _, name := range c.Daemons() {
			c.Start(name)
		}
		submitEvenly(c, "s0", 10, 4*time.Second, batchShape)
	})
}

// The leader is cut off together with some runners. Another daemon acquires the leadership and continues with the runs
// that it can reach. Neither side may start the tasks again that run beyond the cut.
func TestHolderIsCutOffWithSomeRunners(t *testing.T) {
	for seed := range uint64(4) {
		runScenario(t, Small, 10+seed, func(t *testing.T, c *Cluster) {
			wire, job := c.NewLongRunningJob(4, 1, 3000)
			c.Submit("s0", wire, job)
			submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
			leader := c.Leader("s0")
			inside, outside := partitionByCentre(c, leader)
			cut(c, inside, outside)
			submitEvenly(c, "s0", 30, 6*time.Second, batchShape)
			c.Net.Heal()
			submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
		})
	}
}

// partitionByCentre returns two groups of addresses: the daemon's data centre, and everything else including the store
// and the machine service.
func partitionByCentre(c *Cluster, daemon string) (inside, outside []netip.Addr) {
	centre := c.daemons[daemon].centre
	for _, name := range c.Daemons() {
		if node := c.daemons[name]; node.centre == centre {
			inside = append(inside, node.addr)
		} else {
			outside = append(outside, node.addr)
		}
	}
	for _, id := range c.Runners() {
		if server := c.runners[id]; server.runner.Centre == centre {
			inside = append(inside, server.runner.Addr.Addr())
		} else {
			outside = append(outside, server.runner.Addr.Addr())
		}
	}
	return inside, append(outside, storeAddr.Addr(), machinesAddr.Addr())
}

// A runner is lost permanently during a rolling restart of the daemons. Each new leader must learn from the previous
// one when the lost runner's lease ends; otherwise the runner's tasks are never started again.
func TestRunnerIsLostDuringRollingRestart(t *testing.T) {
	runScenario(t, Small, 5, func(t *testing.T, c *Cluster) {
		wire, job := c.NewLongRunningJob(4, 1, 3000)
		c.Submit("s0", wire, job)
		submitEvenly(c, "s0", 5, time.Second, batchShape)
		for id := range c.runners {
			if c.runners[id].runner.Service == "s0" {
				c.CrashRunner(id, time.Hour)
				break
			}
		}
		time.Sleep(3 * time.Second)
		for range 2 {
			for _, name := range c.Daemons() {
				c.Stop(name)
				c.Start(name)
				time.Sleep(2 * time.Second)
			}
		}
		submitEvenly(c, "s0", 5, 2*time.Second, batchShape)
	})
}

// The store has an outage and returns without the runners' expired entries, a data centre is cut off meanwhile, and
// right after that all daemons lose power. The new leaders have only the rows of the store and the runners to recover
// from.
func TestPowerLossAfterStoreOutageAndCut(t *testing.T) {
	runScenario(t, Small, 31, func(t *testing.T, c *Cluster) {
		for _, service := range []string{"s0", "s1"} {
			wire, job := c.NewLongRunningJob(3, 1, 3000)
			c.Submit(service, wire, job)
		}
		submitEvenly(c, "s0", 10, 3*time.Second, batchShape)
		c.Store.SetFaults(standin.StoreFaults{Down: true})
		submitEvenly(c, "s0", 6, 3*time.Second, batchShape)
		inside, outside := partitionByCentre(c, c.Leader("s0"))
		cut(c, inside, outside)
		time.Sleep(2 * time.Second)
		c.Store.SetFaults(standin.StoreFaults{})
		c.ExpireRunnerEntries()
		submitEvenly(c, "s1", 6, 2500*time.Millisecond, batchShape)
		c.Net.Heal()
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
		c.PowerCycle(800 * time.Millisecond)
		time.Sleep(3 * time.Second)
		submitEvenly(c, "s0", 5, time.Second, batchShape)
	})
}

func TestStoreFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults func(c *Cluster) standin.StoreFaults
	}{
		{"down", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{Down: true} }},
		{"unresponsive", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{Unresponsive: true} }},
		{"slow", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{ExtraLatency: 400 * time.Millisecond} }},
		{"loses replies", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{LostReplyRate: 0.3} }},
		{"commits late", func(*Cluster) standin.StoreFaults { return standin.StoreFaults{DelayedCommitRate: 0.3} }},
		{"rejects the leader", func(c *Cluster) standin.StoreFaults {
			return standin.StoreFaults{RejectFrom: map[netip.Addr]struct{}{c.DaemonAddr(c.Leader("s0")): {}}}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runScenario(t, Small, 6, func(t *testing.T, c *Cluster) {
				wire, job := c.NewLongRunningJob(3, 1, 3000)
				c.Submit("s0", wire, job)
				submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
				c.Store.SetFaults(tc.faults(c))
				submitEvenly(c, "s0", 20, 5*time.Second, batchShape)
				c.Store.SetFaults(standin.StoreFaults{})
				c.Store.Compact()
				submitEvenly(c, "s0", 10, 3*time.Second, batchShape)
			})
		})
	}
}

func TestRunnerFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults standin.RunnerFaults
	}{
		{"fails all runs", standin.RunnerFaults{FailRuns: true}},
		{"stalls runs", standin.RunnerFaults{StallRuns: true}},
		{"slow", standin.RunnerFaults{SlowdownFactor: 6}},
		{"executes orders late", standin.RunnerFaults{DelayedOrderRate: 0.3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runScenario(t, Small, 7, func(t *testing.T, c *Cluster) {
				submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
				ids := c.Runners()
				c.SetRunnerFaults(ids[0], tc.faults)
				c.SetRunnerFaults(ids[1], tc.faults)
				submitEvenly(c, "s0", 20, 6*time.Second, batchShape)
				c.SetRunnerFaults(ids[0], standin.RunnerFaults{})
				c.SetRunnerFaults(ids[1], standin.RunnerFaults{})
				submitEvenly(c, "s0", 10, 3*time.Second, batchShape)
			})
		})
	}
}
