package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/work"
)

// Bounds for a daemon that reaches neither the store nor a leader.
const (
	maxRefusalTime = 1500 * time.Millisecond // half of a caller's timeout
	maxReadyTime   = 1500 * time.Millisecond // of being ready after the cut
	maxRepeatTime  = 600 * time.Millisecond  // of a daemon's own repeats: a fifth of a caller's timeout
	maxCheckTime   = 100 * time.Millisecond  // of answering a readiness check, however long what it depends on is silent
)

// cutOffCentreWithoutLeader submits some jobs and then cuts off a data centre in which nobody leads s0. It returns a
// daemon there, which was ready until then.
func cutOffCentreWithoutLeader(t *testing.T, c *Cluster) string {
	t.Helper()
	submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
	leader := c.daemons[c.Leader("s0")]
	names := c.Daemons()
	at := slices.IndexFunc(names, func(name string) bool { return c.daemons[name].centre != leader.centre })
	require.GreaterOrEqual(t, at, 0, "all daemons are in one data centre")
	require.True(t, isReady(t, c, names[at]))
	inside, outside := partitionByCentre(c, names[at])
	cut(c, inside, outside)
	return names[at]
}

// reply is a daemon's reply to one request.
type reply struct {
	status    int // 0 without a reply
	took      time.Duration
	notStored bool // it tells when to retry, and so that this try of the job was not stored
	closed    bool // the connection is closed after it
}

// send sends one request to a daemon.
func send(t *testing.T, c *Cluster, method string, at netip.AddrPort, path string, body []byte) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+at.String()+path, bytes.NewReader(body))
	require.NoError(t, err)
	req.Host = "jobs.example"
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{took: time.Since(start)}
	}
	require.NoError(t, resp.Body.Close())
	return reply{resp.StatusCode, time.Since(start), resp.Header.Get("Retry-After") != "", resp.Close}
}

// sendJob submits a new job to one daemon and tells the Checker the outcome: a job whose only try was not stored must
// never run. An accepted job is polled until it ends.
func sendJob(t *testing.T, c *Cluster, daemon, service string) reply {
	t.Helper()
	wire, job := c.NewBatchJob(batchShape)
	body, err := json.Marshal(wire)
	require.NoError(t, err)
	id, sub := c.register(service, job)
	got := send(t, c, http.MethodPost, netip.AddrPortFrom(c.daemons[daemon].addr, portCallers), fmt.Sprintf("/%s/%s", service, id), body)
	c.Checker.SubmitAnswered(id, got.status == http.StatusOK, got.notStored)
	if got.status == http.StatusOK {
		rng := c.newRand()
		c.wg.Go(func() { c.pollUntilFinal(id, sub, rng) })
	}
	return got
}

// requireNotStored checks that a reply says that the try was not stored but doesn't refuse the job: an earlier try, at
// another daemon, may have been stored.
func requireNotStored(t *testing.T, got reply, limit time.Duration) {
	t.Helper()
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.True(t, got.notStored)
	require.Less(t, got.took, limit)
}

// isReady asks a daemon whether it is ready.
func isReady(t *testing.T, c *Cluster, daemon string) bool {
	t.Helper()
	got := send(t, c, http.MethodGet, netip.AddrPortFrom(c.daemons[daemon].addr, portReady), platform.ReadyPath, nil)
	require.Less(t, got.took, maxCheckTime)
	return got.status == http.StatusOK
}

func TestCutOffDaemonAnswersAtOnceThatAJobIsNotStored(t *testing.T) {
	runScenario(t, Small, 21, func(t *testing.T, c *Cluster) {
		daemon := cutOffCentreWithoutLeader(t, c)
		time.Sleep(time.Second)
		for range 8 {
			requireNotStored(t, sendJob(t, c, daemon, "s0"), maxRefusalTime)
			time.Sleep(200 * time.Millisecond)
		}
		c.Net.Heal()
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
	})
}

func TestCutOffDaemonIsSoonNotReady(t *testing.T) {
	runScenario(t, Small, 22, func(t *testing.T, c *Cluster) {
		daemon := cutOffCentreWithoutLeader(t, c)
		for range 5 {
			time.Sleep(maxReadyTime / 5)
			isReady(t, c, daemon)
		}
		require.False(t, isReady(t, c, daemon))
		requireNotStored(t, sendJob(t, c, daemon, "s0"), maxRepeatTime)
		c.Net.Heal()
		time.Sleep(time.Second)
		require.True(t, isReady(t, c, daemon))
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
	})
}

