package emulator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// unguarded is a small site whose runners start whatever they are told.
func unguarded() Size {
	size := Small
	size.Unguarded = true
	return size
}

// runnersOf returns the sorted IDs of a service's runners.
func runnersOf(c *Cluster, service string) []string {
	var ids []string
	for _, id := range c.Runners() {
		if c.runners[id].runner.Service == service {
			ids = append(ids, id)
		}
	}
	return ids
}

// setCores gives a runner the given number of cores, and memory in proportion.
func setCores(c *Cluster, id string, cores int64) {
	c.SetRunnerRoom(id, work.Resources{CPU: cores * 1000, Mem: cores * 4096})
}

// resizeRunner changes the room of a random runner of a service, down to a quarter of its machine.
func resizeRunner(c *Cluster, rng *rand.Rand, service string) {
	ids := runnersOf(c, service)
	setCores(c, ids[rng.IntN(len(ids))], c.size.CoresPerMachine*(1+rng.Int64N(4))/4)
}

// overload submits more jobs than the service's runners have room for, and cancels some of them a little later.
func overload(c *Cluster, rng *rand.Rand, service string) {
	for range 1 + rng.IntN(3) {
		wire, job := c.NewBatchJob(JobShape{MaxSteps: 2, MaxWidth: 5, MeanMS: 800, CPU: 4000, FailingShare: 0.05, Checkpointing: true})
		id := c.Submit(service, wire, job)
		if rng.IntN(3) == 0 {
			delay := time.Duration(500+rng.IntN(2000)) * time.Millisecond
			c.wg.Go(func() {
				if c.sleep(delay) {
					c.Cancel(id)
				}
			})
		}
	}
}

func TestStartsExceedRoomThatShrinksWhileLeadersAreReplaced(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, unguarded(), 60+seed, func(t *testing.T, c *Cluster) {
				rng := rand.New(rand.NewPCG(seed, 60))
				wire, job := c.NewLongRunningJob(4, 1, 3000)
				c.Submit("s0", wire, job)
				for n := range 40 {
					overload(c, rng, "s0")
					resizeRunner(c, rng, "s0")
					if n%8 == 7 {
						name := c.Leader("s0")
						c.Kill(name)
						time.AfterFunc(2*time.Second, func() { c.Start(name) })
					}
					time.Sleep(500 * time.Millisecond)
				}
				for _, id := range runnersOf(c, "s0") {
					setCores(c, id, c.size.CoresPerMachine)
				}
				time.Sleep(10 * time.Second)
				starts, _ := c.Checker.RunCounts()
				require.Greater(t, starts, 100)
			})
		})
	}
}

// Jobs are cancelled while nobody leads. The next leader finds their runs, which take a while to stop.
func TestStartsTakeRoomOfCancelledRunsAfterLeaderIsKilled(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, unguarded(), 70+seed, func(t *testing.T, c *Cluster) {
				var ids []work.ID
				for range 30 {
					wire, job := c.NewBatchJob(JobShape{MaxSteps: 1, MaxWidth: 1, MeanMS: 3000, CPU: 8000})
					ids = append(ids, c.Submit("s0", wire, job))
				}
				time.Sleep(1500 * time.Millisecond)
				name := c.Leader("s0")
				c.Kill(name)
				for _, id := range ids[:15] {
					c.wg.Go(func() { c.Cancel(id) })
				}
				time.Sleep(6 * time.Second)
				c.Start(name)
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Daemons that aren't to lead don't follow the runners' list. All others are killed while that list can't be read.
func TestDaemonThatDidNotFollowRunnersStartsByTheirOldRooms(t *testing.T) {
	size := unguarded()
	size.Daemons, size.Services, size.SpareMachines = 9, 1, 0
	runScenario(t, size, 80, func(t *testing.T, c *Cluster) {
		submitEvenly(c, "s0", 4, 2*time.Second, batchShape)
		for _, id := range runnersOf(c, "s0") {
			setCores(c, id, c.size.CoresPerMachine/4)
		}
		time.Sleep(8 * time.Second)
		c.Store.SetFaults(standin.StoreFaults{ResetPartitions: map[string]struct{}{"": {}}})
		c.Store.Compact()
		for _, name := range c.Daemons()[:6] {
			c.Kill(name)
		}
		time.Sleep(6 * time.Second)
		submitEvenly(c, "s0", 10, 6*time.Second, JobShape{MaxSteps: 1, MaxWidth: 4, MeanMS: 1500, CPU: 3000})
		c.Store.SetFaults(standin.StoreFaults{})
		for _, id := range runnersOf(c, "s0") {
			setCores(c, id, c.size.CoresPerMachine)
		}
		time.Sleep(5 * time.Second)
		require.Contains(t, []string{"e7", "e8", "e9"}, c.Leader("s0"))
	})
}
