package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/sched"
	"gypsumlead/work"
)

// An inbox row that cancels a job must stay until the store has the job as cancelled. Until then it is the only record
// of the cancellation that the next leader would find.
func TestCancelInboxRowKeptUntilCancelStored(t *testing.T) {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	l := New(Lease{Service: "s", AcquiredAt: now}, sched.LeaseConfig{}, Deps{Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now }})
	id := work.ID("000000000000000a")
	l.pool.Accept(now, id, work.Queue{Name: "q", Service: "s", Attempts: 1}, work.Job{Spec: "x", Steps: []work.Step{{Count: 1}}})
	l.pool.Cancel(now, id)
	l.intents = []*intent{
		{kind: deleteInbox, id: id, key: string(id) + cancelSuffix},
		{kind: deleteInbox, id: id, key: string(id)},
	}
	got := l.nextIntents(maxBatchJobs, maxBatchBytes, anyPart)
	require.Len(t, got, 1)
	require.Equal(t, string(id), got[0].key)
	l.pool.MarkCommitted(now, l.pool.UncommittedBatch(now, 10, true))
	require.Len(t, l.nextIntents(maxBatchJobs, maxBatchBytes, anyPart), 2)
}

func anyPart(commitPart) bool { return true }

func TestBatchesWithinStoreLimits(t *testing.T) {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	l := New(Lease{Service: "s", AcquiredAt: now}, sched.LeaseConfig{}, Deps{Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now }})
	for n := range 100 {
		l.intents = append(l.intents, &intent{kind: storeJob, id: jobID(n), value: make([]byte, 100)})
	}
	require.Len(t, l.nextIntents(maxBatchJobs, maxBatchBytes, anyPart), maxBatchJobs)
	l.intents = nil
	for n := range 10 {
		l.intents = append(l.intents, &intent{kind: storeJob, id: jobID(n), value: make([]byte, MaxRowBytes)})
	}
	n := len(l.nextIntents(maxBatchJobs, maxBatchBytes, anyPart))
	require.LessOrEqual(t, n*MaxRowBytes, maxBatchBytes)
	require.Positive(t, n)
}
