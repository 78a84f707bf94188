package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/work"
)

func TestJobStaysPendingUntilARunnerHasStartedATask(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome Outcome
		refusal work.Refusal
		pending int
		state   work.State
	}{
		{"start not answered", OutcomeUnknown, "", 1, work.Queued},
		{"start not sent", OutcomeNotSent, "", 1, work.Queued},
		{"start refused", OutcomeDone, work.RefusedRoom, 1, work.Queued},
		{"start confirmed", OutcomeDone, "", 0, work.Running},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakePool(t, 1, 4)
			id := f.accept("a", testQueue, stepOf(1, 1000))
			orders := starts(f.planCommitted(true))
			require.Len(t, orders, 1)
			require.Equal(t, PendingJobs{Jobs: 1, Placed: 1}, f.pool.Pending(testQueue))

			f.pool.HandleStartResult(f.now, orders[0], tc.outcome, tc.refusal, 0)

			require.Equal(t, tc.pending, f.pool.Pending(testQueue).Jobs)
			state, _ := f.pool.State(id)
			require.Equal(t, tc.state, state)
		})
	}
}

func TestJobIsNotPendingOnceARunOfItIsListed(t *testing.T) {
	f := newFakePool(t, 1, 4)
	f.accept("a", testQueue, stepOf(1, 1000))
	order := starts(f.planCommitted(true))[0]
	f.pool.HandleStartResult(f.now, order, OutcomeUnknown, "", 0)
	f.runners[order.Runner].runs[order.Task.String()] = work.Run{Task: order.Task, Run: order.Run}

	f.poll()

	require.Zero(t, f.pool.Pending(testQueue).Jobs)
}

func TestJobsAreStillPendingAfterTheirStartsWereWithdrawn(t *testing.T) {
	f := newFakePool(t, 1, 4)
	id := f.accept("a", testQueue, stepOf(1, 1000))
	f.pool.WithdrawStart(f.now, starts(f.planCommitted(true))[0])
	f.pool.AllowStarts(false)
	for range 10 {
		f.poll()
		require.Empty(t, starts(f.planCommitted(true)))
	}

	require.Equal(t, 1, f.pool.Pending(testQueue).Jobs)
	state, _ := f.pool.State(id)
	require.Equal(t, work.Queued, state)
}

// A start that nobody confirmed was blamed for the crash of its runner, and stored.
func TestRestoredJobIsPendingIfOnlyACrashIsBlamedOnIt(t *testing.T) {
	for _, tc := range []struct {
		name    string
		step    StepProgress
		pending int
	}{
		{"blamed for a crash", StepProgress{Crashes: map[int][]Crash{0: {{Run: 1}}}}, 1},
		{"done", StepProgress{Done: []byte{1}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakePool(t, 1, 4)
			progress := &Progress{Occurrences: []OccurrenceProgress{{Steps: []StepProgress{tc.step}}}}
			f.pool.RestoreJob(f.now, "000000000000000a", testQueue, work.Job{Steps: []work.Step{stepOf(2, 1000)}}, f.now, progress)
			require.Equal(t, tc.pending, f.pool.Pending(testQueue).Jobs)
		})
	}
}
