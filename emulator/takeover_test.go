package emulator

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// maxTakeover is how long a service may stand still after its leader has been lost: the heartbeat's timeout, the lease's
// acquisition and a margin. It is well below a runner's lease.
const maxTakeover = 5 * time.Second

// The leader is cut off together with one of its runners, while more jobs wait than the pool has room for. The next
// leader can't know what runs on the silent runner until its lease is over, but the jobs that were never placed there
// must go on before that.
func TestJobsGoOnThoughTheCutOffLeaderLeavesASilentRunner(t *testing.T) {
	runScenario(t, Small, 32, func(t *testing.T, c *Cluster) {
		shape := JobShape{MaxSteps: 1, MaxWidth: 1, MeanMS: 2000, CPU: 16000}
		var jobs []work.ID
		for range 20 {
			wire, job := c.NewBatchJob(shape)
			jobs = append(jobs, c.Submit("s0", wire, job))
		}
		time.Sleep(time.Second)
		leader := c.Leader("s0")
		var lost netip.Addr
		for _, id := range c.Runners() {
			if server := c.runners[id]; server.runner.Service == "s0" {
				lost = server.runner.Addr.Addr()
				break
			}
		}
		outside := append(daemonAddrs(c), storeAddr.Addr(), machinesAddr.Addr(), clientAddr)
		for _, id := range c.Runners() {
			outside = append(outside, c.RunnerAddr(id))
		}
		cut(c, []netip.Addr{c.DaemonAddr(leader), lost}, outside)
		time.Sleep(maxTakeover)
		before := countDone(c, jobs)
		time.Sleep(4 * time.Second)
		done := countDone(c, jobs) - before

		require.GreaterOrEqual(t, done, 4, "three runners are left, and a job takes 1 to 3 s")
		c.Net.Heal()
		submitEvenly(c, "s0", 5, 2*time.Second, batchShape)
	})
}

// countDone returns how many of the jobs their callers have seen completed.
func countDone(c *Cluster, jobs []work.ID) int {
	n := 0
	for _, id := range jobs {
		if c.State(id) == work.Done {
			n++
		}
	}
	return n
}
