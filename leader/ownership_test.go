package leader

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

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

// hookedStore is the stand-in's store, with a function that is called before each transaction.
type hookedStore struct {
	inner    *standin.Store
	beforeTx func()
}

func (s *hookedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "rows-tx") {
		s.beforeTx()
	}
	s.inner.ServeHTTP(w, r)
}

// storeWithJob returns a store with a job of workspace a, stored by a daemon without the leader.
func storeWithJob(t *testing.T) (*platform.Store, *hookedStore) {
	hooked := &hookedStore{inner: standin.NewStore(rand.New(rand.NewPCG(1, 1))), beforeTx: func() {}}
	store := newTestStore(t, hooked)
	require.Equal(t, Accepted, NewHandoff(store, zap.NewNop(), time.Now).Submit(t.Context(), jobID(1), handoffQueue, jobOf("a")).Verdict)
	return store, hooked
}

// Two workspaces choose the same ID. The one whose job isn't stored must neither be told that it is nor get the other's,
// whoever stores the jobs, and a repeat of the stored one must still be accepted.
func TestIDOfAnotherWorkspacesJob(t *testing.T) {
	store, _ := storeWithJob(t)
	h := NewHandoff(store, zap.NewNop(), time.Now)
	require.Equal(t, Taken, h.Submit(t.Context(), jobID(1), handoffQueue, jobOf("b")).Verdict)
	require.Equal(t, Taken, h.Submit(t.Context(), jobID(1), handoffQueue, jobOf("")).Verdict)
	require.Equal(t, Accepted, h.Submit(t.Context(), jobID(1), handoffQueue, jobOf("a")).Verdict)

	l := newConfirmedLeader(store)
	reply, _ := l.submit(jobID(1), handoffQueue, jobOf("b"))
	_, other := l.submit(jobID(1), handoffQueue, jobOf("a"))
	require.Equal(t, Unknown, other.Verdict, "the ID's owner is decided by the store")
	l.commitOnce(t.Context())
	require.Equal(t, Taken, (<-reply).Verdict)
	for name, want := range map[string]Verdict{"a": Accepted, "b": Taken, "": Taken} {
		require.Equal(t, want, l.Submit(t.Context(), jobID(1), handoffQueue, jobOf(name)).Verdict, name)
	}

	require.Equal(t, Absent, l.State(jobID(1), workspace.Of("b")).Verdict)
	require.Equal(t, Absent, l.Cancel(t.Context(), jobID(1), workspace.Of("b")).Verdict)
	require.Equal(t, Result{State: work.Queued}, l.State(jobID(1), workspace.Of("a")))
	require.Equal(t, Result{State: work.Queued}, l.State(jobID(1), workspace.Anyone()))
}

// A cancellation goes through the store while no leader answers. It must not reach another workspace's job, also if the
// owner can't be read, and a late execution must not reach a job that got the ID afterwards.
func TestStoredJobOfAnotherWorkspace(t *testing.T) {
	store, hooked := storeWithJob(t)
	cancel := func(name string) (Result, error) {
		return HandOffCancel(t.Context(), store, "", jobID(1), workspace.Of(name))
	}
	cancelled := func() bool { return hooked.inner.Get(tableInbox, "", string(jobID(1))+cancelSuffix) != nil }
	state, err := StoredState(t.Context(), store, "", jobID(1), workspace.Of("b"))
	require.NoError(t, err)
	require.Equal(t, Absent, state.Verdict)
	result, err := cancel("b")
	require.NoError(t, err)
	require.Equal(t, Absent, result.Verdict)

	hooked.beforeTx = func() { hooked.inner.Put(tableJobs, string(jobID(1)), jobRow{Job: jobOf("c")}) }
	_, err = cancel("a")
	require.Error(t, err)
	require.False(t, cancelled())

	hooked.beforeTx = func() {}
	hooked.inner.Put(tableJobs, string(jobID(1)), "no job")
	_, err = cancel("a")
	require.Error(t, err)
	require.Equal(t, Unknown, NewHandoff(store, zap.NewNop(), time.Now).Submit(t.Context(), jobID(1), handoffQueue, jobOf("a")).Verdict)
	require.False(t, cancelled())

	hooked.inner.Put(tableJobs, string(jobID(1)), jobRow{Job: jobOf("a")})
	result, err = cancel("a")
	require.NoError(t, err)
	require.Equal(t, Accepted, result.Verdict)
	require.True(t, cancelled())
}
