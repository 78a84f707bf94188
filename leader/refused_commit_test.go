package leader

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
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

// refusingStore is the stand-in's store, which refuses each transaction that has a text in it for its content.
type refusingStore struct {
	inner  *standin.Store
	text   string
	status int
}

func (s *refusingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(r.URL.Path, "rows-tx") && bytes.Contains(body, []byte(s.text)) {
		w.WriteHeader(s.status)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.inner.ServeHTTP(w, r)
}

// newRefusingStore returns a client of a refusingStore.
func newRefusingStore(t *testing.T, text string, status int) *platform.Store {
	server := httptest.NewServer(&refusingStore{inner: standin.NewStore(rand.New(rand.NewPCG(1, 1))), text: text, status: status})
	t.Cleanup(server.Close)
	client := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), platform.DialTCP, platform.NewMeter())
	t.Cleanup(client.Close)
	return client
}

// newStoringLeader returns a leader that doesn't run, for tests of its commits.
func newStoringLeader(store *platform.Store) *Leader {
	return New(Lease{Service: "s", AcquiredAt: time.Now()}, sched.LeaseConfig{}, Deps{
		Store: store, Homes: home.NewDirectory(store, zap.NewNop()), Log: zap.NewNop(), OnViolation: func(error) {}, Now: time.Now, HeartbeatTimeout: time.Hour,
		Heartbeat: func() member.HeartbeatState { return member.HeartbeatState{Acked: time.Now()} },
	})
}

// Guards against a service that commits nothing any more because the store refuses the row of one of its jobs.
func TestRefusedRowDoesNotHoldUpOtherJobs(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusForbidden, http.StatusRequestEntityTooLarge} {
		for _, jobs := range []int{1, 2, 7, 40} {
			t.Run(fmt.Sprint(status, " with ", jobs, " other jobs"), func(t *testing.T) {
				refused := jobID(jobs / 2)
				l := newStoringLeader(newRefusingStore(t, fmt.Sprintf(`"Table":%q,"part":"s","Key":%q`, tableProgress, refused), status))
				for n := range jobs + 1 {
					l.pool.Accept(time.Now(), jobID(n), work.Queue{Name: "q", Service: "s", Attempts: 1}, handoffJob)
					l.pool.Cancel(time.Now(), jobID(n))
				}
				for range 40 {
					l.commitOnce(t.Context())
				}
				page, err := l.Store.ScanPartition(t.Context(), tableProgress, "s")
				require.NoError(t, err)
				require.Len(t, page.Rows, jobs)
				require.NotContains(t, joinProgress(page.Rows), refused)
				require.False(t, l.commitOnce(t.Context())) // what is refused isn't tried all the time
				require.False(t, l.isolation.active())
			})
		}
	}
}

// Guards against callers that wait for a job which the store refuses for ever, together with all others.
func TestRefusedSubmissionIsAnsweredAndOthersAreStored(t *testing.T) {
	l := newStoringLeader(newRefusingStore(t, string(jobID(3)), http.StatusBadRequest))
	var replies []chan Result
	for n := range 9 {
		reply, result := l.submit(jobID(n), work.Queue{Name: "q", Service: "s", Attempts: 1}, handoffJob, gateOf(t, l, work.Queue{Name: "q", Service: "s", Attempts: 1}), 0)
		require.NotNil(t, reply, result.Why)
		replies = append(replies, reply)
	}
	for range 20 {
		l.commitOnce(t.Context())
	}
	for n, reply := range replies {
		result := <-reply
		if n == 3 {
			require.Equal(t, Refused, result.Verdict)
			require.Zero(t, result.Retry) // no daemon can store it
			continue
		}
		require.Equal(t, Accepted, result.Verdict)
	}
}

// Guards against jobs that are handed off for ever together with one that the store refuses.
func TestRefusedHandOffIsAnsweredAndOthersAreStored(t *testing.T) {
	h := handoffTo(newRefusingStore(t, string(jobID(3)), http.StatusBadRequest))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for n, result := range submitAll(ctx, h, 0, 9)() {
		want := Accepted
		if n == 3 {
			want = Refused
		}
		require.Equal(t, want, result.Verdict, "job %d: %s", n, result.Why)
	}
}

// Guards against progress that outgrows a row of the store, and against rows that are left over once it is smaller.
func TestProgressThatOutgrowsARowIsStoredInSeveral(t *testing.T) {
	store := newRefusingStore(t, "nothing", http.StatusBadRequest)
	stored := 0
	for _, scenario := range []struct{ failed, rows int }{{10, 1}, {10_000, 3}, {5000, 2}, {15_000, 5}, {1, 1}} {
		progress := sched.Progress{State: work.Running, Tasks: &sched.TaskProgress{FailedRuns: map[int][]int{}}}
		for n := range scenario.failed {
			progress.Tasks.FailedRuns[n] = []int{1001}
		}
		put, err := newProgressPut("s", sched.JobProgress{ID: jobID(1), Progress: progress}, stored)
		require.NoError(t, err)
		require.Len(t, put.rows, scenario.rows)
		require.LessOrEqual(t, put.bytes(), maxProgressBytes)
		_, err = store.Commit(t.Context(), platform.Tx{Puts: put.rows, Deletes: put.deletes})
		require.NoError(t, err)
		stored = len(put.rows)

		l := newStoringLeader(store)
		byJob, err := l.loadProgress(t.Context())
		require.NoError(t, err)
		require.Equal(t, progress, *byJob[jobID(1)])
		require.Equal(t, stored, l.progressRows[jobID(1)])
		state, started, err := progressState(t.Context(), store, "s", jobID(1))
		require.NoError(t, err)
		require.True(t, started)
		require.Equal(t, work.Running, state)
	}
}

// Guards against a transaction that exceeds what the store takes, of rows that are each small enough.
func TestTransactionOfLargeRowsStaysWithinTheStoresLimit(t *testing.T) {
	batch := commitBatch{shards: []platform.Row{{Value: make([]byte, 8*MaxRowBytes)}}}
	l := newStoringLeader(newRefusingStore(t, "nothing", http.StatusBadRequest))
	for n := range 30 {
		l.intents = append(l.intents, &intent{kind: storeJob, id: jobID(n), value: make([]byte, MaxRowBytes)})
	}
	batch.intents = l.nextIntents(maxBatchJobs, min(maxBatchBytes, maxTxBytes-batch.size()), anyPart)
	require.NotEmpty(t, batch.intents)
	require.LessOrEqual(t, batch.size()*4/3, 1<<20)
}

// Guards against repeating a transaction for ever that the store refuses for its content, under any status.
func TestRefusalForContentIsTold(t *testing.T) {
	for _, status := range []int{400, 401, 403, 404, 405, 411, 413, 414, 415, 422} {
		_, err := newRefusingStore(t, "seat", status).Commit(t.Context(), platform.Tx{Puts: []platform.Row{{RowKey: rowKey(tableLease, "s", keyLease)}}})
		require.True(t, fault.Is(err, fault.Invalid), "%d: %v", status, err)
	}
}
