package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/standin"
)

// rejectTime is how long the store rejects daemons in these tests.
const rejectTime = 7 * time.Second

// tries are the answers to jobs that were each submitted once.
type tries struct {
	mu     sync.Mutex
	status map[int]int
	took   []time.Duration
}

// submitOnce submits jobs at an even rate over a period, one try each at a random daemon, and returns the answers.
func submitOnce(c *Cluster, service string, count int, period time.Duration) *tries {
	result := &tries{status: map[int]int{}}
	var wg sync.WaitGroup
	for range count {
		wire, job := c.NewBatchJob(batchShape)
		body, err := json.Marshal(wire)
		if err != nil {
			panic(err) // values made by the emulator always encode
		}
		id, sub := c.register(service, job)
		rng := c.newRand()
		wg.Go(func() {
			start := time.Now()
			status, header, _ := c.request(http.MethodPost, service, string(id), body, rng)
			result.mu.Lock()
			result.status[status]++
			result.took = append(result.took, time.Since(start))
			result.mu.Unlock()
			c.Checker.SubmitAnswered(id, status == http.StatusOK, header.Get("Retry-After") != "")
			if status == http.StatusOK {
				c.wg.Go(func() { c.pollUntilFinal(id, sub, rng) })
			}
		})
		time.Sleep(period / time.Duration(count))
	}
	wg.Wait()
	slices.Sort(result.took)
	return result
}

// String summarizes the answers.
func (r *tries) String() string {
	n := len(r.took)
	return fmt.Sprintf("answers %v, took %v median, %v at most", r.status, r.took[n/2], r.took[n-1])
}

func rejectFrom(by standin.Rejection, addrs ...netip.Addr) standin.StoreFaults {
	from := map[netip.Addr]struct{}{}
	for _, a := range addrs {
		from[a] = struct{}{}
	}
	return standin.StoreFaults{RejectFrom: from, RejectBy: by}
}

var rejections = map[string]standin.Rejection{
	"503": standin.RejectByStatus, "429": standin.RejectAsBusy, "resets": standin.RejectByReset, "silence": standin.RejectBySilence,
}

// The store rejects the leader of a service and serves the others. The leader must go on through a carrier, within the
// time in which the others would take its lease, and callers must hardly notice.
func TestRejectedLeaderGoesOn(t *testing.T) {
	for name, by := range rejections {
		t.Run(name, func(t *testing.T) {
			runScenario(t, Small, 41, func(t *testing.T, c *Cluster) {
				submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
				leader := c.Leader("s0")
				c.Store.SetFaults(rejectFrom(by, c.DaemonAddr(leader)))
				result := submitOnce(c, "s0", 70, rejectTime)
				during := c.Leader("s0")
				c.Store.SetFaults(standin.StoreFaults{})
				after := submitOnce(c, "s0", 20, 2*time.Second)
				t.Logf("rejected: %v; leader changed: %v; after: %v", result, during != leader, after)
			})
		})
	}
}

// The store rejects a third of the daemons.
func TestThirdOfTheDaemonsRejected(t *testing.T) {
	for name, by := range rejections {
		t.Run(name, func(t *testing.T) {
			runScenario(t, Typical, 42, func(t *testing.T, c *Cluster) {
				submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
				names := []string{c.Leader("s0"), "e4", "e7"}
				var addrs []netip.Addr
				for _, n := range names {
					addrs = append(addrs, c.DaemonAddr(n))
				}
				c.Store.SetFaults(rejectFrom(by, addrs...))
				result := submitOnce(c, "s0", 70, rejectTime)
				for _, n := range names {
					require.True(t, isReady(t, c, n), n)
				}
				c.Store.SetFaults(standin.StoreFaults{})
				after := submitOnce(c, "s0", 20, 2*time.Second)
				t.Logf("rejected: %v; leader changed: %v; after: %v", result, c.Leader("s0") != names[0], after)
			})
		})
	}
}
