package autoscale

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/sched"
	"gypsumlead/work"
)

func TestDesired(t *testing.T) {
	const room = 64_000
	for _, tc := range []struct {
		name   string
		demand sched.Demand
		want   int
	}{
		{"nothing to do", sched.Demand{}, minMachines},
		{"only long-running tasks", sched.Demand{Used: 200_000, LongRunning: 200_000}, 7},
		{"waiting work adds machines", sched.Demand{Used: 100_000, Waiting: 500_000}, 12},
		{"late work adds no machines", sched.Demand{Late: 5_000_000}, minMachines},
		{"growth is extrapolated", sched.Demand{ArrivalRate: 400_000, Before: 200_000}, 14},
		{"growth at most doubles the arrival rate", sched.Demand{ArrivalRate: 400_000}, 15},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, Desired(tc.demand, room)) })
	}
}

func runnerStatus(runner, rack string, longRunning int, used int64) sched.RunnerStatus {
	return sched.RunnerStatus{Runner: runner, Machine: "m" + runner, Rack: rack, LongRunning: longRunning, Used: used, Schedulable: true, Room: work.Resources{CPU: 64_000}}
}

func TestRetainSpreadsOverRacks(t *testing.T) {
	runners := []sched.RunnerStatus{runnerStatus("1", "a", 0, 0), runnerStatus("2", "a", 0, 0), runnerStatus("3", "b", 0, 0), runnerStatus("4", "c", 2, 0)}
	require.Equal(t, map[string]struct{}{"1": {}, "3": {}, "4": {}}, Retain(runners, 3))
}

func TestSurplusExcludesLongRunning(t *testing.T) {
	due := runnerStatus("3", "b", 0, 500)
	due.MaintenanceDue = true
	runners := []sched.RunnerStatus{runnerStatus("1", "a", 1, 0), runnerStatus("2", "a", 0, 100), due, runnerStatus("4", "c", 0, 0)}
	got := Surplus(runners, map[string]struct{}{"4": {}}, 5)
	require.Len(t, got, 2)
	require.Equal(t, "3", got[0].Runner) // first, since it is due for maintenance
	require.Equal(t, "2", got[1].Runner)
}

func TestAssignServesLowestRatioFirst(t *testing.T) {
	pools := []Pool{{"a", 4, 8}, {"b", 1, 8}, {"c", 5, 5}}
	got := Assign(pools, []string{"m1", "m2", "m3", "m4"})
	require.Equal(t, map[string]string{"m1": "b", "m2": "b", "m3": "b", "m4": "a"}, got)
	require.Empty(t, Assign([]Pool{{"c", 5, 5}}, []string{"m1"}))
}

func TestFloor(t *testing.T) {
	require.Zero(t, Floor(48, 4, 64)) // the whole fleet can be moved within rampUpTime
	require.Equal(t, (349-64)/4, Floor(349, 4, 64))
	require.Zero(t, Floor(349, 0, 64))
}

func TestShortageExcludesAssigned(t *testing.T) {
	pools := []Pool{{"a", 4, 8}, {"b", 9, 5}}
	require.Equal(t, 4, Shortage(pools, 0))
	require.Equal(t, 1, Shortage(pools, 3))
	require.Zero(t, Shortage(pools, 9))
	require.Equal(t, []Pool{{"a", 4, 8}, {"b", 9, 7}}, WithFloor(pools, 7))
}
