package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

// An order for the earlier incarnation could start a run or extend the lease at any time before that.
func TestRestartedRunnerGetsNoWorkBeforeItRefusesEarlierOrders(t *testing.T) {
	f := newFakePool(t, 1, 4)
	earlier := f.pool.Fence("r0")
	f.restart("r0")
	f.accept("a", testQueue, stepOf(1, 2000))

	f.poll()
	require.Empty(t, starts(f.pool.Plan(f.now, f.now, true)), "the store has not recorded the restart")
	require.True(t, f.pool.AwaitsRecord("r0"))

	f.commit()
	require.Empty(t, starts(f.planCommitted(true)), "no poll with the new token was answered")

	before := f.pool.Fence("r0")
	f.pool.HandlePollResult(f.now, "r0", f.now, earlier, work.PollResult{Born: before.Born})
	require.Empty(t, starts(f.planCommitted(true)), "the answered poll had the earlier token")

	f.poll()
	ordered := starts(f.plan())
	require.Len(t, ordered, 1)
	require.Greater(t, ordered[0].Fence.Token, earlier.Token)
	require.Greater(t, ordered[0].Fence.Born, earlier.Born)
}

// Guards against a leader that takes its own later token for that of a later leader.
func TestRefusedOrderForAnEarlierIncarnationDoesNotEndLeadership(t *testing.T) {
	f := newFakePool(t, 1, 4)
	task := taskOf(f.accept("a", testQueue, stepOf(1, 2000)), 0, 0)
	start := starts(f.planCommitted(true))[0]
	f.restart("r0")
	f.poll()
	f.commit()
	f.poll()

	f.pool.HandlePollResult(f.now, "r0", f.now, start.Fence, work.PollResult{Fenced: true})
	require.False(t, f.pool.Fenced())
	require.False(t, f.pool.ShouldSend(start), "it is for the earlier incarnation")
	f.pool.HandleStartResult(f.now, start, OutcomeDone, work.RefusedFenced, 0)
	require.False(t, f.pool.Fenced())
	require.Len(t, starts(f.advance(tickInterval)), 1, "a refused start doesn't hold the task")
	require.Equal(t, "r0", f.runnerOf(task))

	f.pool.HandlePollResult(f.now, "r0", f.now, f.pool.Fence("r0"), work.PollResult{Fenced: true})
	require.True(t, f.pool.Fenced())
}

// Guards against a runner that comes back under its ID with orders of this leader for an earlier incarnation on their way.
func TestRemovedRunnerThatComesBackKeepsItsFence(t *testing.T) {
	f := newFakePool(t, 1, 4)
	f.restart("r0")
	f.advance(tickInterval)
	f.advance(tickInterval)
	fence := f.pool.Fence("r0")
	require.Equal(t, f.runners["r0"].info.Born, fence.Born)

	f.pool.MarkUnlisted(f.now, "r0")
	require.False(t, f.pool.HasRunner("r0"))
	require.Equal(t, fence, f.pool.Fence("r0"))

	f.restart("r0")
	f.pool.UpdateRunner(f.now, f.runners["r0"].info)
	require.True(t, f.pool.AwaitsRecord("r0"))
	require.GreaterOrEqual(t, f.pool.Fence("r0").Token, fence.Token)
}

// A run that may have reached the new incarnation is given up only when no earlier order can keep it alive.
func TestRunOnSilentNewIncarnationIsHeldWhileEarlierOrdersMayBeCarriedOut(t *testing.T) {
	f, task, runnerID := restartRunner(t, false, false)
	f.pool.leases.MaxTTL, f.pool.leases.LateOrders = 6*time.Second, 12*time.Second
	f.restart(runnerID)
	f.runners[runnerID].silent = true
	f.pool.UpdateRunner(f.now, f.runners[runnerID].info)
	begun := f.now
	var again []Start
	for len(again) == 0 {
		again = starts(f.advance(tickInterval))
	}
	require.Equal(t, task, again[0].Task)
	require.GreaterOrEqual(t, f.now.Sub(begun).Seconds(), 12+6/(1-MaxClockSkew))
}

// Guards against a lease on the clock of an earlier incarnation, which a later one makes the longest lease.
func TestLateAnswerOfAnEarlierIncarnationDoesNotSetTheClock(t *testing.T) {
	f := newFakePool(t, 1, 4)
	f.accept("a", testQueue, stepOf(1, 2000))
	start := starts(f.planCommitted(true))[0]
	f.restart("r0")
	f.poll()
	f.pool.HandleStartResult(f.now, start, OutcomeDone, "", time.Hour)
	require.Equal(t, testLeases.TTL, f.pool.ExtendLease(f.now, "r0"))
}

