package machines

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/autoscale"
	"gypsumlead/clock"
	"gypsumlead/maintenance"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/sleep"
)

// Intervals and delays of the reports.
const (
	reportInterval = 150 * time.Millisecond
	forgetDelay    = time.Minute            // until a runner that is no longer listed is forgotten
	claimedTimeout = 5 * time.Second        // the coordinator has recorded a machine that returned by then
	surplusDelay   = 900 * time.Millisecond // a surplus must last this long before it is released, unless other pools are short
)

// Leader is a service that this daemon leads, and so schedules.
type Leader interface {
	Service() string
	Term() int
	Demand() sched.Demand
	RunnerStatuses() []sched.RunnerStatus
	Availability() (size int, busy bool)
	SetRetained(runners map[string]struct{})
	SetMaintenanceDue(runner string, on bool)
	SetEvacuating(runner string, on bool)
	SetEndPlanned(machine string)
	RunnerEmpty(runner string) bool
}

// PoolManagerDeps are the dependencies of a PoolManager.
type PoolManagerDeps struct {
	Log            *zap.Logger
	Now            clock.Clock
	Waves          *WaveTracker
	RequestedWaves func() []platform.Wave                            // maintenance waves requested by the operator
	RecentClaims   func() map[string]int64                           // versions of the claims by which orders may take machines down now, by machine
	Leaders        func() []Leader                                   // the services that this daemon leads
	SparePool      func() string                                     // service of the spare pool, or "" if there is none
	Configured     func(service string) bool                         // the configuration has the service, and thus its pool
	Send           func(ctx context.Context, r Report) (Reply, bool) // sends a report to the coordinator; false if it was not delivered
}

// PoolManager decides which machines to evacuate in the pools that this daemon leads, and reports the pools to the
// coordinator.
type PoolManager struct {
	PoolManagerDeps
	terms        map[string]int        // this daemon's last term of leadership, by service
	offers       map[string]string     // runners being evacuated for release, by machine
	evacuating   map[string]int64      // wave for which a runner is being evacuated, by runner
	claimedSince map[string]time.Time  // since when a runner's machine has been claimed by a wave, by runner
	surplusSince map[string]time.Time  // since when a pool has a surplus, by service
	waveStart    map[int64]time.Time   // when a wave was first seen, by its number
	logged       map[string]poolLog    // last logged state, by service
	replies      map[string]Reply      // the coordinator's last reply, by service
	claimsSeen   map[leaderClaim]int64 // versions of the claims that leaders were told of
	lastListed   map[string]time.Time  // when a runner of a pool that this daemon leads was last listed, by runner
}

// poolLog is the state of a pool that is logged when it changes.
type poolLog struct {
	current, desired int
	waiting, late    bool
}

// NewPoolManager returns a PoolManager; Run sends the reports.
func NewPoolManager(deps PoolManagerDeps) *PoolManager {
	return &PoolManager{
		PoolManagerDeps: deps,
		terms:           map[string]int{},
		offers:          map[string]string{},
		evacuating:      map[string]int64{},
		claimedSince:    map[string]time.Time{},
		surplusSince:    map[string]time.Time{},
		waveStart:       map[int64]time.Time{},
		logged:          map[string]poolLog{},
		replies:         map[string]Reply{},
		claimsSeen:      map[leaderClaim]int64{},
		lastListed:      map[string]time.Time{},
	}
}

// Run reports the pools every reportInterval until ctx ends.
func (p *PoolManager) Run(ctx context.Context) error {
	sleep.Every(ctx, reportInterval, func() {
		leaders := p.Leaders()
		for _, leader := range leaders {
			if leader.Service() != p.SparePool() {
				// A failed call clears the reply: without a coordinator no other pool could use released machines.
				p.replies[leader.Service()], _ = p.Send(ctx, p.report(p.Now(), leader))
			}
		}
		p.forgetGone(p.Now(), leaders)
	})
	return nil
}

// forgetGone forgets runners that have not been listed for forgetDelay, waves that are no longer requested and services
// that this daemon no longer leads.
func (p *PoolManager) forgetGone(now time.Time, leaders []Leader) {
	for runner, at := range p.lastListed {
		if now.Sub(at) > forgetDelay {
			delete(p.lastListed, runner)
			delete(p.evacuating, runner)
			delete(p.claimedSince, runner)
			maps.DeleteFunc(p.offers, func(_, offered string) bool { return offered == runner })
		}
	}
	maps.DeleteFunc(p.waveStart, func(number int64, _ time.Time) bool {
		return !slices.ContainsFunc(p.RequestedWaves(), func(wave platform.Wave) bool { return wave.Number == number })
	})
	notLed := func(service string) bool {
		return !slices.ContainsFunc(leaders, func(leader Leader) bool { return leader.Service() == service })
	}
	maps.DeleteFunc(p.terms, func(service string, _ int) bool { return notLed(service) })
	maps.DeleteFunc(p.surplusSince, func(service string, _ time.Time) bool { return notLed(service) })
	maps.DeleteFunc(p.logged, func(service string, _ poolLog) bool { return notLed(service) })
	maps.DeleteFunc(p.replies, func(service string, _ Reply) bool { return notLed(service) })
}

