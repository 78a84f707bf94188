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
