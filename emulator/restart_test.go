package emulator

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// Times of a day on which runners restart under their IDs and are cut off soon after.
const (
	calmTime     = 2 * time.Second
	staleTime    = 1100 * time.Millisecond // before a crash, in which calls are delayed: a poll of each runner and some orders
	longDowntime = 600 * time.Millisecond  // in which calls arrive
	downtime     = 20 * time.Millisecond
	cutTime      = 11 * time.Second       // longer than leases and the time until tasks start again
	leaderToCut  = 300 * time.Millisecond // from the leader's loss until the runners are cut off
)

// longShape is the shape of jobs whose tasks run when their runners have long been cut off.
var longShape = JobShape{MaxSteps: 1, MaxWidth: 6, MeanMS: 18000, CPU: 1000}

// staleCalls are the calls of the last staleTime before a crash that the next incarnation carries out.
type staleCalls int

const (
	callsWhileDown staleCalls = iota // those that are sent while the runner is down
	stalePolls
	staleStarts
	staleStops
)

// restartDay is a day on which the runners of a data centre restart under their IDs and are cut off soon after.
type restartDay struct {
	name       string
	seed       uint64
	lease      time.Duration
	restarts   int
	calls      staleCalls
	callsAfter time.Duration // from the restart
	cutAfter   time.Duration // from the restart
	lose       func(c *Cluster, leader string)
}

func keepLeader(*Cluster, string) {}

func killLeader(c *Cluster, leader string) { c.Kill(leader) }

func stopLeader(c *Cluster, leader string) { go c.Stop(leader) }

func cutOffLeader(c *Cluster, leader string) {
	outside := append(daemonAddrs(c), storeAddr.Addr())
	for _, id := range c.Runners() {
		outside = append(outside, c.RunnerAddr(id))
	}
	cut(c, []netip.Addr{c.DaemonAddr(leader)}, outside)
}

func replaceProcess(c *Cluster, leader string) {
	c.Kill(leader)
	c.Start(leader)
}

func isolateLeader(c *Cluster, leader string) {
	cut(c, []netip.Addr{c.DaemonAddr(leader)}, []netip.Addr{storeAddr.Addr()})
}

// play plays a day.
func (d restartDay) play(t *testing.T) {
	size := Size{Centres: []string{"c1", "c2"}, Daemons: 4, Services: 1, RunnersPerService: 6, CoresPerMachine: 32, RunnerLease: d.lease}
	runScenario(t, size, d.seed, func(_ *testing.T, c *Cluster) {
		for range d.restarts {
			submitEvenly(c, "s0", 4, calmTime, longShape)
			d.restartAndCut(c)
			repairAll(c)
			time.Sleep(2 * calmTime)
		}
		time.Sleep(10 * time.Second)
	})
}

// restartAndCut restarts the runners of the first data centre and cuts them off soon after.
func (d restartDay) restartAndCut(c *Cluster) {
	ids := runnersIn(c, c.size.Centres[0])
	down := downtime
	faults := standin.RunnerFaults{DelayUntil: time.Now().Add(staleTime + downtime + d.callsAfter)}
	switch d.calls {
	case callsWhileDown:
		down = longDowntime
	case stalePolls:
		faults.DelayedPollRate = 1
	case staleStarts, staleStops:
		faults.DelayedOrderRate = 1
	}
	setFaults(c, ids, faults)
	if d.calls == staleStops {
		cancelOne(c)
		time.Sleep(staleTime)
	} else {
		submitEvenly(c, "s0", 2, staleTime, longShape)
	}
	setFaults(c, ids, standin.RunnerFaults{})
	for _, id := range ids {
		c.CrashRunner(id, down)
	}
	submitEvenly(c, "s0", 4, down, longShape)
	submitEvenly(c, "s0", 8, d.cutAfter-leaderToCut, longShape)
	d.lose(c, c.Leader("s0"))
	time.Sleep(leaderToCut)
	cutOff(c, ids)
	time.Sleep(cutTime)
}

// cancelOne cancels the first job that has not ended.
func cancelOne(c *Cluster) {
	c.mu.Lock()
	var first work.ID
	for id, sub := range c.jobs {
		if !sub.state.Final() && (first == "" || id < first) {
			first = id
		}
	}
	c.mu.Unlock()
	c.Cancel(first)
}

// runnersIn returns the IDs of a data centre's runners.
func runnersIn(c *Cluster, centre string) []string {
	var ids []string
	for _, id := range c.Runners() {
		if c.runners[id].runner.Centre == centre {
			ids = append(ids, id)
		}
	}
	return ids
}

// setFaults replaces the faults of runners.
func setFaults(c *Cluster, ids []string, faults standin.RunnerFaults) {
	for _, id := range ids {
		c.SetRunnerFaults(id, faults)
	}
}

// cutOff cuts runners off from all daemons and the store.
func cutOff(c *Cluster, ids []string) {
	var addrs []netip.Addr
	for _, id := range ids {
		addrs = append(addrs, c.RunnerAddr(id))
	}
	cut(c, addrs, append(daemonAddrs(c), storeAddr.Addr()))
}

