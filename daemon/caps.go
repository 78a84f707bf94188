package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/budget"
	"gypsumlead/leader"
	"gypsumlead/peer/wire"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

const (
	usageTimeout   = 300 * time.Millisecond            // for the granter's answer to a report
	capsIdle       = time.Second                       // between checks whether the configuration has a cap
	grantTakeover  = leader.LeaseGrace + 2*time.Second // after the start of a granter no earlier one answers
	reportFailures = 5                                 // reports without an answer after which a line is logged
)

// granter is the granter of caps while this daemon leads the coordinator's service.
type granter struct {
	mu      sync.Mutex
	granter *budget.Granter
	leader  *leader.Leader // of the coordinator's service, in whose term it grants
	version int64          // of the configuration that it goes by
}

// reportUsage reports what the workspaces with a cap use in a service led here, until ctx ends or it isn't led here any
// more.
func (d *Daemon) reportUsage(ctx context.Context, l *leader.Leader) {
	failed := 0
	interval := budget.ReportInterval
	for ctx.Err() == nil && d.leaderOf(l.Service()) == l {
		sleep.ForOrWake(ctx, interval, l.ReportUrgent())
		service, sentAt := d.coordinatorService(), d.now()
		report, capped := l.UsageReport(service)
		if !capped {
			interval = capsIdle
			continue
		}
		interval = budget.ReportInterval
		answer, ok := d.sendUsage(ctx, service, report)
		if ok {
			failed = 0
			l.ApplyPortions(service, sentAt, answer)
		} else if failed++; failed == reportFailures {
			d.log.Warn("the granter of caps does not answer", zap.String("service", l.Service()), zap.String("granter", service))
		}
		if ok && answer.Sequence>>budget.TermShift != report.Sequence>>budget.TermShift {
			interval = budget.MinReportInterval // a new granter waits for the confirmation of its first answer
		}
		sleep.ForOrWake(ctx, budget.MinReportInterval-d.now().Sub(sentAt), nil)
	}
}

// sendUsage delivers a report to the granter, the daemon that leads the given service. The bool reports whether it answered.
func (d *Daemon) sendUsage(ctx context.Context, service string, r budget.Report) (budget.Answer, bool) {
	if d.coordinatorLeader() != nil {
		return d.grant(r)
	}
	n, ok := d.members.Leader(service)
	if !ok {
		return budget.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	resp, err := d.mesh.Call(ctx, n.Name, &wire.Request{Body: &wire.Request_Usage{Usage: encodeUsage(r)}})
	portions := resp.GetPortions()
	if err != nil || !portions.GetHeld() {
		return budget.Answer{}, false
	}
	return decodePortions(portions), true
}

// handleUsage passes a report from another daemon to the granter, if it is this daemon.
func (d *Daemon) handleUsage(u *wire.Usage) *wire.Response {
	answer, ok := d.grant(decodeUsage(u))
	return &wire.Response{Body: &wire.Response_Portions{Portions: encodePortions(answer, ok)}}
}

// grant answers a report if this daemon is the granter.
func (d *Daemon) grant(r budget.Report) (budget.Answer, bool) {
	g := &d.granter
	g.mu.Lock()
	defer g.mu.Unlock()
	if !d.updateGranter() {
		return budget.Answer{}, false
	}
	now := d.now()
	for _, service := range d.services() {
		if _, ok := d.members.Leader(service); ok {
			g.granter.Alive(now, service)
		}
	}
	answer, ok := g.granter.Handle(now, r)
	if g.granter.Deposed() {
		g.leader.Doubt()
	}
	return answer, ok
}

// updateGranter creates or drops the granter as this daemon leads the coordinator's service or not, and gives it the
// configuration. It reports whether this daemon is the granter. The caller holds granter.mu.
func (d *Daemon) updateGranter() bool {
	g := &d.granter
	c := d.operatorState.Config()
	l := d.coordinatorLeader()
	if c == nil || l == nil {
		g.granter, g.leader = nil, nil
		return false
	}
	if g.leader != l {
		g.leader, g.version = l, -1
		g.granter = budget.NewGranter(d.now(), l.Term(), l.TermAge(), grantTakeover, leader.SilenceWithoutLeader(d.leaseConfig))
		d.log.Info("granting portions of caps", zap.String("service", l.Service()), zap.Int("term", l.Term()))
	}
	if g.version != c.Version {
		g.version = c.Version
		g.granter.Configure(leader.CapsOf(c.Workspaces), d.services())
	}
	return true
}

// capStates returns the workspaces with a cap as the granter knows them, or nil if this daemon isn't the granter.
func (d *Daemon) capStates() []budget.WorkspaceState {
	d.granter.mu.Lock()
	defer d.granter.mu.Unlock()
	if !d.updateGranter() {
		return nil
	}
	return d.granter.granter.States()
}

func encodeAmount(a work.Resources) *wire.Amount {
	if a == (work.Resources{}) {
		return nil
	}
	return &wire.Amount{Cpu: a.CPU, Mem: a.Mem, Gpu: a.GPU}
}

func decodeAmount(a *wire.Amount) work.Resources {
	return work.Resources{CPU: a.GetCpu(), Mem: a.GetMem(), GPU: a.GetGpu()}
}

func encodeUsage(r budget.Report) *wire.Usage {
	w := &wire.Usage{Service: r.Service, Term: int64(r.Term), Sequence: r.Sequence}
	for _, name := range slices.Sorted(maps.Keys(r.Workspaces)) {
		u := r.Workspaces[name]
		w.Workspaces = append(w.Workspaces, &wire.WorkspaceUsage{
			Workspace: name, Used: encodeAmount(u.Used), Unseen: encodeAmount(u.Unseen), Waiting: encodeAmount(u.Waiting),
			Next: encodeAmount(u.Next), Portion: encodeAmount(u.Portion), Arrivals: u.Arrivals,
		})
	}
	return w
}

func decodeUsage(w *wire.Usage) budget.Report {
	r := budget.Report{Service: w.GetService(), Term: int(w.GetTerm()), Sequence: w.GetSequence(), Workspaces: map[string]budget.Usage{}}
	for _, u := range w.GetWorkspaces() {
		r.Workspaces[u.GetWorkspace()] = budget.Usage{
			Used: decodeAmount(u.GetUsed()), Unseen: decodeAmount(u.GetUnseen()), Waiting: decodeAmount(u.GetWaiting()),
			Next: decodeAmount(u.GetNext()), Portion: decodeAmount(u.GetPortion()), Arrivals: u.GetArrivals(),
		}
	}
	return r
}

func encodePortions(a budget.Answer, held bool) *wire.Portions {
	w := &wire.Portions{Held: held, Sequence: a.Sequence}
	for _, name := range slices.Sorted(maps.Keys(a.Portions)) {
		p := a.Portions[name]
		w.Portions = append(w.Portions, &wire.Portion{Workspace: name, Amount: encodeAmount(p.Amount), Cap: encodeAmount(p.Cap), Arrivals: p.Arrivals})
	}
	return w
}

func decodePortions(w *wire.Portions) budget.Answer {
	a := budget.Answer{Sequence: w.GetSequence(), Portions: map[string]budget.Portion{}}
	for _, p := range w.GetPortions() {
		a.Portions[p.GetWorkspace()] = budget.Portion{Amount: decodeAmount(p.GetAmount()), Cap: decodeAmount(p.GetCap()), Arrivals: p.GetArrivals()}
	}
	return a
}
