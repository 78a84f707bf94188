package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/work"
)

// blockingStore is the stand-in's store. It counts transactions and blocks them until unblock is closed.
type blockingStore struct {
	inner   *standin.Store
	txCount atomic.Int64
	unblock chan struct{}
	firstTx chan struct{} // closed by the first transaction
	once    sync.Once
}

func (s *blockingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "rows-tx") {
		s.txCount.Add(1)
		s.once.Do(func() { close(s.firstTx) })
		<-s.unblock
	}
	s.inner.ServeHTTP(w, r)
}

func newTestHandoff(t *testing.T) (*Handoff, *blockingStore) {
	store := &blockingStore{inner: standin.NewStore(rand.New(rand.NewPCG(1, 1))), unblock: make(chan struct{}), firstTx: make(chan struct{})}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), platform.DialTCP, platform.NewMeter())
	t.Cleanup(client.Close)
	openGate(t, store.inner, handoffQueue)
	return handoffTo(client), store
}

var (
	handoffQueue = work.Queue{Name: "q", Service: ""}
	handoffJob   = work.Job{Spec: "x", Steps: []work.Step{{Count: 1}}}
)

func jobID(n int) work.ID { return work.ID(fmt.Sprintf("%016x", n)) }

// submitAll submits jobs concurrently and returns a function that waits for their results.
func submitAll(ctx context.Context, h *Handoff, from, to int) func() []Result {
	results := make([]Result, to-from)
	var wg sync.WaitGroup
	for n := from; n < to; n++ {
		wg.Go(func() { results[n-from] = h.Submit(ctx, jobID(n), handoffQueue, handoffJob, 0) })
	}
	return func() []Result {
		wg.Wait()
		return results
	}
}

// awaitWaiting waits until n jobs are queued.
func awaitWaiting(t *testing.T, h *Handoff, n int) {
	require.Eventually(t, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.queues[""] != nil && len(h.queues[""].waiting) == n
	}, time.Minute, time.Millisecond)
}

func TestHandoffBatchesJobs(t *testing.T) {
	h, store := newTestHandoff(t)
	one := submitAll(t.Context(), h, 0, 1)
	<-store.firstTx
	rest := submitAll(t.Context(), h, 1, 1+2*maxHandoffJobs)
	awaitWaiting(t, h, 2*maxHandoffJobs)
	close(store.unblock)
	for _, result := range append(one(), rest()...) {
		require.Equal(t, Accepted, result.Verdict, result.Why)
	}
	require.EqualValues(t, 3, store.txCount.Load())
	for n := range 1 + 2*maxHandoffJobs {
		require.NotEmpty(t, store.inner.Get(tableJobs, "", string(jobID(n))))
		require.NotEmpty(t, store.inner.Get(tableInbox, "", string(jobID(n))))
	}
}

// A job that the store already has must neither be stored again nor prevent the other jobs of its batch from being
// stored.
func TestHandoffSkipsStoredJob(t *testing.T) {
	h, store := newTestHandoff(t)
	store.inner.Put(tableJobs, string(jobID(2)), "stored before")
	blocker := submitAll(t.Context(), h, 0, 1)
	<-store.firstTx
	rest := submitAll(t.Context(), h, 1, 4)
	awaitWaiting(t, h, 3)
	close(store.unblock)
	for _, result := range append(blocker(), rest()...) {
		require.Equal(t, Accepted, result.Verdict, result.Why)
	}
	require.JSONEq(t, `"stored before"`, string(store.inner.Get(tableJobs, "", string(jobID(2)))))
	require.NotEmpty(t, store.inner.Get(tableJobs, "", string(jobID(1))))
	require.NotEmpty(t, store.inner.Get(tableJobs, "", string(jobID(3))))
}

// A job that was not sent to the store before its caller's deadline must not be stored afterwards: its caller is told
// that this try was not stored.
func TestHandoffWithdrawnJobNeverStored(t *testing.T) {
	h, store := newTestHandoff(t)
	blocker := submitAll(t.Context(), h, 0, 1)
	<-store.firstTx
	ctx, cancel := context.WithCancel(t.Context())
	late := submitAll(ctx, h, 1, 2)
	awaitWaiting(t, h, 1)
	cancel()
	result := late()[0]
	require.Equal(t, Unknown, result.Verdict)
	require.Positive(t, result.Retry)
	close(store.unblock)
	require.Equal(t, Accepted, blocker()[0].Verdict)
	require.Empty(t, store.inner.Get(tableJobs, "", string(jobID(1))))
	require.EqualValues(t, 1, store.txCount.Load())
}

// A job that is submitted twice at the same time must be stored once, and both callers must be told that it is
// accepted.
func TestHandoffStoresDuplicateOnce(t *testing.T) {
	h, store := newTestHandoff(t)
	blocker := submitAll(t.Context(), h, 0, 1)
	<-store.firstTx
	a, b := submitAll(t.Context(), h, 1, 2), submitAll(t.Context(), h, 1, 2)
	awaitWaiting(t, h, 2)
	close(store.unblock)
	require.Equal(t, Accepted, blocker()[0].Verdict)
	require.Equal(t, Accepted, a()[0].Verdict)
	require.Equal(t, Accepted, b()[0].Verdict)
	require.EqualValues(t, 3, store.txCount.Load())
}

// lossyStore is the stand-in's store. It executes the first transaction without answering it.
type lossyStore struct {
	inner   *standin.Store
	txCount atomic.Int64
}

func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "rows-tx") && s.txCount.Add(1) == 1 {
		s.inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler) // closes the connection
	}
	s.inner.ServeHTTP(w, r)
}

func TestHandoffRepeatsUnansweredTransaction(t *testing.T) {
	store := &lossyStore{inner: standin.NewStore(rand.New(rand.NewPCG(1, 1)))}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), platform.DialTCP, platform.NewMeter())
	t.Cleanup(client.Close)
	openGate(t, store.inner, handoffQueue)
	h := handoffTo(client)
	require.Equal(t, Accepted, h.Submit(t.Context(), jobID(1), handoffQueue, handoffJob, 0).Verdict)
	require.EqualValues(t, 2, store.txCount.Load())
}
