package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/work"
)

// A damaged row must not end the process: each next leader would restore it as well.
func TestDamagedRowOfJobEndsLeader(t *testing.T) {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	sound := []work.Step{{Count: 1}, {Count: 1, After: []int{0}}}
	for _, tc := range []struct {
		name     string
		steps    []work.Step
		progress *sched.Progress
		restored bool
	}{
		{"sound", sound, nil, true},
		{"after a step that doesn't exist", []work.Step{{Count: 1, After: []int{7}}}, nil, false},
		{"negative number of tasks", []work.Step{{Count: -1}}, nil, false},
		{"progress of a negative occurrence", sound, &sched.Progress{State: work.Running, Occurrences: []sched.OccurrenceProgress{{Occurrence: -1, Steps: []sched.StepProgress{{}}}}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New(Lease{Service: "s", AcquiredAt: now}, sched.LeaseConfig{}, Deps{Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now }})
			id := work.ID("000000000000000a")
			value, err := encode(jobRow{Queue: work.Queue{Name: "q", Service: "s", Attempts: 1}, Job: work.Job{Steps: tc.steps}, At: now})
			require.NoError(t, err)
			require.NotPanics(t, func() {
				l.restoreJob(platform.Row{RowKey: rowKey(tableJobs, "s", string(id)), Value: value}, tc.progress)
				l.pool.Plan(now, now, true)
			})
			require.Equal(t, tc.restored, l.pool.HasJob(id))
		})
	}
}
