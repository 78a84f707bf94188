package leader

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

func newCancelStore() *standin.Store { return standin.NewStore(rand.New(rand.NewPCG(1, 1))) }

// newSuccessor returns a leader that takes the lease over from whoever has it.
func newSuccessor(t *testing.T, store *platform.Store) *Leader {
	t.Helper()
	l := newConfirmedLeader(store)
	row, previous, _, err := readLease(t.Context(), store, "")
	require.NoError(t, err)
	l.leaseRow = LeaseRow{Holder: "next", Term: previous.Term + 1}
	value, err := encode(l.leaseRow)
	require.NoError(t, err)
	key := rowKey(tableLease, "", keyLease)
	stamp, err := store.Commit(t.Context(), platform.Tx{Conditions: []platform.Condition{{RowKey: key, Version: row.Version}}, Puts: []platform.Row{{RowKey: key, Value: value}}})
	require.NoError(t, err)
	l.leaseVersion = stamp.Version
	return l
}

// cancelAt cancels a job at a leader, which commits until it has answered.
func cancelAt(t *testing.T, l *Leader, id work.ID, q work.Queue, caller workspace.Caller) Result {
	t.Helper()
	results := make(chan Result, 1)
	go func() { results <- l.Cancel(t.Context(), id, q, caller) }()
	require.Eventually(t, func() bool {
		l.commitOnce(t.Context())
		return len(results) == 1
	}, 10*time.Second, time.Millisecond)
	return <-results
}

// submitAt submits a job to a leader, which commits until it has answered.
func submitAt(t *testing.T, l *Leader, id work.ID, q work.Queue, job work.Job) Result {
	t.Helper()
	results := make(chan Result, 1)
	go func() { results <- l.Submit(t.Context(), id, q, job, l.Store.SeenVersion()) }()
	require.Eventually(t, func() bool {
		l.commitOnce(t.Context())
		return len(results) == 1
	}, 10*time.Second, time.Millisecond)
	return <-results
}

// Guards against a job that is stored and runs after its caller was told that there is no such job.
func TestCancelOfAJobThatIsBeingStoredDoesNotFindItAbsent(t *testing.T) {
	anyone := workspace.Caller{Any: true}
	l := newConfirmedLeader(newTestStore(t, newCancelStore()))
	reply, _ := l.submit(jobID(1), servedQueue, wideJob, gateOf(t, l, servedQueue), 0)
	require.NotNil(t, reply)

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Equal(t, Unknown, l.Cancel(ctx, jobID(1), servedQueue, anyone).Verdict)
	require.Equal(t, Unknown, l.State(ctx, jobID(1), anyone).Verdict, "nor is its state")

	require.Equal(t, Accepted, cancelAt(t, l, jobID(1), servedQueue, anyone).Verdict)
	state, _ := l.pool.State(jobID(1))
	require.Equal(t, work.Cancelled, state)
}

