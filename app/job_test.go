package app

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/api/oas"
	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/job"
	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
	"gypsumlead/settings"
)

const gigabyte = 1 << 30

// addWorker makes a worker and puts it into a pool.
func (b *bench) addWorker(id, in string) {
	b.t.Helper()
	b.platform.PutWorker(backing.Worker{
		Instance: backing.Instance{ID: id, Region: "r", Centre: "c", Rack: id},
		Total:    backing.Size{Cores: 4, Memory: 8 * gigabyte},
	})
	w, err := b.platform.Instance(id)
	require.NoError(b.t, err)
	b.accept(pool.ProposeAssign(pool.Request{ID: "assign-" + id}, in, w))
}

// head returns a job's progress as it stands in the table.
func (b *bench) head(in, name string) job.Job {
	rows, err := b.platform.Table.Read(b.t.Context(), job.HeadKey(in, name))
	require.NoError(b.t, err)
	var j job.Job
	if rows[0].Version > 0 {
		require.NoError(b.t, json.Unmarshal(rows[0].Value, &j))
	}
	return j
}

func TestDaemonRunsJobs(t *testing.T) {
	b := newBench(t, func(s *settings.Settings) {
		s.Duties.Life = time.Second
		s.Duties.Step = 20 * time.Millisecond
		s.Tokens = []settings.Token{{Name: "maria", Secret: testSecret}}
	})
	b.platform.SetProfile("nightly", standin.Profile{Run: 50 * time.Millisecond})
	b.put("batch", &record.Pool{Budget: record.Budget{Out: 1}})
	b.put("stock", &record.Team{Quotas: []record.Quota{{Cores: 8, Memory: 16 * gigabyte}}})
	for i := range 2 {
		b.addWorker(fmt.Sprintf("worker-%d", i), "batch")
	}
	size := backing.Size{Cores: 1, Memory: gigabyte}
	b.put("nightly", &record.Job{Team: "stock", Pool: "batch", Count: 6, Size: size, Restart: true})
	huge := backing.Size{Cores: 64, Memory: gigabyte}
	b.put("huge", &record.Job{Team: "stock", Pool: "batch", Count: 1, Size: huge})

	require.Eventually(t, func() bool { return b.head("batch", "nightly").Phase == job.Complete }, patience, 10*time.Millisecond)
	require.Equal(t, 6, b.head("batch", "nightly").Done)

	// What can never run is refused with the reason, which the audit trail has too.
	require.Eventually(t, func() bool { return b.head("batch", "huge").Phase == job.Refused }, patience, 10*time.Millisecond)
	require.NotEmpty(t, b.head("batch", "huge").Why)
	entries, err := b.app.trail.Read(t.Context(), audit.Subject{Kind: "job", Name: "huge"}, time.Time{}, time.Time{})
	require.NoError(t, err)
	require.Contains(t, audit.Explain(entries), "unfit")

	// What was decided on a worker can be explained too.
	client, err := oas.NewClient("http://"+b.app.Addrs().Operators.String(), secret{})
	require.NoError(t, err)
	res, err := client.Explain(t.Context(), oas.ExplainParams{Kind: oas.ExplainKindInstance, Name: "worker-0"})
	require.NoError(t, err)
	var acts []string
	for _, e := range res.Entries {
		acts = append(acts, e.Act)
	}
	require.Contains(t, acts, "assign")
	require.Contains(t, acts, "place")
	require.Zero(t, b.app.metrics.breaches.Load())
}

const testSecret = "a-secret-of-the-test"

// secret is the test's token.
type secret struct{}

func (secret) Token(context.Context, oas.OperationName) (oas.Token, error) {
	return oas.Token{Token: testSecret}, nil
}

// TestDeletedJobIsStopped deletes the record of a pool's only job while its tasks run.
func TestDeletedJobIsStopped(t *testing.T) {
	b := newBench(t, func(s *settings.Settings) {
		s.Duties.Life = time.Second
		s.Duties.Step = 20 * time.Millisecond
	})
	b.platform.SetProfile("endless", standin.Profile{Run: time.Hour})
	b.put("batch", &record.Pool{Budget: record.Budget{Out: 1}})
	b.put("stock", &record.Team{Quotas: []record.Quota{{Cores: 8, Memory: 16 * gigabyte}}})
	b.addWorker("worker-0", "batch")
	b.put("endless", &record.Job{Team: "stock", Pool: "batch", Count: 1, Size: backing.Size{Cores: 1, Memory: gigabyte}})
	running := func() int {
		n := 0
		for _, r := range b.platform.Tasks("worker-0") {
			if r.State == backing.TaskRunning {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return running() == 1 }, patience, 10*time.Millisecond)
	key := record.Key{Kind: record.KindJob, Name: "endless"}
	e, ok := b.app.state.Get(key)
	require.True(t, ok)
	b.accept(journal.Proposal{ID: "delete-endless", Records: []record.Key{key}, Decide: func(rows journal.Rows) (journal.Decision, error) {
		gone, err := journal.DeleteOn(rows, key, e.Version)
		return journal.Decision{Edits: []record.Envelope{gone}}, err
	}})
	require.Eventually(t, func() bool { return running() == 0 }, patience/3, 10*time.Millisecond, "its task runs on")
}