func TestDaemonsStayReadyThroughAShortOutageOfTheStore(t *testing.T) {
	runScenario(t, Small, 23, func(t *testing.T, c *Cluster) {
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
		var daemons []netip.Addr
		for _, name := range c.Daemons() {
			daemons = append(daemons, c.daemons[name].addr)
		}
		cut(c, daemons, []netip.Addr{storeAddr.Addr()})
		time.Sleep(maxReadyTime)
		for _, name := range c.Daemons() {
			require.True(t, isReady(t, c, name), name)
		}
		c.Net.Heal()
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
	})
}

func TestReplyOfACutOffDaemonClosesTheConnection(t *testing.T) {
	runScenario(t, Small, 24, func(t *testing.T, c *Cluster) {
		daemon := cutOffCentreWithoutLeader(t, c)
		time.Sleep(time.Second)
		got := sendJob(t, c, daemon, "s0")
		requireNotStored(t, got, maxRefusalTime)
		require.True(t, got.closed, "the caller's next try must be able to reach another daemon")
		c.Net.Heal()
	})
}

func TestJobsAreAnsweredAtOnceWhileTheirPartitionOfTheStoreIsDown(t *testing.T) {
	runScenario(t, Small, 25, func(t *testing.T, c *Cluster) {
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
		leader := c.Leader("s0")
		c.Store.SetFaults(standin.StoreFaults{ResetPartitions: map[string]struct{}{"s0": {}}})
		c.Kill(leader) // the others store jobs by themselves from here on
		unknown := 0
		for range 20 {
			for _, name := range c.Daemons() {
				if name == leader {
					continue
				}
				got := sendJob(t, c, name, "s0")
				if got.notStored {
					requireNotStored(t, got, maxRefusalTime)
					continue
				}
				require.Equal(t, http.StatusGatewayTimeout, got.status, name)
				unknown++
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, unknown, len(c.Daemons()), "only jobs that were sent before the outage was noticed may stay unknown")
		c.Store.SetFaults(standin.StoreFaults{})
		c.Start(leader)
		time.Sleep(4 * time.Second)
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
	})
}

func TestJobsAreAcceptedWhileTheStoreIsSlow(t *testing.T) {
	runScenario(t, Small, 26, func(t *testing.T, c *Cluster) {
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
		leader := c.Leader("s0")
		c.Store.SetFaults(standin.StoreFaults{ExtraLatency: 450 * time.Millisecond})
		c.Kill(leader) // the others store jobs by themselves from here on
		time.Sleep(time.Second)
		for _, name := range c.Daemons() {
			if name != leader {
				require.Equal(t, http.StatusOK, sendJob(t, c, name, "s0").status, name)
			}
		}
		c.Store.SetFaults(standin.StoreFaults{})
		c.Start(leader)
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
	})
}

// All connections of a leader's daemon go silent, again and again at other moments of its polls. Its runners must be heard of on
// new ones before their leases end, and callers get their answers.
func TestRunsGoOnThoughAllConnectionsOfTheirLeaderGoSilent(t *testing.T) {
	runScenario(t, Small, 42, func(t *testing.T, c *Cluster) {
		wire, job := c.NewLongRunningJob(3, 1, 3000)
		c.Submit("s0", wire, job)
		submitEvenly(c, "s0", 10, 2*time.Second, batchShape)
		leader := c.Leader("s0")
		for range 12 {
			blackhole(c, c.DaemonAddr(leader))
			submitEvenly(c, "s0", 10, 6150*time.Millisecond, batchShape) // another phase each time
		}
		_, ends := c.Checker.RunCounts()
		require.Zero(t, ends[work.EndLeaseExpired])
		require.Equal(t, leader, c.Leader("s0"))
		stats := c.Stats()
		require.Equal(t, stats.Submitted, stats.Accepted)
	})
}

// On a site whose bound on contact is 5 s, daemons must not turn callers away after 3 s without the store.
func TestReadinessEndsByAnotherSitesBound(t *testing.T) {
	const pollHold = 1500 * time.Millisecond // a poll that the store holds as it goes silent is still answered
	for _, contact := range []time.Duration{3 * time.Second, 5 * time.Second} {
		size := Small
		size.ContactTime = contact
		runScenario(t, size, 95, func(t *testing.T, c *Cluster) {
			submitEvenly(c, "s0", 5, 2*time.Second, batchShape)
			c.Store.SetFaults(standin.StoreFaults{Unresponsive: true})
			for start := time.Now(); time.Since(start) < contact+2*pollHold; time.Sleep(100 * time.Millisecond) {
				for _, daemon := range c.Daemons() {
					if silent := time.Since(start); silent < contact-500*time.Millisecond {
						require.True(t, isReady(t, c, daemon), "%s after %v of %v", daemon, silent, contact)
					} else if silent > contact+pollHold {
						require.False(t, isReady(t, c, daemon), "%s after %v of %v", daemon, silent, contact)
					}
				}
			}
			c.Store.SetFaults(standin.StoreFaults{})
		})
	}
}
