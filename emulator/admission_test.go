package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// floodShape is the shape of jobs of which some hundred are more than all machines can process in time.
var floodShape = JobShape{MaxSteps: 1, MaxWidth: 8, MeanMS: 1000, CPU: 2000}

// floodedSize is the size of a site with five machines.
var floodedSize = Size{Centres: []string{"c1", "c2"}, Daemons: 3, Services: 2, RunnersPerService: 2, SpareMachines: 1, CoresPerMachine: 16}

// configureWorkspaces writes a configuration with a workspace, whose routes need no key.
func configureWorkspaces(c *Cluster) {
	c.mu.Lock()
	c.config.Version += 3
	data, err := json.Marshal(c.config)
	c.mu.Unlock()
	if err != nil {
		panic(err) // values made by the emulator always encode
	}
	var row map[string]any
	if err := json.Unmarshal(data, &row); err != nil {
		panic(err)
	}
	row["Tenants"] = []map[string]any{{"Name": "w", "ApiKeys": []string{"key"}, "Weight": 10}}
	for _, route := range row["Routes"].([]any) {
		route.(map[string]any)["Public"] = true
	}
	c.Store.Put("op", "config", row)
}

// Guards against refusals for lack of capacity that aren't true of every try: with several times what all machines can
// process, and daemons that are cut off, killed and restarted while callers repeat tries and come back after a refusal, a
// job whose last answer was a refusal never runs, and none is refused after its acceptance.
func TestRefusedForLackOfCapacityNeverRun(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runScenario(t, floodedSize, 7000+seed, func(t *testing.T, c *Cluster) {
				configureWorkspaces(c)
				time.Sleep(time.Second)
				var refusals atomic.Int64
				rng := rand.New(rand.NewPCG(seed, 8))
				for n := range 350 {
					submitReturning(c, &refusals)
					if n%60 == 59 {
						injectOutage(c, rng)
					}
					time.Sleep(30 * time.Millisecond)
				}
				c.Net.Heal()
				c.Store.SetFaults(standin.StoreFaults{})
				for _, name := range c.Daemons() {
					c.Start(name)
				}
				time.Sleep(100 * time.Second) // until all accepted work is done; 60 s were too short on one of 12 seeds
				require.Positive(t, refusals.Load())
				t.Logf("%d answers with 429", refusals.Load())
			})
		})
	}
}

// submitReturning submits a job whose caller repeats tries without a reply, and mostly tries again after a refusal.
func submitReturning(c *Cluster, refusals *atomic.Int64) {
	wire, job := c.NewBatchJob(floodShape)
	body, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	id, sub := c.register("s0", job)
	rng := c.newRand()
	c.wg.Go(func() {
		last := ""
		for range 2 * maxTries {
			node := c.pickDaemon(rng, last)
			if node != nil {
				last = node.name
			}
			status, wait := tryReturning(c, node, id, body, rng)
			refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
			c.Checker.SubmitAnswered(id, status == http.StatusOK, refused)
			if status == http.StatusOK {
				c.mu.Lock()
				sub.accepted = true
				c.mu.Unlock()
				c.pollUntilFinal(id, sub, rng)
				return
			}
			if status == http.StatusTooManyRequests {
				refusals.Add(1)
			}
			if refused && rng.IntN(3) == 0 || !c.sleep(max(wait, repeatInterval)) {
				return
			}
		}
	})
}

// tryReturning submits a job to a daemon, or to none, and returns the status, 0 without a reply, and the Retry-After.
func tryReturning(c *Cluster, node *daemonNode, id work.ID, body []byte, rng *rand.Rand) (int, time.Duration) {
	patience := minPatience + time.Duration(rng.Int64N(int64(requestTimeout-minPatience)))
	ctx, cancel := context.WithTimeout(c.ctx, patience)
	defer cancel()
	status, header, _ := c.requestTo(ctx, node, http.MethodPost, "s0", string(id), body)
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		return status, 0
	}
	return status, time.Duration(seconds) * time.Second
}
