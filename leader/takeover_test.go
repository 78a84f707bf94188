package leader

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/work"
)

// Machines move away from a pool while it has no leader. Their former runners never answer the next leader, which must not
// wait for the end of their leases.
func TestRunnersOfMovedMachinesAreNotWaitedFor(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	machines := map[string]platform.Machine{
		"m1": {Name: "m1", Pool: "spare", State: platform.MachineUp},
		"m2": {Name: "m2", Pool: "s", State: platform.MachineUp, RunnerID: "i-next"},
		"m3": {Name: "m3", Pool: "s", State: platform.MachineDown, RunnerID: "i-3"},
		"m4": {Name: "m4", Pool: "s", State: platform.MachineMoving},
	}
	l := New(Lease{Service: "s", AcquiredAt: now, InheritedTTL: time.Minute}, sched.LeaseConfig{}, Deps{
		Log: zap.NewNop(), OnViolation: func(error) {}, Now: func() time.Time { return now },
		Machines: func(context.Context) (map[string]platform.Machine, bool) { return machines, true },
	})
	for id, machine := range map[string]string{"i-1": "m1", "i-2": "m2", "i-3": "m3", "i-4": "m4", "i-5": "m5"} {
		l.pool.InheritRunner(work.Runner{ID: id, Machine: machine, Service: "s"}, time.Time{}, time.Time{})
	}
	l.removeMoved(t.Context())
	left, _ := l.pool.Unresolved()
	var ids []string
	for _, r := range left {
		ids = append(ids, r.ID)
	}
	require.Equal(t, []string{"i-3", "i-4", "i-5"}, ids, "a machine that is down or on its way, or not listed, proves nothing")
}