// Guards against a second run beside one that an unanswered start begins in the new incarnation.
func TestStopAnsweredByAnEarlierIncarnationDoesNotEndARun(t *testing.T) {
	f, task, runnerID := restartRunner(t, false, false)
	stop := stops(f.advance(tickInterval))
	require.Len(t, stop, 1)
	f.runners[runnerID].silent = true
	f.restart(runnerID)
	f.pool.UpdateRunner(f.now, f.runners[runnerID].info)
	f.pool.HandleStopResult(f.now, stop[0], OutcomeDone)
	f.runners[runnerID].silent = false
	f.now = f.now.Add(tickInterval)
	f.poll()
	require.Empty(t, starts(f.planCommitted(true)), "the new incarnation has answered no stop of %s", task)
}

// newSuccessorPool returns a pool of a later leader that inherits the runners of an earlier one and a job, of which the store
// has a placement on r0.
func newSuccessorPool(t *testing.T) (*fakePool, work.Task) {
	f := &fakePool{t: t, now: time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC), runners: map[string]*fakeRunner{}, stored: map[work.ID][]byte{}, version: 100}
	leases := testLeases
	leases.MaxTTL, leases.LateOrders, leases.InheritedPlacements = 6*time.Second, 12*time.Second, true
	f.pool = New(f.now, 2, leases, WithToken(100), WithCheckInterval(0), WithStopTime(200*time.Millisecond))
	info := work.Runner{ID: "r0", Machine: "m0", Service: "s", Room: work.Resources{CPU: 4000, Mem: 1 << 20}, Labels: []string{"a", "rack0"}, Born: 1}
	f.pool.InheritRunner(info, time.Time{}, time.Time{})
	f.runners["r0"] = &fakeRunner{info: info, runs: map[string]work.Run{}}
	id := work.ID("000000000000000a")
	f.pool.RestoreJob(f.now, id, testQueue, work.Job{Spec: "a", Steps: []work.Step{stepOf(1, 2000)}}, f.now, &Progress{Runners: []string{"r0"}})
	f.pool.UpdateRunner(f.now, info)
	return f, taskOf(id, 0, 0)
}

// Guards against work on a restarted runner of which the store, and so the leader after this one, doesn't know that orders of
// an earlier leader may have given it the longest lease.
func TestRunnerThatRestartedBetweenTwoLeadersGetsNoWorkBeforeTheStoreKnows(t *testing.T) {
	f, _ := newSuccessorPool(t)
	f.restart("r0")
	f.pool.PollSent(f.now, "r0", 0)
	require.Zero(t, f.pool.ExtendLease(f.now, "r0"))
	f.pool.HandlePollResult(f.now, "r0", f.now, f.pool.Fence("r0"), work.PollResult{Born: 2, Clock: time.Second})
	require.Contains(t, f.pool.RestartedRunners(f.now), "r0", "a later leader has to wait for the longest lease")
	require.Empty(t, starts(f.pool.Plan(f.now, f.now, true)), "nothing is stored yet: %+v", f.pool.runners["r0"].fencing)
}

// Guards against a lease that is counted as shorter than it is because the runner was removed from the list for a moment.
func TestRelistedRunnerKeepsTheTimeThatEarlierOrdersMayKeepRunsAlive(t *testing.T) {
	f := newFakePool(t, 1, 4)
	f.pool.leases.MaxTTL, f.pool.leases.LateOrders = 6*time.Second, 12*time.Second
	f.advance(tickInterval)
	f.restart("r0")
	f.poll()
	f.commit()
	f.poll()
	require.False(t, f.pool.runners["r0"].fencing.pending)
	fenced := f.now
	f.pool.MarkUnlisted(f.now, "r0")
	require.False(t, f.pool.HasRunner("r0"))
	f.pool.UpdateRunner(f.now, f.runners["r0"].info)
	f.loseRunnerOf("a")
	require.GreaterOrEqual(t, f.now.Sub(fenced).Seconds(), 6/(1-MaxClockSkew))
}

// Guards against a second run after the answer of another runner at the address of the earlier incarnation was taken for an
// answer of the present one.
func TestReplacedAnswerForAnEarlierIncarnationDoesNotEndRunsOfThePresentOne(t *testing.T) {
	f := newFakePool(t, 2, 4)
	id := f.accept("a", testQueue, stepOf(1, 2000))
	require.Len(t, starts(f.advance(tickInterval)), 1)
	task := taskOf(id, 0, 0)
	runner := f.runnerOf(task)
	earlier := f.pool.Fence(runner)
	f.runners[runner].info.Born++ // the start may have reached the new incarnation
	f.pool.UpdateRunner(f.now, f.runners[runner].info)
	f.pool.HandlePollResult(f.now, runner, f.now, earlier, work.PollResult{Replaced: true})
	require.Empty(t, starts(f.planCommitted(true)))
}

