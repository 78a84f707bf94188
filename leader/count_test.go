package leader

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/home"
	"gypsumlead/member"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/standin"
	"gypsumlead/work"
)

// muteStore is the stand-in's store. It executes the first transaction without answering it and refuses those that follow.
type muteStore struct {
	inner   *standin.Store
	txCount atomic.Int64
}

func (s *muteStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case !strings.Contains(r.URL.Path, "rows-tx"):
		s.inner.ServeHTTP(w, r)
	case s.txCount.Add(1) == 1:
		s.inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler) // closes the connection
	default:
		w.WriteHeader(http.StatusTooManyRequests)
	}
}

func newTestStore(t *testing.T, handler http.Handler) *platform.Store {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), platform.DialTCP, platform.NewMeter())
	t.Cleanup(client.Close)
	return client
}

// newConfirmedLeader returns a leader that has just heard from the store.
func newConfirmedLeader(store *platform.Store) *Leader {
	l := New(Lease{AcquiredAt: time.Now()}, sched.LeaseConfig{}, Deps{
		Store: store, Homes: home.NewDirectory(store, zap.NewNop()), Log: zap.NewNop(), OnViolation: func(error) {}, Now: time.Now, HeartbeatTimeout: time.Hour,
		Heartbeat: func() member.HeartbeatState { return member.HeartbeatState{Acked: time.Now()} },
	})
	l.inboxReadAt = time.Now()
	return l
}

// The leader's own transaction stored the job unanswered, so the daemon that hands it off finds it and accepts it.
func TestCountIncludesJobsWhoseTransactionWasNotAnswered(t *testing.T) {
	store := &muteStore{inner: standin.NewStore(rand.New(rand.NewPCG(1, 1)))}
	openGate(t, store.inner, handoffQueue)
	l := newConfirmedLeader(newTestStore(t, store))
	reply, _ := l.submit(jobID(1), handoffQueue, handoffJob, gateOf(t, l, handoffQueue), 0)
	l.commitOnce(t.Context())
	h := handoffTo(newTestStore(t, store.inner))
	require.Equal(t, Accepted, h.Submit(t.Context(), jobID(1), handoffQueue, handoffJob, 0).Verdict)
	l.commitOnce(t.Context())
	require.Empty(t, reply)
	require.False(t, l.pool.HasJob(jobID(1)))

	result := l.Pending(t.Context(), handoffQueue)

	require.Equal(t, Accepted, result.Verdict, result.Why)
	require.Equal(t, 1, result.Pending)
	require.Zero(t, l.Pending(t.Context(), work.Queue{Name: "other"}).Pending)
}

func TestCountIsNotGivenByALeaderThatKnowsOfAnother(t *testing.T) {
	l := newConfirmedLeader(newTestStore(t, standin.NewStore(rand.New(rand.NewPCG(1, 1)))))
	require.Equal(t, Accepted, l.Pending(t.Context(), work.Queue{Name: "q"}).Verdict)
	l.loseLease(fault.New(fault.Fenced, "b is now the leader"))
	require.Equal(t, Refused, l.Pending(t.Context(), work.Queue{Name: "q"}).Verdict)
}

// A caller submits the job to the leader while the job's load from the inbox has to be repeated.
func TestCountIncludesAJobOnceThatTheInboxHasToo(t *testing.T) {
	l := newConfirmedLeader(newTestStore(t, standin.NewStore(rand.New(rand.NewPCG(1, 1)))))
	l.noteUnloaded([]platform.Row{{RowKey: rowKey(tableInbox, "", string(jobID(1))), Value: []byte(`{"queue":"q"}`)}})
	require.Equal(t, 1, l.Pending(t.Context(), work.Queue{Name: "q"}).Pending)
	l.pool.Accept(time.Now(), jobID(1), handoffQueue, handoffJob)
	require.Equal(t, 1, l.Pending(t.Context(), work.Queue{Name: "q"}).Pending)
}

// With one site's bound on cancellations for all, tasks started later than another's, or waited though they need not.
func TestMayStartFollowsTheBoundOnCancellations(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		within, age time.Duration
		may         bool
	}{
		{3 * time.Second, 2500 * time.Millisecond, true},
		{3 * time.Second, 2501 * time.Millisecond, false},
		{2 * time.Second, 1501 * time.Millisecond, false},
		{5 * time.Second, 4500 * time.Millisecond, true},
	} {
		l := New(Lease{AcquiredAt: now}, sched.LeaseConfig{}, Deps{Log: zap.NewNop(), CancelWithin: tc.within})
		l.guarded, l.runnersRead, l.inboxReadAt = true, true, now.Add(-tc.age)
		require.Equal(t, tc.may, l.mayStart(now), "%+v", tc)
	}
}
