package leader

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"gypsumlead/budget"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

const (
	capLogInterval = time.Second // in which at most maxCapLogs lines about caps are logged
	maxCapLogs     = 5
	loggedChange   = 4 // a portion that changes by more than one part in this many of the cap is logged
)

// caps is a leader's part in the caps of workspaces. It is guarded by the leader's mu.
type caps struct {
	holding  *budget.Holding
	allowing bool                      // the pool has the allowances that follow from the portions
	logged   map[string]work.Resources // portions as last logged
	logFrom  time.Time                 // start of the present capLogInterval
	logLines int                       // logged in it
	reported chan struct{}             // receives a value when a report is urgent
}

func newCaps(lease Lease) caps {
	return caps{holding: budget.NewHolding(lease.Service, lease.Row.Term), logged: map[string]work.Resources{}, reported: make(chan struct{}, 1)}
}

// CapsOf returns the caps of the workspaces that have one.
func CapsOf(workspaces []platform.Workspace) map[string]work.Resources {
	list := map[string]work.Resources{}
	for _, w := range workspaces {
		if w.Cap != (work.Resources{}) {
			list[w.Name] = w.Cap
		}
	}
	return list
}

// configureCaps applies the configured caps.
func (l *Leader) configureCaps(workspaces []platform.Workspace) {
	configured := CapsOf(workspaces)
	if maps.Equal(configured, l.caps.holding.Caps()) {
		return
	}
	l.caps.holding.SetCaps(l.Now(), configured)
	l.pool.SetCaps(configured)
	l.pool.SetAllowances(l.caps.holding.Allowances(l.Now()))
	sleep.Wake(l.caps.reported)
}

// expirePortions ends the allowances once the portions have expired.
func (l *Leader) expirePortions(now time.Time) {
	if !l.caps.allowing {
		return
	}
	if l.caps.holding.Scaled(now) {
		l.pool.SetAllowances(l.caps.holding.Allowances(now))
	}
	if !l.caps.holding.Expired(now) {
		return
	}
	l.caps.allowing = false
	l.pool.SetAllowances(nil)
	l.Log.Warn("portions of caps have expired; nothing starts for workspaces with a cap until the granter answers")
}

// UsageReport returns the report for the granter, which is the leader of the given service. It returns false if no
// workspace has a cap.
func (l *Leader) UsageReport(granter string) (budget.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.caps.holding.Caps()) == 0 {
		return budget.Report{}, false
	}
	now := l.Now()
	return l.caps.holding.Report(now, granter, l.pool.WorkspaceUsage(now)), true
}

// ApplyPortions applies the granter's answer to a report that was sent at the given time, unless it is outdated.
func (l *Leader) ApplyPortions(granter string, sent time.Time, a budget.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shrinks := l.caps.holding.Shrinks(a)
	if !l.caps.holding.Apply(granter, sent, a) {
		return
	}
	if shrinks {
		sleep.Wake(l.caps.reported)
	}
	now := l.Now()
	allowances := l.caps.holding.Allowances(now)
	l.pool.SetAllowances(allowances)
	l.caps.allowing = true
	l.pool.SetFractions(l.fractions(now, a))
	l.logPortions(now, a)
	sleep.Wake(l.wakePlan)
}

// ReportUrgent returns a channel that receives a value when a start is held up for lack of a portion.
func (l *Leader) ReportUrgent() <-chan struct{} { return l.caps.reported }

// logPortions logs the portions that have changed a lot since they were last logged.
func (l *Leader) logPortions(now time.Time, a budget.Answer) {
	for name, p := range a.Portions {
		l.logPortion(now, name, p.Amount, p.Cap)
	}
	for name := range l.caps.logged {
		if _, ok := a.Portions[name]; !ok {
			l.logPortion(now, name, work.Resources{}, l.caps.holding.Caps()[name])
		}
	}
}

// logPortion logs a portion if it has changed a lot.
func (l *Leader) logPortion(now time.Time, workspace string, amount, limit work.Resources) {
	before := l.caps.logged[workspace]
	if !changedMuch(before.CPU, amount.CPU, limit.CPU) && !changedMuch(before.Mem, amount.Mem, limit.Mem) && !changedMuch(before.GPU, amount.GPU, limit.GPU) {
		return
	}
	if !l.mayLogCaps(now) {
		return
	}
	l.caps.logged[workspace] = amount
	if amount == (work.Resources{}) {
		delete(l.caps.logged, workspace)
	}
	l.Log.Info("portion of a cap changed", zap.String("workspace", workspace), zap.Int64("cpu", amount.CPU), zap.Int64("mem", amount.Mem), zap.Int64("gpu", amount.GPU),
		zap.Int64("cap_cpu", limit.CPU), zap.Int64("cap_mem", limit.Mem), zap.Int64("cap_gpu", limit.GPU))
}

// changedMuch reports whether a portion has changed by more than one part in loggedChange of the cap.
func changedMuch(before, amount, limit int64) bool {
	change := max(before-amount, amount-before)
	return limit > 0 && change > limit/loggedChange
}

// logHeldUp logs that the cap of a job's workspace holds it up.
func (l *Leader) logHeldUp(h sched.HeldUp) {
	if l.mayLogCaps(l.Now()) {
		l.writeHeldUp(h)
	}
}

func (l *Leader) writeHeldUp(h sched.HeldUp) {
	why := "cap"
	if h.Unknown {
		why = "the configuration here is older than the workspace"
	}
	l.Log.Info("job held up by the cap of its workspace", zap.String("job", string(h.Job)), zap.String("queue", h.Queue), zap.String("workspace", h.Workspace), zap.String("why", why))
}

// ExplainJob logs what holds up a job now, so that an operator who asks for the log lines about it is told.
func (l *Leader) ExplainJob(id work.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.pool.HeldUpJob(time.Now(), id); ok {
		l.writeHeldUp(h)
	}
}

// mayLogCaps reports whether another line about caps may be logged now, and counts it.
func (l *Leader) mayLogCaps(now time.Time) bool {
	if now.Sub(l.caps.logFrom) >= capLogInterval {
		l.caps.logFrom, l.caps.logLines = now, 0
	}
	l.caps.logLines++
	return l.caps.logLines <= maxCapLogs
}

// TermAge returns for how long this leader has held its lease.
func (l *Leader) TermAge() time.Duration { return l.Now().Sub(l.lease.AcquiredAt) }

// SilenceWithoutLeader returns after which time without a leader no runs of a service are in progress: its former leader's
// grace, the longest lease of a runner by a slow clock, and the time in which orders may be executed late.
func SilenceWithoutLeader(leases sched.LeaseConfig) time.Duration {
	return LeaseGrace + time.Duration(float64(max(leases.MaxTTL, leases.TTL))/(1-sched.MaxClockSkew)) + lateOrders
}
