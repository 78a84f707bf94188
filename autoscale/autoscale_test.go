package autoscale

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/sched"
	"gypsumlead/work"
)

func TestWant(t *testing.T) {
	const room = 64_000
	for _, tc := range []struct {
		name string
		d    sched.Demand
		want int
	}{
		{"nothing to do", sched.Demand{}, keepMin},
		{"only what lasts", sched.Demand{Used: 200_000, LongRunning: 200_000}, 7},
		{"waiting work counts", sched.Demand{Used: 100_000, Waiting: 500_000}, 12},
		{"late work doesn't ask for machines", sched.Demand{Late: 5_000_000}, keepMin},
		{"growth is followed", sched.Demand{ArrivalRate: 400_000, Before: 200_000}, 14},
		{"growth counts twice at most", sched.Demand{ArrivalRate: 400_000}, 15},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, Desired(tc.d, room)) })
	}
}

func machine(runner, rack string, lasting int, used int64) sched.RunnerStatus {
	return sched.RunnerStatus{Runner: runner, Machine: "m" + runner, Rack: rack, LongRunning: lasting, Used: used, Schedulable: true, Room: work.Resources{CPU: 64_000}}
}

func TestKeepSpreadsOverRacks(t *testing.T) {
	list := []sched.RunnerStatus{machine("1", "a", 0, 0), machine("2", "a", 0, 0), machine("3", "b", 0, 0), machine("4", "c", 2, 0)}
	require.Equal(t, map[string]struct{}{"1": {}, "3": {}, "4": {}}, Retain(list, 3))
}

func TestSurplusSparesWhatLasts(t *testing.T) {
	due := machine("3", "b", 0, 500)
	due.MaintenanceDue = true
	list := []sched.RunnerStatus{machine("1", "a", 1, 0), machine("2", "a", 0, 100), due, machine("4", "c", 0, 0)}
	got := Surplus(list, map[string]struct{}{"4": {}}, 5)
	require.Len(t, got, 2)
	require.Equal(t, "3", got[0].Runner) // a wave takes it while it is off
	require.Equal(t, "2", got[1].Runner)
}

func TestShareGoesToTheShortestFirst(t *testing.T) {
	pools := []Pool{{"a", 4, 8}, {"b", 1, 8}, {"c", 5, 5}}
	got := Assign(pools, []string{"m1", "m2", "m3", "m4"})
	require.Equal(t, map[string]string{"m1": "b", "m2": "b", "m3": "b", "m4": "a"}, got)
	require.Empty(t, Assign([]Pool{{"c", 5, 5}}, []string{"m1"}))
}

func TestFloorSpreadsWhatCannotBeMovedInTime(t *testing.T) {
	require.Zero(t, Floor(48, 4, 64)) // all can be moved within the ramp
	require.Equal(t, (349-64)/4, Floor(349, 4, 64))
	require.Zero(t, Floor(349, 0, 64))
}

func TestShortCountsWhatNobodyHasSent(t *testing.T) {
	pools := []Pool{{"a", 4, 8}, {"b", 9, 5}}
	require.Equal(t, 4, Shortage(pools, 0))
	require.Equal(t, 1, Shortage(pools, 3))
	require.Zero(t, Shortage(pools, 9))
	require.Equal(t, []Pool{{"a", 4, 8}, {"b", 9, 7}}, WithFloor(pools, 7))
}
