package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/api/oas"
	"gypsumlead/standin"
	"gypsumlead/work"
)

// capped returns a site with a workspace.
func capped(size Size) Size {
	size.Workspaces = 1
	return size
}

// setCap sets the cap of the workspace, in millicores.
func setCap(c *Cluster, cpu int64) { c.SetCap(0, work.Resources{CPU: cpu}) }

// submitCapped submits a job of the workspace.
func submitCapped(c *Cluster, service string, shape JobShape) work.ID {
	wire, job := c.NewBatchJob(shape)
	return c.SubmitAs(0, service, wire, job)
}

// watchUse records the most that all runners together had in use, in millicores, until stop is called.
func watchUse(c *Cluster) (stop func() int64) {
	most, done, ended := int64(0), make(chan struct{}), make(chan struct{})
	c.wg.Go(func() {
		defer close(ended)
		for {
			use := int64(0)
			c.mu.Lock()
			for _, server := range c.runners {
				use += server.runner.InUse().CPU
			}
			c.mu.Unlock()
			most = max(most, use)
			select {
			case <-done:
				return
			case <-c.ctx.Done():
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	return func() int64 {
		close(done)
		<-ended
		return most
	}
}

// requireListed checks that exactly one daemon, the granter, tells operators what the capped workspace uses, and that they are
// told why a job waits.
func requireListed(t *testing.T, c *Cluster, limit int64, waiting work.ID) {
	var list []oas.Workspace
	var trail []string
	for _, name := range c.Daemons() {
		client, err := oas.NewClient("http://"+netip.AddrPortFrom(c.daemons[name].addr, portReady).String(), oas.WithClient(c.http))
		require.NoError(t, err)
		got, err := client.ListWorkspaces(t.Context())
		require.NoError(t, err)
		list = append(list, got...)
		lines, err := client.GetTrail(t.Context(), oas.GetTrailParams{ID: string(waiting)})
		require.NoError(t, err)
		trail = append(trail, lines...)
	}
	require.Contains(t, strings.Join(trail, "\n"), `"why":"cap"`)
	require.Len(t, list, 1)
	require.Equal(t, WorkspaceName(0), list[0].Name)
	require.Equal(t, limit, list[0].Cap.CPU)
	require.Positive(t, list[0].Waiting.CPU)
	require.LessOrEqual(t, list[0].Running.CPU, list[0].Granted.CPU)
	require.LessOrEqual(t, list[0].Granted.CPU, limit)
}

// The workspace wants far more than its cap on two services, and leaders and granter are killed meanwhile: what a lost
// leader's runs use and what a lost granter gave must go on counting, and all jobs must still end. Then the cap is lowered.
func TestCapBindsWhileLeadersAreKilled(t *testing.T) {
	for _, lost := range []string{"s0", spareService} {
		t.Run(lost, func(t *testing.T) {
			runScenario(t, capped(Small), 61, func(t *testing.T, c *Cluster) {
				const limit, task = 24_000, 2000
				c.keepTrail = true
				for _, name := range c.Daemons() {
					c.Stop(name)
					c.Start(name)
				}
				setCap(c, limit)
				time.Sleep(5 * time.Second)
				stop := watchUse(c)
				shape := JobShape{MaxSteps: 2, MaxWidth: 5, MeanMS: 800, CPU: task}
				var jobs []work.ID
				for i := range 100 {
					jobs = append(jobs, submitCapped(c, serviceName(i%2), shape))
					time.Sleep(50 * time.Millisecond)
					if i == 40 {
						requireListed(t, c, limit, jobs[i-1])
					}
					if i == 50 {
						name := c.Leader(lost)
						c.Kill(name)
						c.wg.Go(func() {
							c.sleep(10 * time.Second)
							c.Start(name)
						})
					}
				}
				time.Sleep(5 * time.Second)
				most := stop()
				setCap(c, limit/2)
				time.Sleep(5 * time.Second) // until the version is in force everywhere, and the tasks of before have ended
				stop = watchUse(c)
				time.Sleep(50 * time.Second)
				lowered := stop()
				t.Logf("at most %d millicores of %d, then %d of %d", most, limit, lowered, limit/2)
				require.LessOrEqual(t, most, int64(limit*11/10+task))
				require.GreaterOrEqual(t, most, int64(limit*3/4), "the cap is used")
				require.LessOrEqual(t, lowered, int64(limit/2*11/10+task))
				require.Equal(t, len(jobs), countDone(c, jobs))
			})
		})
	}
}

// Random faults of every kind, several at a time, while a workspace wants more than its cap on two services. For a longer run:
// go test ./emulator -run CapHoldsOnRandomDays -seeds 100.
func TestCapHoldsOnRandomDays(t *testing.T) {
	seeds := []uint64{8026} // a daemon that started while the store was silent took over from live leaders
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, capped(Small), seed, func(t *testing.T, c *Cluster) {
				const limit, task = 24_000, 2000
				setCap(c, limit)
				time.Sleep(time.Second)
				stop := watchUse(c)
				rng, wave := rand.New(rand.NewPCG(seed, 98)), int64(0)
				for i := range 60 {
					submitCapped(c, serviceName(i%2), JobShape{MaxSteps: 2, MaxWidth: 6, MeanMS: 1200, CPU: task, FailingShare: 0.05})
					if rng.IntN(3) == 0 {
						injectRandomFault(c, rng, &wave)
					}
					time.Sleep(400 * time.Millisecond)
				}
				repairAll(c)
				time.Sleep(40 * time.Second)
				most := stop()
				t.Logf("at most %d millicores of %d", most, limit)
				require.LessOrEqual(t, most, int64(limit*11/10+task))
			})
		})
	}
}

// Portions of a cap are out while the store is silent for 10 s: leaders and granter go on without it, and must neither exceed
// the cap by what they can't store nor keep what they were granted for good.
func TestCapHoldsWhileTheStoreIsAway(t *testing.T) {
	runScenario(t, capped(Small), 64, func(t *testing.T, c *Cluster) {
		const limit, task = 24_000, 2000
		setCap(c, limit)
		time.Sleep(5 * time.Second)
		stop := watchUse(c)
		var jobs []work.ID
		submit := func(count int) {
			for i := range count {
				jobs = append(jobs, submitCapped(c, serviceName(i%2), JobShape{MaxSteps: 2, MaxWidth: 5, MeanMS: 800, CPU: task}))
				time.Sleep(50 * time.Millisecond)
			}
		}
		submit(60)
		c.Store.SetFaults(standin.StoreFaults{Unresponsive: true})
		time.Sleep(10 * time.Second)
		c.Store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		submit(30)
		time.Sleep(30 * time.Second)
		most := stop()
		t.Logf("at most %d millicores of %d", most, limit)
		require.LessOrEqual(t, most, int64(limit*11/10+task))
		require.GreaterOrEqual(t, most, int64(limit*3/4), "the cap is used")
		require.Equal(t, len(jobs), countDone(c, jobs))
	})
}