// Guards against a time that this leader counts on, and later leaders aren't told.
func TestLaterLeadersAreToldHowLongEarlierOrdersMayKeepRunsAlive(t *testing.T) {
	f := newFakePool(t, 1, 4)
	f.pool.leases.TTL, f.pool.leases.MaxTTL, f.pool.leases.LateOrders = 7500*time.Millisecond, 10*time.Second, 12*time.Second
	f.advance(tickInterval)
	f.restart("r0")
	f.poll()
	f.commit()
	f.poll()
	keep := f.pool.runners["r0"].lease.keepUntil
	f.now = f.now.Add(2600 * time.Millisecond)
	require.Greater(t, keep.Sub(f.now).Seconds(), 7.5)
	require.Contains(t, f.pool.RestartedRunners(f.now), "r0")
}

// Guards against a wait that ends too early because a poll is answered that the earlier incarnation's orders can still overtake.
func TestUnlistedEndsDoNotEndTheWaitForThisLeadersEarlierOrders(t *testing.T) {
	f, _ := newSuccessorPool(t)
	answer := func(born int64) {
		f.pool.PollSent(f.now, "r0", 0)
		f.pool.ExtendLease(f.now, "r0")
		f.pool.HandlePollResult(f.now, "r0", f.now, f.pool.Fence("r0"), work.PollResult{Born: born, Clock: time.Second, MoreEnds: true})
	}
	answer(1)
	answer(1)
	answer(2)
	require.True(t, f.pool.runners["r0"].fencing.pending)
	require.Greater(t, f.pool.runners["r0"].lease.keepUntil.Sub(f.now).Seconds(), 12.0, "a poll for the earlier incarnation may be carried out until then")
}

// Guards against a start after an end as done that a poll for the earlier incarnation made the new one forget: ends are
// numbered from 1 again.
func TestPollForAnEarlierIncarnationAcknowledgesNoEndOfThePresentOne(t *testing.T) {
	f := newFakePool(t, 1, 4)
	f.runners["r0"].cutAt = 500 // it drops acknowledged ends
	first := taskOf(f.accept("a", testQueue, stepOf(1, 2000)), 0, 0)
	f.advance(tickInterval)
	f.endRun("r0", first, work.EndDone)
	f.advance(tickInterval)
	require.EqualValues(t, 1, f.pool.AckCursor("r0"))
	f.advance(tickInterval)
	inFlight := f.pool.AckCursor("r0") // of a poll that is sent now, long after an answered one has acknowledged that end

	second := taskOf(f.accept("b", testQueue, stepOf(1, 2000)), 0, 0)
	ordered := starts(f.planCommitted(true))
	require.Len(t, ordered, 1)
	r := f.runners["r0"]
	f.pool.HandleStartResult(f.now, ordered[0], OutcomeUnknown, "", 0)
	f.restart("r0")
	r.runs[second.String()] = work.Run{Task: second, Run: 1} // the start reaches the new incarnation
	f.endRun("r0", second, work.EndDone)
	var left []work.RunEnd
	for _, e := range r.ends {
		if e.N > inFlight {
			left = append(left, e)
		}
	}
	r.ends = left // the poll reaches it, too
	for range 10 {
		require.Empty(t, starts(f.advance(tickInterval)), "it has ended as done, and that is acknowledged")
	}
}

// Guards against a task that runs twice because its start, which nobody answered, is carried out when its runner's lease is over: by the
// runner's next life, or late.
func TestTaskWaitsForAsLongAsAnUnansweredStartMayBeCarriedOut(t *testing.T) {
	for name, c := range map[string]struct {
		lasts    bool
		then     func(f *fakePool) // once the lease is over
		min, max time.Duration     // from the start until the task starts elsewhere
	}{
		"silent runner":                    {false, func(*fakePool) {}, 12 * time.Second, 13 * time.Second},
		"silent runner, a task that lasts": {true, func(*fakePool) {}, 4 * time.Second, 6 * time.Second},
		"the runner answers":               {false, func(f *fakePool) { f.runners["r0"].silent = false }, 4 * time.Second, 8 * time.Second},
		"its next life answers": {false, func(f *fakePool) {
			f.runners["r0"].silent = false
			f.restart("r0")
		}, 4 * time.Second, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			leases := testLeases
			leases.LateOrders = 12 * time.Second
			f := newFakePool(t, 1, 4)
			f.pool.leases = leases
			s := stepOf(1, 2000)
			s.LongRunning = c.lasts
			task := taskOf(f.accept("a", testQueue, s), 0, 0)
			f.runners["r0"].silent = true
			require.Len(t, starts(f.planCommitted(true)), 1)
			f.pool.HandleStartResult(f.now, Start{Target: f.pool.target(f.pool.runners["r0"]), Task: task, Run: 1}, OutcomeUnknown, "", 0)
			sentAt := f.now
			f.addRunner("r1", 4)
			for f.runnerOf(task) == "" {
				if f.now.Sub(sentAt) > 6*time.Second {
					c.then(f)
					c.then = func(*fakePool) {}
				}
				f.advance(tickInterval)
				require.LessOrEqual(t, f.now.Sub(sentAt), c.max)
			}
			require.GreaterOrEqual(t, f.now.Sub(sentAt), c.min)
		})
	}
}
