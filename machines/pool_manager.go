package machines

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/autoscale"
	"gypsumlead/clock"
	"gypsumlead/maintenance"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/sleep"
)

// Times of the reports.
const (
	reportEvery = 150 * time.Millisecond
	rest        = 900 * time.Millisecond // a pool must have had too many machines for so long before it gives some back
)

// Leader is a service that this daemon schedules.
type Leader interface {
	Service() string
	Demand() sched.Demand
	RunnerStatuses() []sched.RunnerStatus
	Availability() (size int, busy bool)
	SetRetained(runners map[string]struct{})
	SetMaintenanceDue(runner string, on bool)
	SetEvacuating(runner string, on bool)
	RunnerEmpty(runner string) bool
}

// PoolManagerDeps are what the reports are made from.
type PoolManagerDeps struct {
	Log            *zap.Logger
	Now            clock.Clock
	Waves          *WaveTracker
	RequestedWaves func() []platform.Wave // by the operator
	Leaders        func() []Leader
	SparePool      func() string                                     // the spare service, or "" where there is none
	Send           func(ctx context.Context, r Report) (Reply, bool) // to the master; false where it didn't arrive
}

// PoolManager decides for the pools that this daemon schedules which machines are emptied, and reports them.
type PoolManager struct {
	PoolManagerDeps
	offers map[string]string    // runners that are emptied to be given back, by machine
	taken  map[string]int64     // runners that are emptied for a wave, by runner
	over   map[string]time.Time // pools that have had too many machines since
	began  map[int64]time.Time  // when a wave was first seen
	told   map[string]told      // what was last logged of a pool
	reply  map[string]Reply     // what the master last said, by pool
}

// told is what was last logged of a pool.
type told struct {
	have, want    int
	waiting, late bool
}

// NewPoolManager returns the local part; Run works.
func NewPoolManager(l PoolManagerDeps) *PoolManager {
	return &PoolManager{
		PoolManagerDeps: l,
		offers:          map[string]string{},
		taken:           map[string]int64{},
		over:            map[string]time.Time{},
		began:           map[int64]time.Time{},
		told:            map[string]told{},
		reply:           map[string]Reply{},
	}
}

// Run reports until ctx ends.
func (l *PoolManager) Run(ctx context.Context) error {
	sleep.Every(ctx, reportEvery, func() {
		for _, s := range l.Leaders() {
			if s.Service() != l.SparePool() {
				// Without a master that answers nobody could take what is given back.
				l.reply[s.Service()], _ = l.Send(ctx, l.report(l.Now(), s))
			}
		}
	})
	return nil
}

// report decides for one pool and returns its report.
func (l *PoolManager) report(now time.Time, s Leader) Report {
	list := s.RunnerStatuses()
	r := Report{Service: s.Service()}
	if l.SparePool() != "" {
		l.lend(now, s, list, &r)
	}
	l.upkeep(now, s, list, &r)
	for _, m := range list {
		_, offered := l.offers[m.Machine]
		if m.Schedulable && !m.Evacuating && !offered {
			r.Machines = append(r.Machines, m.Machine)
		}
	}
	return r
}

// lend decides how many machines the pool should have, and empties those that are too many.
func (l *PoolManager) lend(now time.Time, s Leader, list []sched.RunnerStatus, r *Report) {
	var room int64
	have, known := 0, 0
	there := map[string]string{}
	for _, m := range list {
		room = max(room, m.Room.CPU)
		there[m.Machine] = m.Runner
		if m.Schedulable {
			known++
		}
		if _, offered := l.offers[m.Machine]; m.Schedulable && !m.Evacuating && !offered {
			have++
		}
	}
	if known == 0 {
		return // nothing is known of the pool's machines yet
	}
	d := s.Demand()
	stay := autoscale.Retain(list, autoscale.Minimum(d, room))
	s.SetRetained(stay)
	r.Want = autoscale.Desired(d, room)
	l.tell(s.Service(), have, r.Want, d)
	l.give(now, s, list, stay, have, r.Want)
	for machine, runner := range l.offers {
		if here, ok := there[machine]; ok && here != runner {
			delete(l.offers, machine) // it has come back in another life
		} else if ok && s.RunnerEmpty(runner) {
			r.Offers = append(r.Offers, machine)
		}
	}
}

