package machines

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/maintenance"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/watch"
	"gypsumlead/work"
)

// fakeTerm is one term of leadership over a pool of machines without work.
type fakeTerm struct {
	term       int
	evacuating map[string]bool
	planned    []string // machines whose end is planned
}

const fakeService, fakePoolSize = "s", 6

func (f *fakeTerm) Service() string                      { return fakeService }
func (f *fakeTerm) Term() int                            { return f.term }
func (f *fakeTerm) Demand() sched.Demand                 { return sched.Demand{} }
func (f *fakeTerm) Availability() (int, bool)            { return fakePoolSize, false }
func (f *fakeTerm) SetRetained(map[string]struct{})      {}
func (f *fakeTerm) SetMaintenanceDue(string, bool)       {}
func (f *fakeTerm) SetEvacuating(runner string, on bool) { f.evacuating[runner] = on }
func (f *fakeTerm) RunnerEmpty(string) bool              { return true }
func (f *fakeTerm) SetEndPlanned(machine string)         { f.planned = append(f.planned, machine) }
func (f *fakeTerm) RunnerStatuses() []sched.RunnerStatus {
	var list []sched.RunnerStatus
	for i := range fakePoolSize {
		runner := work.Runner{ID: fmt.Sprintf("r%d", i), Machine: fmt.Sprintf("m%d", i), Room: work.Resources{CPU: 8000}}
		list = append(list, sched.RunnerStatus{Runner: runner.ID, Machine: runner.Machine, Room: runner.Room, Schedulable: true, Evacuating: f.evacuating[runner.ID]})
	}
	return list
}

var evacuationCases = []struct {
	name  string
	spare string
	waves []platform.Wave
}{
	{"release of machines", "spare", nil},
	{"maintenance wave", "", []platform.Wave{{Number: 1, Machines: []string{"m0", "m1", "m2", "m3", "m4", "m5"}, MaxDown: 6, TimeLimit: time.Minute}}},
}

// newFakePoolManager returns a PoolManager whose coordinator needs every machine.
func newFakePoolManager(spare string, waves []platform.Wave) *PoolManager {
	now := time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	p := NewPoolManager(PoolManagerDeps{
		Log: zap.NewNop(), Now: func() time.Time { return now }, Waves: NewWaveTracker(nil, zap.NewNop(), watch.NewInterest()),
		RequestedWaves: func() []platform.Wave { return waves }, RecentClaims: func() map[string]int64 { return nil }, SparePool: func() string { return spare }, Configured: func(string) bool { return true },
		Send: func(context.Context, Report) (Reply, bool) { return Reply{Known: true}, true },
	})
	p.replies[fakeService] = Reply{Known: true, Short: 6}
	return p
}

// A daemon that leads a pool again reported the machines that it had evacuated in its earlier term, where its new term
// starts tasks.
func TestRegainedLeaderReportsOnlyMachinesThatItEvacuatesInThisTerm(t *testing.T) {
	for _, tc := range evacuationCases {
		t.Run(tc.name, func(t *testing.T) {
			p := newFakePoolManager(tc.spare, tc.waves)
			earlier := &fakeTerm{term: 4, evacuating: map[string]bool{}}
			p.report(p.Now(), earlier)
			first := p.report(p.Now(), earlier)
			require.NotEmpty(t, append(first.Offers, machinesOf(first.Ready)...))
			regained := &fakeTerm{term: 5, evacuating: map[string]bool{}}
			p.replies[fakeService] = Reply{} // the coordinator hasn't answered this term yet
			for range 3 {
				got := p.report(p.Now(), regained)
				for _, machine := range append(got.Offers, machinesOf(got.Ready)...) {
					require.True(t, regained.evacuating["r"+machine[1:]], "%s may get tasks", machine)
				}
			}
		})
	}
}

