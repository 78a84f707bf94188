package machines

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/maintenance"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/watch"
	"gypsumlead/work"
)

// fakeLeader is a service whose runners are all empty and whose work needs no machine.
type fakeLeader struct{ runners map[string]sched.RunnerStatus }

func (l *fakeLeader) Service() string                 { return "s0" }
func (l *fakeLeader) Term() int                       { return 1 }
func (l *fakeLeader) Demand() sched.Demand            { return sched.Demand{} }
func (l *fakeLeader) Availability() (int, bool)       { return len(l.runners), false }
func (l *fakeLeader) SetRetained(map[string]struct{}) {}
func (l *fakeLeader) RunnerEmpty(string) bool         { return true }
func (l *fakeLeader) SetEndPlanned(string)            {}

func (l *fakeLeader) RunnerStatuses() []sched.RunnerStatus {
	var list []sched.RunnerStatus
	for _, r := range l.runners {
		list = append(list, r)
	}
	return list
}

func (l *fakeLeader) SetMaintenanceDue(runner string, on bool) {
	l.update(runner, func(r *sched.RunnerStatus) { r.MaintenanceDue = on })
}

func (l *fakeLeader) SetEvacuating(runner string, on bool) {
	l.update(runner, func(r *sched.RunnerStatus) { r.Evacuating = on })
}

// update changes a runner's status, if the service has it.
func (l *fakeLeader) update(runner string, change func(*sched.RunnerStatus)) {
	if r, ok := l.runners[runner]; ok {
		change(&r)
		l.runners[runner] = r
	}
}

// add adds a runner that has just started.
func (l *fakeLeader) add(runner, machine string) {
	l.runners[runner] = sched.RunnerStatus{Runner: runner, Machine: machine, Schedulable: true, Room: work.Resources{CPU: 1000}}
}

// poolTest is a PoolManager with one pool, in a synctest bubble.
type poolTest struct {
	*PoolManager
	leader *fakeLeader
	waves  []platform.Wave
	reply  Reply
}

// newPoolTest returns a PoolManager of a pool without runners.
func newPoolTest() *poolTest {
	pt := &poolTest{leader: &fakeLeader{runners: map[string]sched.RunnerStatus{}}, reply: Reply{Known: true}}
	pt.PoolManager = NewPoolManager(PoolManagerDeps{
		Log: zap.NewNop(), Now: time.Now,
		Waves:          NewWaveTracker(nil, zap.NewNop(), watch.NewInterest()),
		RequestedWaves: func() []platform.Wave { return pt.waves },
		RecentClaims:   func() map[string]int64 { return nil },
		Leaders:        func() []Leader { return []Leader{pt.leader} },
		SparePool:      func() string { return sparePool },
		Configured:     func(string) bool { return true },
		Send:           func(context.Context, Report) (Reply, bool) { return pt.reply, true },
	})
	return pt
}

// run reports the pool for a time.
func (pt *poolTest) run(duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	_ = pt.Run(ctx) // it returns when ctx ends
}

// A machine that was released came back under the same runner ID and was offered at once, though work was placed on it.
func TestMachineThatReturnsUnderTheSameIDIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pt := newPoolTest()
		for _, n := range []string{"0", "1", "2", "3", "4", "5"} { // more than a pool keeps
			pt.leader.add("other"+n, "o"+n)
		}
		pt.leader.add("r0", "m0")
		pt.reply = Reply{Known: true, Short: 1}
		pt.run(2 * time.Second)
		require.Contains(t, pt.report(time.Now(), pt.leader).Offers, "m0")
		delete(pt.leader.runners, "r0")
		pt.reply = Reply{Known: true, Floor: 7}
		pt.run(time.Second)
		pt.leader.add("r0", "m0")
		pt.run(time.Second)
		report := pt.report(time.Now(), pt.leader)
		require.NotContains(t, report.Offers, "m0")
		require.Contains(t, report.Machines, "m0")
	})
}

// A runner that restarted under its ID while it was evacuated for a wave counted as evacuated, so that its machine could
// be taken down with work on it.
func TestMachineThatReturnsUnderTheSameIDIsEvacuatedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pt := newPoolTest()
		pt.waves = []platform.Wave{{Number: 1, Machines: []string{"m0"}, MaxDown: 1, TimeLimit: time.Second}}
		pt.reply = Reply{Known: true, Floor: 1}
		pt.leader.add("r0", "m0")
		pt.run(time.Second)
		require.True(t, pt.leader.runners["r0"].Evacuating)
		pt.leader.add("r0", "m0")
		pt.run(time.Second)
		require.True(t, pt.leader.runners["r0"].Evacuating)
	})
}

// The PoolManager kept an entry for every runner, wave and service that it had ever seen.
func TestPoolManagerForgetsWhatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pt := newPoolTest()
		for i := range 6 { // more than a pool keeps
			pt.leader.add(fmt.Sprintf("other%d", i), fmt.Sprintf("o%d", i))
		}
		pt.reply = Reply{Known: true, Short: 1}
		for i := range 10 {
			runner, machine := fmt.Sprintf("r%d", i), fmt.Sprintf("m%d", i)
			pt.waves = []platform.Wave{{Number: int64(i), Machines: []string{machine}, MaxDown: 1, TimeLimit: time.Second}}
			pt.leader.add(runner, machine)
			pt.run(time.Second)
			delete(pt.leader.runners, runner)
		}
		require.NotEmpty(t, pt.offers)
		require.NotEmpty(t, pt.evacuating)
		clear(pt.leader.runners)
		pt.waves = nil
		pt.run(2 * forgetDelay)
		pt.Leaders = func() []Leader { return nil }
		pt.run(time.Second)
		require.Empty(t, pt.offers)
		require.Empty(t, pt.evacuating)
		require.Empty(t, pt.lastListed)
		require.Empty(t, pt.waveStart)
		require.Empty(t, pt.surplusSince)
		require.Empty(t, pt.logged)
		require.Empty(t, pt.replies)
	})
}

// A runner whose entry was missing for long is no longer known to be evacuated: it must take work again.
func TestForgottenRunnerIsNotLeftEvacuating(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pt := newPoolTest()
		pt.reply = Reply{Known: true, Floor: 1}
		pt.leader.add("r0", "m0")
		pt.leader.SetEvacuating("r0", true)
		pt.run(time.Second)
		require.False(t, pt.leader.runners["r0"].Evacuating)
	})
}

// The coordinator can repeat an order only if it knows that the claimed machine is still empty.
func TestClaimedMachineIsReadyWhileItIsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pt := newPoolTest()
		pt.waves = []platform.Wave{{Number: 1, Machines: []string{"m0"}, MaxDown: 1, TimeLimit: time.Second}}
		pt.leader.add("r0", "m0")
		pt.run(time.Second)
		pt.Waves.set(1, maintenance.Row{}.With("m0", maintenance.Claimed), 1)
		ready := []ReadyMachine{{Machine: "m0", Wave: 1}}
		require.Equal(t, ready, pt.report(time.Now(), pt.leader).Ready)
		pt.leader.add("r0", "m0")
		require.Empty(t, pt.report(time.Now(), pt.leader).Ready, "it is back under its ID")
		pt.Waves.set(1, maintenance.Row{}.With("m0", maintenance.Pending), 2)
		pt.run(time.Second)
		require.Equal(t, ready, pt.report(time.Now(), pt.leader).Ready, "evacuated again")
	})
}
