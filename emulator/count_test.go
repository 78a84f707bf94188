package emulator

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/standin"
)

// tinyShape is the shape of jobs of which a pool holds hundreds at the same time.
var tinyShape = JobShape{MaxSteps: 1, MaxWidth: 1, MeanMS: 800, CPU: 100}

// The runners answer no start and carry it out seconds later.
func TestCountIncludesJobsWhoseStartsNoRunnerHasConfirmed(t *testing.T) {
	runScenario(t, Small, 41, func(t *testing.T, c *Cluster) {
		for _, id := range c.Runners() {
			c.SetRunnerFaults(id, standin.RunnerFaults{DelayedOrderRate: 1})
		}
		submitEvenly(c, "s0", 40, time.Second, tinyShape)
		time.Sleep(6 * time.Second)
		for _, id := range c.Runners() {
			c.SetRunnerFaults(id, standin.RunnerFaults{})
		}
	})
}

// Daemons that can't reach the leader store jobs for it, and the slow store takes long for each that the leader loads.
func TestCountIncludesJobsThatTheLeaderHasNotLoaded(t *testing.T) {
	runScenario(t, Small, 42, func(t *testing.T, c *Cluster) {
		leader := c.Leader("s0")
		others := slices.DeleteFunc(daemonAddrs(c), func(a netip.Addr) bool { return a == c.DaemonAddr(leader) })
		cut(c, []netip.Addr{c.DaemonAddr(leader)}, others)
		for _, id := range c.Runners() {
			c.SetRunnerFaults(id, standin.RunnerFaults{StallRuns: true})
		}
		wire, job := c.NewBatchJob(JobShape{MaxSteps: 1, MaxWidth: 1, MeanMS: 800, CPU: 16000})
		c.Store.SetFaults(standin.StoreFaults{ExtraLatency: 300 * time.Millisecond})
		body, err := json.Marshal(wire)
		require.NoError(t, err)
		rng := c.newRand()
		for range 60 {
			id, sub := c.register("s0", job)
			c.wg.Go(func() {
				ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
				defer cancel()
				status, _, _ := c.requestTo(ctx, c.pickDaemon(rng, leader), "POST", "s0", string(id), body)
				c.Checker.SubmitAnswered(id, status == 200, false)
				c.pollUntilFinal(id, sub, c.newRand())
			})
		}
		time.Sleep(7 * time.Second)
		_, answered := c.askCount(c.daemons[leader], "s0")
		require.True(t, answered)
		c.Net.Heal()
		c.Store.SetFaults(standin.StoreFaults{})
		for _, id := range c.Runners() {
			c.SetRunnerFaults(id, standin.RunnerFaults{})
		}
		time.Sleep(20 * time.Second)
	})
}

// A leader that is cut off with its data centre goes on for seconds, while another daemon leads and accepts jobs.
func TestCountIsNotGivenByACutOffLeader(t *testing.T) {
	runScenario(t, Small, 43, func(t *testing.T, c *Cluster) {
		leader := c.Leader("s0")
		inside, outside := partitionByCentre(c, leader)
		cut(c, inside, outside)
		time.Sleep(2500 * time.Millisecond)
		for _, id := range c.Runners() {
			c.SetRunnerFaults(id, standin.RunnerFaults{StallRuns: true})
		}
		submitEvenly(c, "s0", 40, 500*time.Millisecond, JobShape{MaxSteps: 1, MaxWidth: 1, MeanMS: 400, CPU: 16000})
		for range 12 {
			time.Sleep(500 * time.Millisecond)
			c.askCount(c.daemons[leader], "s0")
		}
		c.Net.Heal()
		for _, id := range c.Runners() {
			c.SetRunnerFaults(id, standin.RunnerFaults{})
		}
		time.Sleep(20 * time.Second)
	})
}