// playAll plays each day as a test of its own.
func playAll(t *testing.T, days []restartDay) {
	for _, d := range days {
		t.Run(d.name, d.play)
	}
}

// Guards against a lease that calls for a runner's former life make longer in the new one than any leader counts.
func TestTaskIsNotStartedTwiceByCallsForItsRunnersFormerLife(t *testing.T) {
	const (
		short  = 6 * time.Second
		long   = 10 * time.Second
		toCut  = 3 * time.Second
		soon   = time.Second
		before = 2900 * time.Millisecond // just before the cut
		unled  = 2600 * time.Millisecond // before a leader that stops is replaced
	)
	playAll(t, []restartDay{
		{"calls while down", 100, short, 1, callsWhileDown, 0, 2 * time.Second, keepLeader},
		{"calls while down, three restarts", 101, short, 3, callsWhileDown, 0, 2 * time.Second, keepLeader},
		{"calls while down, leader stops", 103, short, 2, callsWhileDown, 0, 2 * time.Second, stopLeader},
		{"polls just before the cut", 104, short, 1, stalePolls, before, toCut, keepLeader},
		{"polls, leader stops", 105, short, 1, stalePolls, unled, toCut, stopLeader},
		{"polls, leader loses the store", 106, short, 1, stalePolls, before, toCut, isolateLeader},
		{"polls, leader is killed, long leases", 107, long, 1, stalePolls, before, toCut, killLeader},
		{"polls, leader starts again, long leases", 108, long, 1, stalePolls, before, toCut, replaceProcess},
		{"polls, leader is cut off from all", 109, short, 1, stalePolls, before, toCut, cutOffLeader},
		{"starts just before the cut", 110, short, 1, staleStarts, before, toCut, keepLeader},
		{"starts after the leader knows, long leases", 111, long, 1, staleStarts, soon, toCut, keepLeader},
		{"starts, leader stops", 112, short, 2, staleStarts, unled, toCut, stopLeader},
		{"starts, leader is killed, long leases", 113, long, 3, staleStarts, before, toCut, killLeader},
		{"calls while down, leader loses the store", 114, long, 3, callsWhileDown, 0, 2 * time.Second, isolateLeader},
	})
}

// Guards against leases that outlast what leaders count in restarts that the scenarios above don't have.
func TestTaskIsNotStartedTwiceAfterOtherRestartsOfItsRunner(t *testing.T) {
	const short, long = 6 * time.Second, 10 * time.Second
	playAll(t, []restartDay{
		{"calls while down, cut later", 100, short, 1, callsWhileDown, 0, 7 * time.Second, keepLeader},
		{"polls before the leader knows, long leases", 101, long, 1, stalePolls, 5 * time.Millisecond, 3 * time.Second, keepLeader},
		{"polls, cut later", 102, short, 2, stalePolls, 0, 7 * time.Second, keepLeader},
		{"polls, leader stops, cut later", 103, long, 1, stalePolls, time.Second, 11 * time.Second, stopLeader},
		{"polls, leader is killed", 104, short, 3, stalePolls, time.Second, 2 * time.Second, killLeader},
		{"starts, cut later", 105, short, 2, staleStarts, 0, 7 * time.Second, keepLeader},
		{"starts, leader is killed", 106, short, 3, staleStarts, time.Second, 2 * time.Second, killLeader},
		{"stops", 107, short, 3, staleStops, time.Second, 2 * time.Second, keepLeader},
		{"stops, long leases", 108, long, 1, staleStops, 5 * time.Millisecond, 2 * time.Second, keepLeader},
		{"stops, leader stops", 109, short, 2, staleStops, time.Second, 2 * time.Second, stopLeader},
	})
}

// Guards against ends that a runner forgets by an acknowledgement for its former life: their tasks would start again.
func TestEndsAreNotForgottenByAcknowledgementsForTheirRunnersFormerLife(t *testing.T) {
	short := JobShape{MaxSteps: 1, MaxWidth: 4, MeanMS: 300, CPU: 2000}
	unseen := JobShape{MaxSteps: 1, MaxWidth: 4, MeanMS: 1200, CPU: 2000}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			size := Size{Centres: []string{"c1", "c2"}, Daemons: 3, Services: 1, RunnersPerService: 4, CoresPerMachine: 16}
			runScenario(t, size, 130+seed, func(_ *testing.T, c *Cluster) {
				submitEvenly(c, "s0", 60, 3*calmTime, short)
				ids := runnersIn(c, "c1")
				cutAt := time.Now().Add(staleTime + downtime + time.Second)
				setFaults(c, ids, standin.RunnerFaults{DelayedPollRate: 1, DelayUntil: cutAt.Add(2 * time.Second)})
				submitEvenly(c, "s0", 10, staleTime, short)
				setFaults(c, ids, standin.RunnerFaults{})
				for _, id := range ids {
					c.CrashRunner(id, downtime)
				}
				submitEvenly(c, "s0", 10, time.Until(cutAt), unseen)
				cutOff(c, ids)
				time.Sleep(2500 * time.Millisecond)
				c.Net.Heal()
				submitEvenly(c, "s0", 5, calmTime, short)
			})
		})
	}
}
