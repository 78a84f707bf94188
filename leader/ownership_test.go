package leader

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// jobOf returns a job of a workspace.
func jobOf(name string) work.Job {
	job := handoffJob
	job.Workspace = name
	return job
}

// storeWithJob returns a store with a job of workspace a, stored without the leader. beforeTx is called before each
// transaction.
func storeWithJob(t *testing.T, beforeTx func()) (*platform.Store, *standin.Store, *Handoff) {
	inner := standin.NewStore(rand.New(rand.NewPCG(1, 1)))
	store := newTestStore(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "rows-tx") {
			beforeTx()
		}
		inner.ServeHTTP(w, r)
	}))
	h := handoffTo(store)
	require.Equal(t, Accepted, h.Submit(t.Context(), jobID(1), handoffQueue, jobOf("a"), 0).Verdict)
	return store, inner, h
}

// Two workspaces choose the same ID. The one whose job isn't stored must neither be told that it is nor get the other's,
// whoever stores the jobs, and a repeat of the stored one must still be accepted.
func TestIDOfAnotherWorkspacesJob(t *testing.T) {
	store, _, h := storeWithJob(t, func() {})

	l := newConfirmedLeader(store)
	reply, _ := l.submit(jobID(1), handoffQueue, jobOf("b"), gateOf(t, l, handoffQueue), 0)
	_, other := l.submit(jobID(1), handoffQueue, jobOf("a"), gateOf(t, l, handoffQueue), 0)
	require.Equal(t, Unknown, other.Verdict, "the ID's owner is decided by the store")
	l.commitOnce(t.Context())
	require.Equal(t, Taken, (<-reply).Verdict)
	for name, want := range map[string]Verdict{"a": Accepted, "b": Taken, "": Taken} {
		require.Equal(t, want, l.Submit(t.Context(), jobID(1), handoffQueue, jobOf(name), 0).Verdict, name)
		require.Equal(t, want, h.Submit(t.Context(), jobID(1), handoffQueue, jobOf(name), 0).Verdict, name)
	}

	require.Equal(t, Absent, l.State(t.Context(), jobID(1), workspace.Of("b")).Verdict)
	require.Equal(t, Absent, cancelAt(t, l, jobID(1), handoffQueue, workspace.Of("b")).Verdict)
	require.Equal(t, Result{State: work.Queued}, l.State(t.Context(), jobID(1), workspace.Of("a")))
	require.Equal(t, Result{State: work.Queued}, l.State(t.Context(), jobID(1), workspace.Anyone()))
}

// A cancellation goes through the store while no leader answers. It must not reach another workspace's job, also if the
// owner can't be read, and a late execution must not reach a job that got the ID afterwards.
func TestStoredJobOfAnotherWorkspace(t *testing.T) {
	beforeTx := func() {}
	store, inner, h := storeWithJob(t, func() { beforeTx() })
	cancel := func(name string, want Verdict, wantErr, wantStored bool) {
		t.Helper()
		result, err := CancelStored(t.Context(), store, "", jobID(1), workspace.Of(name))
		require.Equal(t, wantErr, err != nil)
		if err == nil {
			require.Equal(t, want, result.Verdict)
		}
		require.Equal(t, wantStored, inner.Get(tableInbox, "", string(jobID(1))+cancelSuffix) != nil)
	}
	state, err := StoredState(t.Context(), store, "", jobID(1), workspace.Of("b"))
	require.NoError(t, err)
	require.Equal(t, Absent, state.Verdict)
	cancel("b", Absent, false, false)

	beforeTx = func() { inner.Put(tableJobs, string(jobID(1)), jobRow{Job: jobOf("c")}) }
	cancel("a", Accepted, true, false)
	beforeTx = func() {}
	inner.Put(tableJobs, string(jobID(1)), "no job")
	cancel("a", Accepted, true, false)
	require.Equal(t, Unknown, h.Submit(t.Context(), jobID(1), handoffQueue, jobOf("a"), 0).Verdict)

	inner.Put(tableJobs, string(jobID(1)), jobRow{Job: jobOf("a")})
	cancel("a", Accepted, false, true)
}
