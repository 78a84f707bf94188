package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/budget"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/work"
)

// A workspace that keeps its rate must not have excess jobs because they all come to one service, and one that floods all
// services must not get its whole rate in each of them.
func TestFractionsOfTheGuaranteedRate(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, tc := range []struct {
		name  string
		total float64 // jobs per second over all services; this one gets 2
		want  float64
	}{
		{"no answer names the workspace", 0, 1},
		{"within its rate", 10, 1},
		{"beyond its rate", 20, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &Leader{workspaces: []platform.Workspace{{Name: "w", Weight: 10}}}
			l.pool = sched.New(now, 1, sched.LeaseConfig{})
			l.pool.SetCaps(map[string]work.Resources{"w": {CPU: 1}})
			for i := range 10 {
				l.pool.Accept(now, work.ID(rune('a'+i)), work.Queue{}, work.Job{Workspace: "w", Steps: []work.Step{{Count: 1}}})
			}
			got := l.fractions(now, budget.Answer{Portions: map[string]budget.Portion{"w": {Arrivals: tc.total}}})
			require.InDelta(t, tc.want, got["w"], 0.001)
		})
	}
}
