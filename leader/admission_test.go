package leader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

var (
	servedQueue  = work.Queue{Name: "q", Attempts: 1, Slack: 1.6, Aim: 600 * time.Millisecond}
	wideJob      = work.Job{Spec: "x", Steps: []work.Step{{Count: 8, Resources: work.Resources{CPU: 1000}, Estimate: time.Second}}, Workspace: "a"}
	overfullTime = 100 // jobs of a second each
)

// newFullLeader returns a leader whose pool has one runner and far more work than that can end in time.
func newFullLeader(t *testing.T, store *standin.Store) *Leader {
	l := newConfirmedLeader(newTestStore(t, store))
	l.Configure(1, nil, false, []platform.Workspace{{Name: "a"}}, 1)
	now := time.Now()
	l.Now = func() time.Time { return now } // decisions take no time, so that none is left out
	l.pool.UpdateRunner(now, work.Runner{ID: "r", Service: "", Room: work.Resources{CPU: 8000, Mem: 1 << 20}, Born: 1})
	l.pool.PollSent(now, "r", 0)
	l.pool.ExtendLease(now, "r")
	l.pool.HandlePollResult(now, "r", now, l.pool.Fence("r"), work.PollResult{Born: 1})
	for n := range overfullTime {
		l.pool.Accept(now, work.ID(fmt.Sprintf("f%015d", n)), servedQueue, wideJob)
	}
	return l
}

// submitTo submits a job and returns its result after the next commits.
func submitTo(t *testing.T, l *Leader, id work.ID, seen int64) Result {
	reply, result := l.submit(id, servedQueue, wideJob, gateOf(t, l, servedQueue), seen)
	if reply == nil {
		return result
	}
	for l.commitOnce(t.Context()) {
	}
	return <-reply
}

// drain cancels all work, so that there is room for a later try.
func drain(l *Leader) {
	for n := range overfullTime {
		l.pool.Cancel(l.Now(), work.ID(fmt.Sprintf("f%015d", n)))
	}
	l.pool.Plan(l.Now(), l.Now(), true)
	later := l.Now().Add(time.Second) // the backlog is summed again
	l.Now = func() time.Time { return later }
}

// Guards against a 429 after which an earlier try, whose write the store carries out late, runs, and against refusals that
// each take a transaction.
func TestRefusalsAreStoredTogetherBeforeTheyAreAnswered(t *testing.T) {
	store := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
	l := newFullLeader(t, store)
	var replies []chan Result
	for n := range 5 {
		reply, _ := l.submit(jobID(n), servedQueue, wideJob, gateOf(t, l, servedQueue), 0)
		replies = append(replies, reply)
	}
	require.False(t, l.commitOnce(t.Context()))
	late := newTestStore(t, store)
	for n, reply := range replies {
		result := <-reply
		require.Equal(t, Refused, result.Verdict, result.Why)
		require.True(t, result.Full)
		require.GreaterOrEqual(t, result.Retry, time.Second)
		require.Zero(t, result.Retry%time.Second)
		_, err := late.Commit(t.Context(), handoffTx("", []*pendingJob{{id: jobID(n), value: []byte("{}")}}))
		require.Error(t, err)
	}
	require.Equal(t, map[string]int64{causeFull: 5}, l.Refusals())
	require.EqualValues(t, 1, l.leaseRow.Commits)
	result, err := StoredState(t.Context(), l.Store, "", jobID(0), workspace.Anyone())
	require.NoError(t, err)
	require.Equal(t, Absent, result.Verdict)
}

