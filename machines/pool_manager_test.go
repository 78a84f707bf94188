package machines

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/work"
)

const machineRoom = 64_000 // millicores

// fakeLeader is the leader of a pool with fixed demand; it records which runners are evacuated.
type fakeLeader struct {
	demand     sched.Demand
	runners    []sched.RunnerStatus
	evacuating map[string]bool
}

// newFakeLeader returns the leader of a pool of n machines in use.
func newFakeLeader(n int, demand sched.Demand) *fakeLeader {
	l := &fakeLeader{demand: demand, evacuating: map[string]bool{}}
	for i := range n {
		l.runners = append(l.runners, sched.RunnerStatus{
			Runner: fmt.Sprintf("r%02d", i), Machine: fmt.Sprintf("m%02d", i), Rack: "a", Room: work.Resources{CPU: machineRoom},
			Used: demand.Used / int64(n), Runs: 1, Schedulable: true,
		})
	}
	return l
}

func (l *fakeLeader) Service() string                      { return "s0" }
func (l *fakeLeader) Demand() sched.Demand                 { return l.demand }
func (l *fakeLeader) RunnerStatuses() []sched.RunnerStatus { return l.runners }
func (l *fakeLeader) Availability() (int, bool)            { return len(l.runners), true }
func (l *fakeLeader) SetRetained(map[string]struct{})      {}
func (l *fakeLeader) SetMaintenanceDue(string, bool)       {}
func (l *fakeLeader) RunnerEmpty(string) bool              { return false }

func (l *fakeLeader) SetEvacuating(runner string, on bool) { l.evacuating[runner] = on }

func TestOverdueWorkKeepsNoMachinesThatOtherPoolsLack(t *testing.T) {
	const fleet = 40
	full := int64(fleet) * machineRoom * 9 / 10
	for _, tc := range []struct {
		name     string
		demand   sched.Demand
		short    int // machines that other pools lack
		released int
	}{
		{"overdue work, others are short", sched.Demand{Used: full, Overdue: full}, 30, 30},
		{"overdue work, others are short of less", sched.Demand{Used: full, Overdue: full}, 10, 10},
		{"overdue work, nobody is short", sched.Demand{Used: full, Overdue: full}, 0, 0},
		{"half of the work is overdue", sched.Demand{Used: full, Overdue: full / 2}, 30, 19},
		{"work on time, others are short", sched.Demand{Used: full}, 30, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newFakeLeader(fleet, tc.demand)
			p := NewPoolManager(PoolManagerDeps{
				Log: zap.NewNop(), RequestedWaves: func() []platform.Wave { return nil }, SparePool: func() string { return "spare" },
			})
			now := time.Unix(0, 0)
			for range 10 { // over more than surplusDelay
				p.replies["s0"] = Reply{Known: true, Short: max(0, tc.short-len(leader.evacuating))}
				p.report(now, leader)
				now = now.Add(reportInterval)
			}
			require.Len(t, leader.evacuating, tc.released)
		})
	}
}
