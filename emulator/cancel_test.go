package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// Behaviour of callers that cancel.
const (
	cancelShare    = 0.5             // of the accepted jobs
	maxCancelDelay = 6 * time.Second // after the acceptance
)

// A cancellation that was acknowledged, by the leader or by a daemon that stored it for the next leader, outlives any
// number of leaders, also while the store is silent or loses answers, and when the job is submitted once more.
// For a longer run: go test -run CancelledJobsNeverStart ./emulator -seeds 200.
func TestCancelledJobsNeverStart(t *testing.T) {
	seeds := []uint64{25, 29, 38} // a leader that regained the store started tasks before it had read the inbox
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, Small, 6000+seed, func(_ *testing.T, c *Cluster) { runCancellingCallers(c, seed) })
		})
	}
}

// runCancellingCallers submits more work than the pools hold, so that cancelled jobs have tasks that wait, while leaders
// are replaced and the store has outages.
func runCancellingCallers(c *Cluster, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 8))
	shape := JobShape{MaxSteps: 3, MaxWidth: 6, MeanMS: 1500, CPU: 6000}
	for range 120 {
		for _, service := range []string{"s0", "s1"} {
			if rng.IntN(2) == 0 {
				submitAndCancel(c, service, shape)
			}
		}
		if rng.IntN(3) == 0 {
			injectOutage(c, rng)
		}
		time.Sleep(250 * time.Millisecond)
	}
	repairAll(c)
	time.Sleep(30 * time.Second)
}

// submitAndCancel submits a job and may cancel it some time later; the job may then be submitted again.
func submitAndCancel(c *Cluster, service string, shape JobShape) {
	wire, job := c.NewBatchJob(shape)
	body := encodeJob(wire)
	id, sub := c.register(service, job)
	rng := c.newRand()
	c.wg.Go(func() {
		if !c.submitWithRetry(id, sub, body, rng) {
			return
		}
		if rng.Float64() > cancelShare || !c.sleep(time.Duration(rng.Int64N(int64(maxCancelDelay)))) {
			c.pollUntilFinal(id, sub, rng)
			return
		}
		for range 3 * maxTries {
			if c.Cancel(id) {
				break
			}
		}
		if c.sleep(time.Duration(rng.Int64N(int64(maxLateRepeat)))) && rng.Float64() < lateRepeatRate {
			status, _, _ := c.request(http.MethodPost, service, string(id), body, rng)
			c.Checker.SubmitAnswered(id, status == http.StatusOK, status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
		}
		c.pollUntilFinal(id, sub, rng)
	})
}