// report begins the evacuations that are due in one pool and returns its report.
func (p *PoolManager) report(now time.Time, leader Leader) Report {
	runners := leader.RunnerStatuses()
	for _, runner := range runners {
		p.lastListed[runner.Runner] = now
	}
	p.notePlannedEnds(leader)
	p.forgetRestarted(leader, runners)
	if p.terms[leader.Service()] != leader.Term() {
		p.beginTerm(leader, runners)
	}
	report := Report{Service: leader.Service(), Term: leader.Term()}
	if p.SparePool() != "" && p.Configured(leader.Service()) {
		p.scale(now, leader, runners, &report)
	}
	p.maintain(now, leader, runners, &report)
	for _, runner := range runners {
		_, offered := p.offers[runner.Machine]
		if runner.Schedulable && !runner.Evacuating && !offered {
			report.Machines = append(report.Machines, runner.Machine)
		}
	}
	return report
}

// forgetRestarted forgets the evacuations of runners that their leader no longer evacuates: they are new ones under the
// same ID, or the leader is. They are chosen anew if need be. It ends evacuations that this PoolManager has forgotten.
func (p *PoolManager) forgetRestarted(leader Leader, runners []sched.RunnerStatus) {
	for _, runner := range runners {
		offered := p.offers[runner.Machine] == runner.Runner
		_, evacuating := p.evacuating[runner.Runner]
		switch {
		case !runner.Evacuating:
			delete(p.evacuating, runner.Runner)
			if offered {
				delete(p.offers, runner.Machine)
			}
		case !offered && !evacuating:
			leader.SetEvacuating(runner.Runner, false)
		}
	}
}

// beginTerm evacuates, in a new term of leadership, the machines that waves have claimed: an order that begins their
// maintenance may be on its way, and the new term starts tasks there.
func (p *PoolManager) beginTerm(leader Leader, runners []sched.RunnerStatus) {
	p.terms[leader.Service()] = leader.Term()
	delete(p.surplusSince, leader.Service())
	for _, runner := range runners {
		if wave, ok := p.Waves.claimed(runner.Machine); ok {
			p.evacuating[runner.Runner] = wave
			leader.SetEvacuating(runner.Runner, true)
		}
	}
}

// scale sets how many machines the pool should have, and evacuates and offers the surplus.
func (p *PoolManager) scale(now time.Time, leader Leader, runners []sched.RunnerStatus, report *Report) {
	var room int64
	current, schedulable := 0, 0
	runnerOf := map[string]string{}
	for _, runner := range runners {
		room = max(room, runner.Room.CPU)
		runnerOf[runner.Machine] = runner.Runner
		if runner.Schedulable {
			schedulable++
		}
		if _, offered := p.offers[runner.Machine]; runner.Schedulable && !runner.Evacuating && !offered {
			current++
		}
	}
	if schedulable == 0 {
		return // the pool's machines are not known yet
	}
	demand := leader.Demand()
	retained := autoscale.Retain(runners, autoscale.Minimum(demand, room))
	leader.SetRetained(retained)
	report.Want = autoscale.Desired(demand, room)
	p.logPool(leader.Service(), current, report.Want, demand)
	p.releaseSurplus(now, leader, runners, retained, current, report.Want)
	for machine, runnerID := range p.offers {
		if listed, ok := runnerOf[machine]; ok && listed != runnerID {
			delete(p.offers, machine) // the machine has returned with a new runner
		} else if ok && leader.RunnerEmpty(runnerID) {
			report.Offers = append(report.Offers, machine)
		}
	}
}

// releaseSurplus releases machines beyond the desired number: immediately as many as other pools are short of; if none
// is short, those beyond the floor once the surplus has lasted for surplusDelay.
func (p *PoolManager) releaseSurplus(now time.Time, leader Leader, runners []sched.RunnerStatus, retained map[string]struct{}, current, desired int) {
	reply := p.replies[leader.Service()]
	if !reply.Known || current <= desired {
		delete(p.surplusSince, leader.Service())
		return
	}
	if reply.Short > 0 {
		p.evacuateSurplus(leader, runners, retained, min(current-desired, reply.Short))
		return
	}
	desired = max(desired, reply.Floor)
	since, ok := p.surplusSince[leader.Service()]
	switch {
	case current <= desired:
		delete(p.surplusSince, leader.Service())
	case !ok:
		p.surplusSince[leader.Service()] = now
	case now.Sub(since) > surplusDelay:
		p.evacuateSurplus(leader, runners, retained, current-desired)
	}
}

// evacuateSurplus evacuates up to n machines that the pool doesn't need, to offer them.
func (p *PoolManager) evacuateSurplus(leader Leader, runners []sched.RunnerStatus, retained map[string]struct{}, n int) {
	for _, runner := range autoscale.Surplus(runners, retained, n) {
		p.offers[runner.Machine] = runner.Runner
		leader.SetEvacuating(runner.Runner, true)
	}
}

