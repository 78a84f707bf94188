package emulator

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// keyedSite is a small site whose callers need keys.
func keyedSite(strict bool) Size {
	size := Small
	size.Workspaces, size.StrictRevocation = 3, strict
	return size
}

// ask sends one request to a daemon with a key and returns the status.
func ask(c *Cluster, daemon, key, method string, id work.ID) int {
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	status, _, _ := c.requestWithKey(ctx, c.daemons[daemon], key, method, "s0", string(id), smallJob())
	return status
}

// refusesKey reports whether a daemon answers that it can't check a key, and not that it knows the key and has no count.
func refusesKey(c *Cluster, daemon, key string) bool {
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	status, _, data := c.requestWithKey(ctx, c.daemons[daemon], key, "GET", "s0", "", nil)
	return status == http.StatusServiceUnavailable && strings.Contains(string(data), "has not confirmed the configuration")
}

// submitLasting submits a job of workspace 0 that lasts, waits until it runs, and returns it with the leader.
func submitLasting(c *Cluster) (work.ID, string) {
	wire, job := c.NewLongRunningJob(2, 1, 1000)
	id := c.SubmitAs(0, "s0", wire, job)
	time.Sleep(3 * time.Second)
	return id, c.Leader("s0")
}

// Another workspace's key must find a job by no path: at the leader, at daemons that relay to it, and in the store while
// the service has no leader. The job must go on, and its own workspace must find it meanwhile.
func TestAnotherWorkspacesJobDoesNotExist(t *testing.T) {
	runScenario(t, keyedSite(false), 31, func(t *testing.T, c *Cluster) {
		id, leader := submitLasting(c)
		check := func(except string) {
			for _, name := range c.Daemons() {
				if name == except {
					continue
				}
				for method, want := range map[string]int{"GET": http.StatusGone, "DELETE": http.StatusGone, "POST": http.StatusConflict} {
					require.Equal(t, want, ask(c, name, callerKey(1), method, id), name)
					require.Equal(t, http.StatusUnauthorized, ask(c, name, wrongKey, method, id), name)
				}
				require.Equal(t, http.StatusOK, ask(c, name, callerKey(0), "GET", id), name)
			}
		}
		check("")
		c.Kill(leader)
		check(leader)
		c.Start(leader)
		submitEvenly(c, "s0", 30, 15*time.Second, batchShape)
		uses := c.Checker.KeyUses()
		for _, n := range []int{uses.Served, uses.Unknown, uses.Withdrawn, uses.Strangers} {
			require.Positive(t, n, "the emulated callers try keys of all kinds: %+v", uses)
		}
	})
}

// While the owner of a job can't be read, its cancellation by another workspace must not be written for a later leader.
func TestCancellationIsNotStoredWhileTheOwnerIsUnknown(t *testing.T) {
	runScenario(t, keyedSite(false), 32, func(t *testing.T, c *Cluster) {
		id, leader := submitLasting(c)
		c.Store.SetFaults(standin.StoreFaults{ResetPartitions: map[string]struct{}{"s0": {}}})
		c.Kill(leader)
		for _, name := range c.Daemons() {
			if name != leader {
				require.Equal(t, http.StatusGatewayTimeout, ask(c, name, callerKey(1), "DELETE", id), name)
			}
		}
		c.Store.SetFaults(standin.StoreFaults{})
		c.Start(leader)
		submitEvenly(c, "s0", 10, 5*time.Second, batchShape)
	})
}

// A daemon that is cut off from the store and from its peers can't learn that a key was withdrawn: with strict revocation it
// must refuse all keys, and without it go on with those that it knows. One that was frozen can, though its timers have not noticed, and must before it judges the
// requests that wait in its socket.
func TestKeysWhileTheStoreIsOutOfReach(t *testing.T) {
	for _, strict := range []bool{true, false} {
		for _, frozen := range []bool{true, false} {
			runScenario(t, keyedSite(strict), 33, func(t *testing.T, c *Cluster) {
				submitEvenly(c, "s0", 5, 2*time.Second, batchShape)
				old := c.SpareKey(2)
				require.Equal(t, http.StatusOK, ask(c, "e1", old, "GET", ""))
				cut(c, []netip.Addr{c.daemons["e1"].addr}, []netip.Addr{storeAddr.Addr(), c.daemons["e2"].addr, c.daemons["e3"].addr})
				c.RotateKey(2)
				if frozen {
					c.Net.Heal()
					c.Suspend("e1", time.Minute)
					require.Equal(t, http.StatusUnauthorized, ask(c, "e1", old, "GET", ""))
					return
				}
				time.Sleep(7 * time.Second)
				require.Equal(t, strict, refusesKey(c, "e1", old))
				require.True(t, refusesKey(c, "e1", wrongKey), "it may have been added since")
				c.Net.Heal()
				time.Sleep(2100 * time.Millisecond) // it asks again 2 s after a failed reading
				require.Equal(t, http.StatusUnauthorized, ask(c, "e1", old, "GET", ""))
			})
		}
	}
}

// A daemon that has restarted has no copy of the configuration, and the first one that it gets must be the newest.
func TestRestartedDaemonKnowsTheKeysInForce(t *testing.T) {
	runScenario(t, keyedSite(true), 34, func(t *testing.T, c *Cluster) {
		submitEvenly(c, "s0", 5, 2*time.Second, batchShape)
		old := c.SpareKey(1)
		c.Kill("e2")
		c.RotateKey(1)
		replacement, served := c.SpareKey(1), false
		c.Start("e2")
		for range 200 {
			require.Contains(t, []int{0, http.StatusServiceUnavailable, http.StatusUnauthorized}, ask(c, "e2", old, "GET", ""))
			served = ask(c, "e2", replacement, "GET", "") == http.StatusOK || served
			time.Sleep(10 * time.Millisecond)
		}
		require.True(t, served)
	})
}

// Jobs that run while their route comes to need a key, or no longer needs one, must not be lost to their callers.
func TestRouteTurnsPublicAndBack(t *testing.T) {
	runScenario(t, keyedSite(false), 35, func(t *testing.T, c *Cluster) {
		keyed, _ := submitLasting(c)
		c.SetPublic("s0", true)
		time.Sleep(time.Second)
		require.Equal(t, http.StatusGone, ask(c, "e1", "", "GET", keyed), "a workspace's job needs its key")
		require.Equal(t, http.StatusOK, ask(c, "e1", callerKey(0), "GET", keyed))
		id, sub := c.register("s0", work.Job{Spec: smallSpec().Text(), Steps: []work.Step{{Count: 1}}})
		require.Equal(t, http.StatusOK, ask(c, "e1", "", "POST", id))
		c.Checker.SubmitAnswered(id, true, false)
		c.SetPublic("s0", false)
		time.Sleep(time.Second)
		require.Equal(t, http.StatusUnauthorized, ask(c, "e1", "", "GET", id))
		require.Equal(t, http.StatusOK, ask(c, "e1", callerKey(1), "GET", id))
		c.pollUntilFinal(id, sub, c.newRand())
	})
}