// The store's entries of runners expire while it is down. The scheduler forgot such a runner, and with it the evacuation.
func TestRunnerThatReturnsToThePoolIsReportedOnlyIfItIsEvacuated(t *testing.T) {
	for _, tc := range evacuationCases {
		t.Run(tc.name, func(t *testing.T) {
			p := newFakePoolManager(tc.spare, tc.waves)
			leader := &fakeTerm{term: 1, evacuating: map[string]bool{}}
			p.report(p.Now(), leader)
			leader.evacuating = map[string]bool{}
			var reported []string
			for range 2 {
				got := p.report(p.Now(), leader)
				reported = append(got.Offers, machinesOf(got.Ready)...)
				for _, machine := range reported {
					require.True(t, leader.evacuating["r"+machine[1:]], "%s may get tasks", machine)
				}
			}
			require.NotEmpty(t, reported, "evacuated anew")
		})
	}
}

// A new leader gave tasks to a machine whose maintenance an order was about to begin.
func TestNewLeaderEvacuatesTheMachinesThatAWaveHasClaimed(t *testing.T) {
	p := newFakePoolManager("", evacuationCases[1].waves)
	p.Waves.set(1, maintenance.Row{}.With("m3", maintenance.Claimed), 1)
	leader := &fakeTerm{term: 2, evacuating: map[string]bool{}}
	got := p.report(p.Now(), leader)
	require.True(t, leader.evacuating["r3"])
	require.Contains(t, machinesOf(got.Ready), "m3") // a new coordinator may order its maintenance
}

func TestRunnerOfAClaimedMachineIsEvacuatedOnlyIfItStays(t *testing.T) {
	p := newFakePoolManager("", evacuationCases[1].waves)
	leader := &fakeTerm{term: 2, evacuating: map[string]bool{}}
	p.report(p.Now(), leader)
	p.Waves.set(1, maintenance.Row{}.With("m5", maintenance.Claimed), 1)
	require.NotContains(t, machinesOf(p.report(p.Now(), leader).Ready), "m5")
	require.False(t, leader.evacuating["r5"]) // it may have returned
	later := p.Now().Add(claimedTimeout + time.Second)
	p.PoolManagerDeps.Now = func() time.Time { return later }
	p.report(later, leader)
	require.True(t, leader.evacuating["r5"])
	require.Contains(t, machinesOf(p.report(later, leader).Ready), "m5")
}

// Each report ended an open wave's evacuation of a machine for another open wave that had finished the machine.
func TestFinishedWaveLeavesTheEvacuationOfAnotherWave(t *testing.T) {
	open, finished := evacuationCases[1].waves[0], evacuationCases[1].waves[0]
	open.Number = 2
	p := newFakePoolManager("", []platform.Wave{open, finished})
	p.Waves.set(1, maintenance.Row{}.With("m0", maintenance.Done), 1)
	leader := &fakeTerm{term: 1, evacuating: map[string]bool{}}
	for range 3 {
		p.report(p.Now(), leader)
		require.True(t, leader.evacuating["r0"])
	}
}

// A machine that a wave gave up as its last one stayed evacuated.
func TestCompletedWaveEndsItsEvacuations(t *testing.T) {
	p := newFakePoolManager("", evacuationCases[1].waves)
	leader := &fakeTerm{term: 1, evacuating: map[string]bool{}}
	p.report(p.Now(), leader)
	require.True(t, leader.evacuating["r0"])
	p.Waves.set(1, maintenance.Row{Complete: true}, 2)
	p.report(p.Now(), leader)
	require.False(t, leader.evacuating["r0"])
}

// A leader that had just taken over, or whose runner had just been given a task, counted the end that an order had caused
// as a crash of the task. The claim is known to all leaders before the machine is back.
func TestEachTermIsToldOfEachClaimOnce(t *testing.T) {
	p := newFakePoolManager("", nil)
	recent := map[string]int64{"m1": 7}
	p.RecentClaims = func() map[string]int64 { return recent }
	for term := range 2 {
		recent["m1"] = 7
		leader := &fakeTerm{term: term, evacuating: map[string]bool{}}
		p.report(p.Now(), leader)
		p.report(p.Now(), leader)
		require.Equal(t, []string{"m1"}, leader.planned, "its next runner isn't to end")
		recent["m1"] = 9
		p.report(p.Now(), leader)
		require.Equal(t, []string{"m1", "m1"}, leader.planned)
	}
}

// machinesOf returns the machines that are ready for maintenance.
func machinesOf(ready []ReadyMachine) []string {
	var list []string
	for _, r := range ready {
		list = append(list, r.Machine)
	}
	return list
}
