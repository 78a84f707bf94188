package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/sched"
	"gypsumlead/work"
)

// Mail that cancels a job must stay until the store has the job as cancelled: it is all that a next holder
// would know of it.
func TestMailThatCancelsStaysUntilItIsStored(t *testing.T) {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	h := New(Lease{Service: "s", AcquiredAt: now}, sched.LeaseConfig{}, Deps{Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now }})
	id := work.ID("000000000000000a")
	h.pool.Accept(now, id, work.Queue{Name: "q", Service: "s", Attempts: 1}, work.Job{Spec: "x", Steps: []work.Step{{Count: 1}}})
	h.pool.Cancel(now, id)
	h.queue = []*intent{
		{kind: unmail, id: id, key: string(id) + cancelSuffix},
		{kind: unmail, id: id, key: string(id)},
	}
	got := h.fitting()
	require.Len(t, got, 1)
	require.Equal(t, string(id), got[0].key)
	h.pool.MarkCommitted(now, h.pool.UncommittedBatch(now, 10, true))
	require.Len(t, h.fitting(), 2)
}

func TestCommitsStayWithinTheStoresLimits(t *testing.T) {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	h := New(Lease{Service: "s", AcquiredAt: now}, sched.LeaseConfig{}, Deps{Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now }})
	for range 100 {
		h.queue = append(h.queue, &intent{kind: submit, value: make([]byte, 100)})
	}
	require.Len(t, h.fitting(), batchMost)
	h.queue = nil
	for range 10 {
		h.queue = append(h.queue, &intent{kind: submit, value: make([]byte, rowMost)})
	}
	n := len(h.fitting())
	require.LessOrEqual(t, n*rowMost, batchBytes)
	require.Positive(t, n)
}