// give gives back what the pool has beyond its want: at once what others are short of, else what is beyond the
// floor, once it has been so for a while.
func (l *PoolManager) give(now time.Time, s Leader, list []sched.RunnerStatus, stay map[string]struct{}, have, want int) {
	reply := l.reply[s.Service()]
	if !reply.Known || have <= want {
		delete(l.over, s.Service())
		return
	}
	if reply.Short > 0 {
		l.spare(s, list, stay, min(have-want, reply.Short))
		return
	}
	want = max(want, reply.Floor)
	since, ok := l.over[s.Service()]
	switch {
	case have <= want:
		delete(l.over, s.Service())
	case !ok:
		l.over[s.Service()] = now
	case now.Sub(since) > rest:
		l.spare(s, list, stay, have-want)
	}
}

// spare has machines emptied that the pool doesn't need.
func (l *PoolManager) spare(s Leader, list []sched.RunnerStatus, stay map[string]struct{}, n int) {
	for _, m := range autoscale.Surplus(list, stay, n) {
		l.offers[m.Machine] = m.Runner
		s.SetEvacuating(m.Runner, true)
	}
}

// upkeep has machines of waves emptied, and reports those that are.
func (l *PoolManager) upkeep(now time.Time, s Leader, list []sched.RunnerStatus, r *Report) {
	for _, w := range l.RequestedWaves() {
		row, _ := l.Waves.get(w.Number)
		if row.Complete {
			continue
		}
		if _, ok := l.began[w.Number]; !ok {
			l.began[w.Number] = now
		}
		left := w.TimeLimit - now.Sub(l.began[w.Number])
		l.wave(s, w, row, list, left, r)
	}
}

func (l *PoolManager) wave(s Leader, w platform.Wave, row maintenance.Row, list []sched.RunnerStatus, left time.Duration, r *Report) {
	asked := make(map[string]struct{}, len(w.Machines))
	for _, name := range w.Machines {
		asked[name] = struct{}{}
	}
	var open []maintenance.Candidate
	for _, m := range list {
		if _, ok := asked[m.Machine]; !ok {
			continue
		}
		_, taken := l.taken[m.Runner]
		if row.Finished(m.Machine) {
			l.back(s, m.Runner)
			continue
		}
		if row.Machines[m.Machine] == maintenance.Claimed {
			continue // it is down, or has come back and the master hasn't seen it yet
		}
		s.SetMaintenanceDue(m.Runner, true)
		_, offered := l.offers[m.Machine]
		open = append(open, maintenance.Candidate{Machine: m.Machine, Runner: m.Runner, Evacuating: taken || offered, LongRunning: m.LongRunning})
		if (taken || offered) && s.RunnerEmpty(m.Runner) {
			r.Ready = append(r.Ready, ReadyMachine{m.Machine, w.Number})
		}
	}
	size, busy := s.Availability()
	for _, c := range maintenance.Next(maintenance.Pool{Size: size, Busy: busy}, open, left) {
		l.Log.Info("machine is emptied for a wave", zap.Int64("wave", w.Number), zap.String("machine", c.Machine), zap.String("runner", c.Runner),
			zap.Int("lasting", c.LongRunning), zap.Bool("busy", busy), zap.Duration("left", left))
		l.taken[c.Runner] = w.Number
		s.SetEvacuating(c.Runner, true)
	}
}

// back lets a runner take work again whose maintenance is over.
func (l *PoolManager) back(s Leader, runner string) {
	s.SetMaintenanceDue(runner, false)
	if _, ok := l.taken[runner]; ok {
		delete(l.taken, runner)
		s.SetEvacuating(runner, false)
	}
}

// tell logs what a pool has and should have, where that has changed.
func (l *PoolManager) tell(service string, have, want int, d sched.Demand) {
	now := told{have, want, d.Waiting > 0, d.Late > 0}
	if l.told[service] == now {
		return
	}
	l.told[service] = now
	l.Log.Info("pool", zap.String("service", service), zap.Int("machines", have), zap.Int("wanted", want), zap.Int64("used", d.Used),
		zap.Int64("lasting", d.LongRunning), zap.Int64("waiting", d.Waiting), zap.Int64("late", d.Late), zap.Float64("rate", d.ArrivalRate))
}