// maintain evacuates machines of open waves, and reports those that are empty as ready.
func (p *PoolManager) maintain(now time.Time, leader Leader, runners []sched.RunnerStatus, report *Report) {
	for _, wave := range p.RequestedWaves() {
		row, _ := p.Waves.get(wave.Number)
		if row.Complete {
			p.endWave(leader, runners, wave.Number)
			continue
		}
		if _, ok := p.waveStart[wave.Number]; !ok {
			p.waveStart[wave.Number] = now
		}
		remaining := wave.TimeLimit - now.Sub(p.waveStart[wave.Number])
		p.evacuateForWave(leader, wave, row, runners, remaining, report)
	}
}

// evacuateForWave evacuates machines of one wave and adds those that are empty to the report; remaining is what is left
// of the wave's time limit.
func (p *PoolManager) evacuateForWave(leader Leader, wave platform.Wave, row maintenance.Row, runners []sched.RunnerStatus, remaining time.Duration, report *Report) {
	inWave := make(map[string]struct{}, len(wave.Machines))
	for _, name := range wave.Machines {
		inWave[name] = struct{}{}
	}
	var candidates []maintenance.Candidate
	for _, runner := range runners {
		if _, ok := inWave[runner.Machine]; !ok {
			continue
		}
		_, evacuating := p.evacuating[runner.Runner]
		if row.Finished(runner.Machine) {
			p.endMaintenance(leader, runner.Runner, wave.Number)
			continue
		}
		_, offered := p.offers[runner.Machine]
		if (evacuating || offered) && leader.RunnerEmpty(runner.Runner) {
			report.Ready = append(report.Ready, ReadyMachine{runner.Machine, wave.Number})
		}
		if row.Machines[runner.Machine] == maintenance.Claimed {
			p.watchClaimed(leader, runner.Runner, wave.Number)
			continue
		}
		leader.SetMaintenanceDue(runner.Runner, true)
		candidates = append(candidates, maintenance.Candidate{Machine: runner.Machine, Runner: runner.Runner, Evacuating: evacuating || offered, LongRunning: runner.LongRunning})
	}
	size, busy := leader.Availability()
	for _, c := range maintenance.Next(maintenance.Pool{Size: size, Busy: busy}, candidates, remaining) {
		p.Log.Info("evacuating machine for wave", zap.Int64("wave", wave.Number), zap.String("machine", c.Machine), zap.String("runner", c.Runner),
			zap.Int("lasting", c.LongRunning), zap.Bool("busy", busy), zap.Duration("left", remaining))
		p.evacuating[c.Runner] = wave.Number
		leader.SetEvacuating(c.Runner, true)
	}
}

// watchClaimed handles a runner whose machine a wave has claimed: it is to go down, or it is a new runner after the
// maintenance, which the coordinator hasn't seen yet. A runner that stays for claimedTimeout is of the first kind, and is
// evacuated, so that the maintenance can be ordered.
func (p *PoolManager) watchClaimed(leader Leader, runnerID string, wave int64) {
	since, ok := p.claimedSince[runnerID]
	if !ok {
		p.claimedSince[runnerID] = p.Now()
	} else if _, evacuating := p.evacuating[runnerID]; !evacuating && p.Now().Sub(since) > claimedTimeout {
		p.evacuating[runnerID] = wave
		leader.SetEvacuating(runnerID, true)
	}
}

// endWave ends the evacuations of a completed wave: machines that it gave up keep their runners.
func (p *PoolManager) endWave(leader Leader, runners []sched.RunnerStatus, wave int64) {
	for _, runner := range runners {
		if evacuatedFor, ok := p.evacuating[runner.Runner]; ok && evacuatedFor == wave {
			p.endMaintenance(leader, runner.Runner, wave)
		}
	}
}

// endMaintenance lets a runner take work again after its maintenance, unless another wave evacuates it.
func (p *PoolManager) endMaintenance(leader Leader, runnerID string, wave int64) {
	delete(p.claimedSince, runnerID)
	leader.SetMaintenanceDue(runnerID, false)
	if evacuatedFor, ok := p.evacuating[runnerID]; ok && evacuatedFor == wave {
		delete(p.evacuating, runnerID)
		leader.SetEvacuating(runnerID, false)
	}
}

// logPool logs the current and desired size of a pool when its state has changed.
func (p *PoolManager) logPool(service string, current, desired int, demand sched.Demand) {
	entry := poolLog{current, desired, demand.Waiting > 0, demand.Late > 0}
	if p.logged[service] == entry {
		return
	}
	p.logged[service] = entry
	p.Log.Info("pool", zap.String("service", service), zap.Int("machines", current), zap.Int("wanted", desired), zap.Int64("used", demand.Used),
		zap.Int64("lasting", demand.LongRunning), zap.Int64("overdue", demand.Overdue), zap.Int64("waiting", demand.Waiting), zap.Int64("late", demand.Late), zap.Float64("rate", demand.ArrivalRate))
}