// Guards against a refused ID that is never accepted again, and against an earlier try that arrives late at the leader and
// runs after its caller was refused.
func TestOnlyLaterTriesReplaceARefusal(t *testing.T) {
	store := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
	l := newFullLeader(t, store)
	before := l.Store.SeenVersion()
	require.Equal(t, Refused, submitTo(t, l, jobID(1), before).Verdict)
	require.Equal(t, Refused, submitTo(t, l, jobID(1), l.Store.SeenVersion()).Verdict)
	drain(l)
	require.Equal(t, Unknown, submitTo(t, l, jobID(1), before).Verdict)
	require.False(t, l.pool.HasJob(jobID(1)))
	require.Equal(t, Accepted, submitTo(t, l, jobID(1), l.Store.SeenVersion()).Verdict)
	require.True(t, l.pool.HasJob(jobID(1)))
	require.Equal(t, Accepted, submitTo(t, l, jobID(1), before).Verdict)
}

// Guards against a daemon that takes a refused row for an accepted job, or stores a try over it that may be older.
func TestHandoffDoesNotReplaceARefusal(t *testing.T) {
	store := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
	l := newFullLeader(t, store)
	require.Equal(t, Refused, submitTo(t, l, jobID(1), 0).Verdict)
	h := handoffTo(l.Store)
	both := submitAll(t.Context(), h, 1, 3)
	results := both()
	require.Equal(t, Unknown, results[0].Verdict)
	require.Zero(t, results[0].Retry)
	require.Equal(t, Accepted, results[1].Verdict)
	require.NoError(t, l.loadJob(t.Context(), jobID(1)))
	require.False(t, l.pool.HasJob(jobID(1)))
}

// Guards against a refusal of a job that another daemon stored before, and that runs.
func TestStoredJobIsNotRefused(t *testing.T) {
	store := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
	l := newFullLeader(t, store)
	h := handoffTo(newTestStore(t, store))
	require.Equal(t, Accepted, h.Submit(t.Context(), jobID(1), servedQueue, wideJob, 0).Verdict)
	require.Equal(t, Accepted, submitTo(t, l, jobID(1), 0).Verdict)
	require.True(t, l.pool.HasJob(jobID(1)))
}

// Guards against a new leader that takes a refused row for a job, lets an older try replace it, or keeps it for ever.
func TestRefusedRowsAreRestoredAndForgotten(t *testing.T) {
	store := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, Refused, submitTo(t, newFullLeader(t, store), jobID(1), 0).Verdict)
	next := newConfirmedLeader(newTestStore(t, store))
	page, err := next.Store.ScanPartition(t.Context(), tableJobs, "")
	require.NoError(t, err)
	for _, row := range page.Rows {
		next.restoreJob(row, nil)
	}
	next.leaseVersion = page.Version
	require.False(t, next.pool.HasJob(jobID(1)))
	require.Equal(t, Unknown, submitTo(t, next, jobID(1), 0).Verdict)
	next.forgetFinished(time.Now().Add(refusedTTL - time.Second))
	require.Empty(t, next.intents)
	next.forgetFinished(time.Now().Add(refusedTTL + time.Second))
	require.Equal(t, Accepted, submitTo(t, next, jobID(1), 0).Verdict)
	_, refused := storedRefusal(platform.Row{Value: store.Get(tableJobs, "", string(jobID(1)))})
	require.False(t, refused)
}

// Guards against a refusal that is lost or doubled because the store carried its transaction out without an answer.
func TestRefusalWithoutAnswerIsFoundStored(t *testing.T) {
	inner := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
	l := newFullLeader(t, inner)
	l.Store = newTestStore(t, &lossyStore{inner: inner})
	reply, _ := l.submit(jobID(1), servedQueue, wideJob, gateOf(t, l, servedQueue), 0)
	l.commitOnce(t.Context())
	require.Empty(t, reply)
	joined, _ := l.submit(jobID(1), servedQueue, wideJob, gateOf(t, l, servedQueue), l.Store.SeenVersion())
	for len(reply) == 0 {
		l.commitOnce(t.Context())
	}
	require.Equal(t, Refused, (<-reply).Verdict)
	require.Equal(t, Refused, (<-joined).Verdict)
	require.Equal(t, map[string]int64{causeFull: 1}, l.Refusals())
}
