package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gypsumlead/standin"
)

// maxCancels is how often a caller repeats a cancellation that isn't acknowledged.
const maxCancels = 30

// submitAndLeave submits a job that lasts, leaves after a time without an answer, and cancels the job at another daemon until that is
// acknowledged: with 200, or 410 as there is no such job. The submission may then arrive once more.
func submitAndLeave(c *Cluster, queue string, patience time.Duration, between func(taker string)) {
	wire, job := c.NewLongRunningJob(2, 1, 500)
	body := encodeJob(wire)
	id, sub := c.register(queue, job)
	rng := c.newRand()
	c.wg.Go(func() {
		taker := c.pickDaemon(rng, "")
		if taker == nil {
			return
		}
		accepted := c.submitOnce(taker, queue, id, body, patience) == http.StatusOK
		between(taker.name)
		acked := 0
		for range maxCancels {
			c.Checker.CancelSent(id)
			status, _, _ := c.request(http.MethodDelete, queue, string(id), nil, rng)
			if status == http.StatusOK || status == http.StatusGone {
				acked = status
				break
			}
			if !c.sleep(retryDelay) {
				return
			}
		}
		if acked == 0 {
			// Nobody has acknowledged it, so the job may run until somebody does.
			return
		}
		c.Checker.CancelAcked(id)
		for range rng.IntN(4) {
			if !c.sleep(time.Duration(rng.IntN(4000)) * time.Millisecond) {
				return
			}
			accepted = c.submitOnce(c.pickDaemon(rng, ""), queue, id, body, requestTimeout) == http.StatusOK || accepted
		}
		if accepted {
			c.pollUntilFinal(id, sub, rng)
		}
	})
}

// Guards against a job that runs though its caller was told that it is cancelled, or that there is none: its submission was on its way
// to the store, waited in a leader or in a daemon, or arrives once more.
func TestCancelledJobNeverRunsThoughItsSubmissionArrivesLater(t *testing.T) {
	for i, scenario := range []struct {
		name    string
		faults  standin.StoreFaults
		between func(c *Cluster, taker string) // after the caller has left
	}{
		{"writes are late", standin.StoreFaults{DelayedCommitRate: 0.35}, func(*Cluster, string) {}},
		{"answers are lost", standin.StoreFaults{LostReplyRate: 0.35}, func(*Cluster, string) {}},
		{"the store is slow", standin.StoreFaults{ExtraLatency: 300 * time.Millisecond}, func(*Cluster, string) {}},
		{"the store is silent", standin.StoreFaults{Unresponsive: true}, func(c *Cluster, _ string) { c.sleep(time.Second) }},
		{"writes are late, and the daemon that took the job is killed", standin.StoreFaults{DelayedCommitRate: 0.35}, killAndStart},
		{"writes are late, and the leader is killed", standin.StoreFaults{DelayedCommitRate: 0.35}, func(c *Cluster, _ string) { killAndStart(c, c.Leader("s0")) }},
		{"writes are late, and the queue moves", standin.StoreFaults{DelayedCommitRate: 0.35}, func(c *Cluster, taker string) {
			sendQueue(c, "s0", map[string]string{"e1": "s0", "e2": "s1", "e3": "s0"}[taker])
		}},
	} {
		for _, workspaces := range []int{0, 2} {
			t.Run(fmt.Sprint(scenario.name, ", ", workspaces, " workspaces"), func(t *testing.T) {
				size := Small
				size.SteadyConfig, size.Workspaces = true, workspaces
				runScenario(t, size, uint64(180+i), func(_ *testing.T, c *Cluster) {
					rng := rand.New(rand.NewPCG(uint64(i), 5))
					submitEvenly(c, "s0", 4, time.Second, batchShape)
					for range 5 {
						c.Store.SetFaults(scenario.faults)
						for n := range 4 {
							between := func(string) {}
							if n == 3 {
								between = func(taker string) { scenario.between(c, taker) }
							}
							submitAndLeave(c, "s0", time.Duration(50+rng.IntN(900))*time.Millisecond, between)
							time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
						}
						time.Sleep(3 * time.Second)
						c.Store.SetFaults(standin.StoreFaults{})
						time.Sleep(2 * time.Second)
					}
					time.Sleep(25 * time.Second)
				})
			})
		}
	}
}

// killAndStart kills a daemon and starts it again half a second later.
func killAndStart(c *Cluster, name string) {
	c.Kill(name)
	c.wg.Go(func() {
		if c.sleep(500 * time.Millisecond) {
			c.Start(name)
		}
	})
}

// Callers leave early and cancel, while daemons and the store have random troubles and queues move.
// For a longer run: go test ./emulator -run RandomDaysOfCancellations -seeds 50.
func TestRandomDaysOfCancellations(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, randomSite(seed), seed, func(_ *testing.T, c *Cluster) {
				rng := rand.New(rand.NewPCG(seed, 96))
				submitEvenly(c, "s0", 4, time.Second, batchShape)
				runMovingQueues(c, rng, 12, func(n int, queue string) {
					submitAndLeave(c, queue, time.Duration(50+rng.IntN(1500))*time.Millisecond, func(string) {})
					if n%5 == 0 {
						submitAndCancel(c, queue, batchShape)
					}
				})
			})
		})
	}
}
