package app

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/lease"
	"gypsumlead/record"
)

// Names of duties; each pool has one of its own.
const (
	dutyJournal = "journal"
	dutyAudit   = "audit"
	dutyPool    = "pool/"
	dutySpare   = "spare/"
)

// duties runs the control duties that this daemon holds, each in a goroutine of its own, so that a
// slow one delays no other.
type duties struct {
	common
	app    *App
	keeper *lease.Keeper

	mu      sync.Mutex
	running map[lease.Tenure]context.CancelFunc
	list    []string // of all duties, as of the change listed
	listed  int64
	wg      sync.WaitGroup
}

// stepper is what a duty does every step.
type stepper func(ctx context.Context) error

func (a *App) makeDuties() {
	d := &duties{common: a.common, app: a, running: map[lease.Tenure]context.CancelFunc{}}
	d.keeper = lease.NewKeeper(a.platform.Table, a.set.Instance, a.boot,
		lease.WithTerms(termsOf(a.set.Duties.Life)),
		lease.WithDuties(d.names),
		lease.WithMembers(d.members),
		lease.WithLog(a.log),
		lease.WithBreach(a.breach),
	)
	a.duties = d
}

// termsOf scales the default terms to a life.
func termsOf(life time.Duration) lease.Terms {
	t := lease.DefaultTerms()
	scale := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(life) / float64(t.Life))
	}
	return lease.Terms{Life: life, Margin: scale(t.Margin), Renew: scale(t.Renew), Poll: scale(t.Poll)}
}

// names lists the duties that there are by the configuration in force; it is asked several times
// a second and made anew when the configuration changes.
func (d *duties) names() []string {
	seq := d.app.state.Seq()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.list == nil || d.listed != seq {
		d.list = d.makeNames()
		d.listed = seq
	}
	return d.list
}

func (d *duties) makeNames() []string {
	out := []string{dutyJournal, dutyAudit}
	for _, e := range d.app.state.List(record.KindPool) {
		out = append(out, dutyPool+e.Name)
		var p record.Pool
		if record.Decode(e, &p) == nil && p.Spare {
			out = append(out, dutySpare+e.Name)
		}
	}
	return out
}

// members lists the daemons that are alive as far as the roster tells.
func (d *duties) members() []string {
	var out []string
	for _, in := range d.app.roster.Instances() {
		if in.Role == backing.RoleEntry && in.State == backing.StateLive {
			out = append(out, in.ID)
		}
	}
	return out
}

// run keeps the leases and steps what is held until ctx ends.
func (d *duties) run(ctx context.Context) error {
	d.wg.Go(func() {
		// The keeper ends with ctx only.
		_ = d.keeper.Run(ctx)
	})
	tick := time.NewTicker(d.set.Duties.Step)
	defer tick.Stop()
	defer d.wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.follow(ctx)
		}
	}
}

// follow starts the duties that were won and ends those that were lost.
func (d *duties) follow(ctx context.Context) {
	held := map[lease.Tenure]bool{}
	for _, t := range d.keeper.Held() {
		held[t] = true
		d.start(ctx, t)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for t, cancel := range d.running {
		if !held[t] {
			cancel()
			delete(d.running, t)
		}
	}
}

func (d *duties) start(ctx context.Context, t lease.Tenure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[t] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	d.running[t] = cancel
	step := d.app.stepperOf(t)
	d.log.Info("duty starts", zap.String("duty", t.Duty), zap.Int64("epoch", t.Epoch))
	d.wg.Go(func() { d.loop(ctx, t, step) })
}

// loop steps one duty until it is lost.
func (d *duties) loop(ctx context.Context, t lease.Tenure, step stepper) {
	tick := time.NewTicker(d.set.Duties.Step)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			d.log.Info("duty ends", zap.String("duty", t.Duty), zap.Int64("epoch", t.Epoch))
			return
		case <-tick.C:
		}
		d.report(t, step(ctx))
	}
}

// report logs what a step met; what passes by itself isn't worth a warning.
func (d *duties) report(t lease.Tenure, err error) {
	if err == nil {
		return
	}
	switch fault.KindOf(err) {
	case fault.Breach:
		d.app.breach(err)
	case fault.StoreDown, fault.Broken, fault.Fenced, fault.Conflict, fault.Overload, fault.Budget:
		d.log.Debug("duty step", zap.String("duty", t.Duty), zap.Error(err))
	default:
		d.log.Warn("duty step", zap.String("duty", t.Duty), zap.Error(err))
	}
}

// release hands back what this daemon holds.
func (d *duties) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.set.Duties.Life)
	defer cancel()
	d.keeper.Leave(ctx)
}

// held names the duties held here.
func (d *duties) held() []string {
	var out []string
	for _, t := range d.keeper.Held() {
		out = append(out, t.Duty)
	}
	return out
}