// Guards against a wait that tells a caller of another workspace's job.
func TestCancelDoesNotWaitForAnotherWorkspacesSubmission(t *testing.T) {
	l := newConfirmedLeader(newTestStore(t, newCancelStore()))
	reply, _ := l.submit(jobID(1), servedQueue, wideJob, gateOf(t, l, servedQueue), 0) // of workspace a
	require.Equal(t, Absent, cancelAt(t, l, jobID(1), servedQueue, workspace.Of("b")).Verdict)
	require.Eventually(t, func() bool {
		l.commitOnce(t.Context())
		return len(reply) == 1
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, Accepted, (<-reply).Verdict, "nor does it keep that one out")
}

// lateStore is the stand-in's store. It doesn't answer transactions that contain a text, and carries them out when it is told to.
type lateStore struct {
	inner *standin.Store
	text  atomic.Pointer[string] // nil for none
	held  chan *http.Request
}

func newLateStore() *lateStore {
	return &lateStore{inner: newCancelStore(), held: make(chan *http.Request, 100)}
}

func (s *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text := s.text.Load()
	if text == nil || !strings.Contains(r.URL.Path, "rows-tx") {
		s.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !strings.Contains(string(body), *text) {
		s.inner.ServeHTTP(w, r)
		return
	}
	held := r.Clone(context.Background())
	held.Body = io.NopCloser(bytes.NewReader(body))
	s.held <- held
	panic(http.ErrAbortHandler) // closes the connection
}

// carryOut carries out the transactions that were held back, and no more are.
func (s *lateStore) carryOut() {
	s.text.Store(nil)
	for len(s.held) > 0 {
		s.inner.ServeHTTP(httptest.NewRecorder(), <-s.held)
	}
}

// hold has transactions held back that contain a text.
func (s *lateStore) hold(text string) { s.text.Store(&text) }

// Guards against a job that runs though its caller was told that there is none: the write that stores it is carried out late, or its
// submission arrives once more, at whoever takes it, after the cancellation was acknowledged by the leader or without one.
func TestCancelledJobIsNotStoredLater(t *testing.T) {
	own := wideJob // of workspace a
	for _, scenario := range []struct {
		name   string
		submit func(l *Leader, h *Handoff, id work.ID) // whose write gets no answer
	}{
		{"the leader's write is late", func(l *Leader, _ *Handoff, id work.ID) {
			_, _ = l.submit(id, servedQueue, own, gateOf(t, l, servedQueue), 0)
			l.commitOnce(t.Context())
		}},
		{"a write without the leader is late", func(_ *Leader, h *Handoff, id work.ID) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_ = h.Submit(ctx, id, servedQueue, own, 0)
		}},
		{"nothing was sent", func(*Leader, *Handoff, work.ID) {}},
	} {
		for _, by := range []string{"the next leader", "no leader"} {
			t.Run(scenario.name+", cancelled by "+by, func(t *testing.T) {
				store := newLateStore()
				id := jobID(1)
				l, h := newConfirmedLeader(newTestStore(t, store)), handoffTo(newTestStore(t, store))
				openGate(t, store.inner, servedQueue)
				store.hold(string(id))
				scenario.submit(l, h, id)
				// The daemon that took it is killed: what it has waiting is lost.
				next, daemon := newSuccessor(t, newTestStore(t, store.inner)), handoffTo(newTestStore(t, store.inner))
				var result Result
				if by == "no leader" {
					result = daemon.Cancel(t.Context(), id, servedQueue, workspace.Of("a"))
				} else {
					result = cancelAt(t, next, id, servedQueue, workspace.Of("a"))
				}
				require.Equal(t, Absent, result.Verdict, result.Why)
				require.True(t, result.Final)

				store.carryOut()
				_, stored := storedRefusal(platform.Row{Value: store.inner.Get(tableJobs, "", string(id)), Version: 1})
				require.True(t, stored, "the late write has no effect")
				require.Equal(t, Withdrawn, submitAt(t, next, id, servedQueue, own).Verdict)
				require.Equal(t, Withdrawn, daemon.Submit(t.Context(), id, servedQueue, own, daemon.store.SeenVersion()).Verdict)
				fresh := newSuccessor(t, newTestStore(t, store.inner))
				require.Equal(t, Withdrawn, submitAt(t, fresh, id, servedQueue, own).Verdict, "a leader that has not restored it meets it in the store")
				require.Equal(t, Absent, cancelAt(t, fresh, id, servedQueue, workspace.Of("a")).Verdict)
				require.False(t, next.pool.HasJob(id))
				require.False(t, fresh.pool.HasJob(id))
			})
		}
	}
}

// Guards against a job that runs because its submission reached the leader while that was storing its cancellation.
func TestSubmissionDuringItsCancellationIsKeptOut(t *testing.T) {
	l := newConfirmedLeader(newTestStore(t, newCancelStore()))
	gate := gateOf(t, l, servedQueue)
	cancelled, _ := l.keepOut(jobID(1), gate, workspace.Of("a"))
	submitted, _ := l.submit(jobID(1), servedQueue, jobOf("a"), gate, 0)
	other, _ := l.keepOut(jobID(2), gate, workspace.Of("b"))
	accepted, _ := l.submit(jobID(2), servedQueue, jobOf("a"), gate, 0)
	for l.commitOnce(t.Context()) {
	}
	require.Equal(t, Absent, (<-cancelled).Verdict)
	require.Equal(t, Withdrawn, (<-submitted).Verdict)
	require.Equal(t, Absent, (<-other).Verdict)
	require.Equal(t, Accepted, (<-accepted).Verdict)
	require.False(t, l.pool.HasJob(jobID(1)))
	require.True(t, l.pool.HasJob(jobID(2)))
}

// Guards against a cancellation of one workspace that keeps out, or reveals, the job of another with the same ID.
func TestCancellationOfAnotherWorkspaceKeepsNoJobOut(t *testing.T) {
	for _, taker := range []string{"the leader", "a daemon without it"} {
		t.Run(taker, func(t *testing.T) {
			store := newCancelStore()
			l, h := newConfirmedLeader(newTestStore(t, store)), handoffTo(newTestStore(t, store))
			id := jobID(1)
			submit := func(job work.Job) Result {
				if taker == "the leader" {
					return submitAt(t, l, id, servedQueue, job)
				}
				return h.Submit(t.Context(), id, servedQueue, job, 0)
			}
			require.Equal(t, Absent, cancelAt(t, l, id, servedQueue, workspace.Of("b")).Verdict)
			require.Equal(t, Absent, h.Cancel(t.Context(), id, servedQueue, workspace.Of("c")).Verdict)
			require.Equal(t, Withdrawn, submit(jobOf("b")).Verdict)
			require.Equal(t, Withdrawn, submit(jobOf("c")).Verdict)
			require.Equal(t, Withdrawn, submit(jobOf("")).Verdict, "they may cancel a job without a workspace")
			require.Equal(t, Accepted, submit(jobOf("a")).Verdict)

			for _, other := range []string{"b", "c", "d"} {
				require.Equal(t, Result{Verdict: Absent, Final: true}, cancelAt(t, l, id, servedQueue, workspace.Of(other)))
				require.Equal(t, Result{Verdict: Absent, Final: true}, h.Cancel(t.Context(), id, servedQueue, workspace.Of(other)))
				require.Equal(t, Taken, submit(jobOf(other)).Verdict)
			}
			require.Equal(t, Accepted, cancelAt(t, l, id, servedQueue, workspace.Of("a")).Verdict)
		})
	}
}

// countingStore is the stand-in's store and counts calls.
type countingStore struct {
	inner *standin.Store
	calls atomic.Int64
}

func (s *countingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	s.inner.ServeHTTP(w, r)
}

// Guards against an answer from whose time a caller learns whether another workspace has a job: a cancellation takes as many calls to
// the store for a job that there isn't, the first time and again, as for another's, stored or being stored.
func TestCancellationTakesTheSameForNoJobAndAnothers(t *testing.T) {
	for _, by := range []string{"the leader", "a daemon without it"} {
		t.Run(by, func(t *testing.T) {
			store := &countingStore{inner: newCancelStore()}
			l, h := newConfirmedLeader(newTestStore(t, store)), handoffTo(newTestStore(t, store))
			require.Equal(t, Accepted, submitAt(t, l, jobID(1), servedQueue, jobOf("a")).Verdict)
			l.commitOnce(t.Context())
			_ = gateOf(t, l, servedQueue)
			require.Equal(t, Accepted, h.Submit(t.Context(), jobID(2), servedQueue, jobOf("a"), 0).Verdict)
			cost := func(id work.ID) int64 {
				before := store.calls.Load()
				var result Result
				if by == "the leader" {
					result = cancelAt(t, l, id, servedQueue, workspace.Of("b"))
				} else {
					result = h.Cancel(t.Context(), id, servedQueue, workspace.Of("b"))
				}
				require.Equal(t, Result{Verdict: Absent, Final: true}, result)
				return store.calls.Load() - before
			}
			another, none := cost(jobID(1)), cost(jobID(3))
			require.Equal(t, another, none)
			require.Equal(t, none, cost(jobID(1)))
			if by == "the leader" {
				require.Equal(t, none, cost(jobID(3)), "once more")
			}
		})
	}
}

// Guards against rows without bound: anyone may cancel any ID.
func TestRowsOfCancelledJobsAreBounded(t *testing.T) {
	rows := newRefusedRows()
	own := func(n int, name string) refusedRow {
		return refusedRow{version: int64(n + 1), cancelled: cancelledWith(refusedRow{}, workspace.Of(name))}
	}
	n := 0
	for ; !rows.full(workspace.Of("a")); n++ {
		rows.note(jobID(n), own(n, "a"))
	}
	require.Equal(t, maxCancelledShare, n)
	require.False(t, rows.full(workspace.Of("b")), "one workspace leaves room for the others")
	for ; !rows.full(workspace.Of("b")); n++ {
		rows.note(jobID(n), own(n, "b"))
	}
	require.Equal(t, maxCancelledRows, n)
	require.True(t, rows.full(workspace.Of("c")))
	require.True(t, rows.full(workspace.Anyone()))
	rows.note(jobID(n-1), own(n, "b"))
	require.Equal(t, maxCancelledRows, rows.total, "a row that is written again counts once")
	for i := range n {
		rows.forget(jobID(i))
	}
	require.Equal(t, newRefusedRows(), rows)

	h := handoffTo(newTestStore(t, newCancelStore()))
	answers := map[Verdict]int{}
	for i := range 20 {
		answers[h.Cancel(t.Context(), jobID(i), servedQueue, workspace.Of("a")).Verdict]++
	}
	require.LessOrEqual(t, answers[Absent], 2*maxKeptOut, "in a second, or two where one has just begun")
	require.Positive(t, answers[Absent])
	require.Positive(t, answers[Unknown])
}

// Guards against rows that stay for good, and against the deletion of a job that has replaced one since.
func TestRowsOfCancelledJobsLeave(t *testing.T) {
	store := newCancelStore()
	l, h := newConfirmedLeader(newTestStore(t, store)), handoffTo(newTestStore(t, store))
	now := time.Now()
	l.Now = func() time.Time { return now }
	require.Equal(t, Absent, cancelAt(t, l, jobID(1), servedQueue, workspace.Of("b")).Verdict)
	require.Equal(t, Absent, cancelAt(t, l, jobID(2), servedQueue, workspace.Of("b")).Verdict)
	require.Equal(t, Accepted, h.Submit(t.Context(), jobID(2), servedQueue, jobOf("a"), 0).Verdict)
	commitAll := func() {
		for range 5 {
			l.commitOnce(t.Context())
		}
	}
	now = now.Add(refusedTTL / 2)
	l.forgetRefused(now)
	commitAll()
	require.NotNil(t, store.Get(tableJobs, "", string(jobID(1))), "tries may still arrive")
	now = now.Add(refusedTTL)
	l.forgetRefused(now)
	commitAll()
	require.Nil(t, store.Get(tableJobs, "", string(jobID(1))))
	require.NotNil(t, store.Get(tableJobs, "", string(jobID(2))), "it is another workspace's job by now")
	require.Empty(t, l.intents)
}
