package leader

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/home"
	"gypsumlead/platform"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// movedQueue returns a queue as a version of the configuration sends it to a service.
func movedQueue(service string, version int64) work.Queue {
	return work.Queue{Name: "q-" + service, Service: service, Version: version, Path: "jobs.example/q/"}
}

// newLeaderOf returns a leader of a service that has just heard from the store, with gates of its own.
func newLeaderOf(store *platform.Store, service string) *Leader {
	l := newConfirmedLeader(store)
	l.lease.Service = service
	l.Homes = home.NewDirectory(store, zap.NewNop())
	return l
}

// Guards against a job, or an answer, that another workspace gets because a queue has moved: what holds for an ID in use, and for a
// cancellation of another's job, holds for jobs of the service before, too, by the leader and without it.
func TestJobOfTheServiceBeforeIsItsOwners(t *testing.T) {
	store := newTestStore(t, newCancelStore())
	before, after := movedQueue("old", 1), movedQueue("new", 2)
	h := handoffTo(store)
	require.Equal(t, Accepted, h.Submit(t.Context(), jobID(1), before, jobOf("a"), 0).Verdict)
	require.Equal(t, Absent, h.Cancel(t.Context(), jobID(2), before, workspace.Of("a")).Verdict)

	l := newLeaderOf(store, "new")
	other := handoffTo(store)
	for _, submit := range []func(id work.ID, name string) Result{
		func(id work.ID, name string) Result { return submitAt(t, l, id, after, jobOf(name)) },
		func(id work.ID, name string) Result { return other.Submit(t.Context(), id, after, jobOf(name), 0) },
	} {
		require.Equal(t, Accepted, submit(jobID(1), "a").Verdict, "it is known")
		require.Equal(t, Taken, submit(jobID(1), "b").Verdict)
		require.Equal(t, Withdrawn, submit(jobID(2), "a").Verdict, "it was cancelled before the queue moved")
	}
	require.Equal(t, Accepted, other.Submit(t.Context(), jobID(2), after, jobOf("b"), 0).Verdict, "not for this workspace")
	require.False(t, l.pool.HasJob(jobID(1)), "the service before runs it")
	for _, cancel := range []func(name string) Result{
		func(name string) Result { return cancelAt(t, l, jobID(1), after, workspace.Of(name)) },
		func(name string) Result { return other.Cancel(t.Context(), jobID(1), after, workspace.Of(name)) },
	} {
		require.Equal(t, Result{Verdict: Absent, Service: "old"}, cancel("a"))
		require.Equal(t, Result{Verdict: Absent, Final: true}, cancel("b"))
	}

	// A daemon that goes by the earlier configuration learns that there is a later one.
	stale := handoffTo(store)
	require.EqualValues(t, 2, stale.Submit(t.Context(), jobID(3), before, jobOf("a"), 0).Moved)
	require.EqualValues(t, 2, stale.Cancel(t.Context(), jobID(3), before, workspace.Of("a")).Moved)
	require.Equal(t, Unknown, h.Submit(t.Context(), jobID(3), before, jobOf("a"), 0).Verdict, "the gate that it knew is closed")
}

// Guards against reads for each new job for good after a queue has moved, and against a service that is dropped though it has jobs.
func TestServiceBeforeIsDroppedOnceItHasNoJobsOfTheQueue(t *testing.T) {
	inner := newCancelStore()
	store := newTestStore(t, inner)
	h := handoffTo(store)
	require.Equal(t, Accepted, h.Submit(t.Context(), jobID(1), movedQueue("old", 1), jobOf("a"), 0).Verdict)
	require.Equal(t, Accepted, h.Submit(t.Context(), jobID(2), work.Queue{Name: "other", Service: "old", Version: 1, Path: "jobs.example/other/"}, jobOf("a"), 0).Verdict)

	l := newLeaderOf(store, "new")
	queue := movedQueue("new", 2)
	l.noteQueues([]work.Queue{queue})
	require.Empty(t, l.movedQueues(), "its gate isn't open")
	require.Equal(t, []string{"old"}, gateOf(t, l, queue).Former)
	require.Len(t, l.movedQueues(), 1)
	require.NoError(t, l.dropFormer(t.Context(), queue))
	require.Equal(t, []string{"old"}, gateOf(t, l, queue).Former, "it has a job of the queue")

	_, err := store.Commit(t.Context(), platform.Tx{Deletes: []platform.RowKey{rowKey(tableJobs, "old", string(jobID(1)))}})
	require.NoError(t, err)
	require.NoError(t, l.dropFormer(t.Context(), queue))
	require.Empty(t, gateOf(t, l, queue).Former)
	require.Empty(t, l.movedQueues())
	services, err := ServicesWithJobs(t.Context(), store)
	require.NoError(t, err)
	require.Equal(t, []string{"old"}, services)
}
