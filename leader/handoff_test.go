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
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/work"
)

// counted is a stand-in's store that counts transactions and holds them up until it is let go.
type counted struct {
	store *standin.Store
	txs   atomic.Int64
	open  chan struct{}
	first chan struct{} // closed by the first transaction
	once  sync.Once
}

func (c *counted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "rows-tx") {
		c.txs.Add(1)
		c.once.Do(func() { close(c.first) })
		<-c.open
	}
	c.store.ServeHTTP(w, r)
}

func newDirects(t *testing.T) (*Handoff, *counted) {
	c := &counted{store: standin.NewStore(rand.New(rand.NewPCG(1, 1))), open: make(chan struct{}), first: make(chan struct{})}
	srv := httptest.NewServer(c)
	t.Cleanup(srv.Close)
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), platform.DialTCP, platform.NewMeter())
	t.Cleanup(client.Close)
	return NewHandoff(client, zap.NewNop(), time.Now), c
}

var (
	directQueue = work.Queue{Name: "q", Service: ""}
	directJob   = work.Job{Spec: "x", Steps: []work.Step{{Count: 1}}}
)

func jobID(n int) work.ID { return work.ID(fmt.Sprintf("%016x", n)) }

// submitAll submits jobs at the same time and returns a function that waits for their answers.
func submitAll(ctx context.Context, d *Handoff, from, to int) func() []Result {
	list := make([]Result, to-from)
	var wg sync.WaitGroup
	for n := from; n < to; n++ {
		wg.Go(func() { list[n-from] = d.Submit(ctx, jobID(n), directQueue, directJob) })
	}
	return func() []Result {
		wg.Wait()
		return list
	}
}

// waitingIn waits until so many letters wait.
func waitingIn(t *testing.T, d *Handoff, n int) {
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.lines[""] != nil && len(d.lines[""].waiting) == n
	}, time.Minute, time.Millisecond)
}

func TestJobsWithoutTheirHolderGoOutTogether(t *testing.T) {
	d, c := newDirects(t)
	one := submitAll(t.Context(), d, 0, 1)
	<-c.first
	rest := submitAll(t.Context(), d, 1, 1+2*directMost)
	waitingIn(t, d, 2*directMost)
	close(c.open)
	for _, a := range append(one(), rest()...) {
		require.Equal(t, Accepted, a.Verdict, a.Why)
	}
	require.EqualValues(t, 3, c.txs.Load())
	for n := range 1 + 2*directMost {
		require.NotEmpty(t, c.store.Get(tableJobs, "", string(jobID(n))))
		require.NotEmpty(t, c.store.Get(tableMail, "", string(jobID(n))))
	}
}

// A job that the store has already must not keep those beside it from being stored, nor be stored again.
func TestJobThatIsStoredDoesNotHoldUpTheOthers(t *testing.T) {
	d, c := newDirects(t)
	c.store.Put(tableJobs, string(jobID(2)), "there before")
	blocker := submitAll(t.Context(), d, 0, 1)
	<-c.first
	rest := submitAll(t.Context(), d, 1, 4)
	waitingIn(t, d, 3)
	close(c.open)
	for _, a := range append(blocker(), rest()...) {
		require.Equal(t, Accepted, a.Verdict, a.Why)
	}
	require.JSONEq(t, `"there before"`, string(c.store.Get(tableJobs, "", string(jobID(2)))))
	require.NotEmpty(t, c.store.Get(tableJobs, "", string(jobID(1))))
	require.NotEmpty(t, c.store.Get(tableJobs, "", string(jobID(3))))
}

// "Not run" must be true: a job that was refused because its caller's time was over is never stored.
func TestJobThatIsRefusedWhileItWaitsIsNeverStored(t *testing.T) {
	d, c := newDirects(t)
	blocker := submitAll(t.Context(), d, 0, 1)
	<-c.first
	ctx, cancel := context.WithCancel(t.Context())
	late := submitAll(ctx, d, 1, 2)
	waitingIn(t, d, 1)
	cancel()
	a := late()[0]
	require.Equal(t, Refused, a.Verdict)
	require.Positive(t, a.Retry)
	close(c.open)
	require.Equal(t, Accepted, blocker()[0].Verdict)
	require.Empty(t, c.store.Get(tableJobs, "", string(jobID(1))))
	require.EqualValues(t, 1, c.txs.Load())
}

// The same job handed in twice at the same moment is stored once, and both callers are told so.
func TestTheSameJobTwiceIsStoredOnce(t *testing.T) {
	d, c := newDirects(t)
	blocker := submitAll(t.Context(), d, 0, 1)
	<-c.first
	a, b := submitAll(t.Context(), d, 1, 2), submitAll(t.Context(), d, 1, 2)
	waitingIn(t, d, 2)
	close(c.open)
	require.Equal(t, Accepted, blocker()[0].Verdict)
	require.Equal(t, Accepted, a()[0].Verdict)
	require.Equal(t, Accepted, b()[0].Verdict)
	require.EqualValues(t, 3, c.txs.Load())
}
