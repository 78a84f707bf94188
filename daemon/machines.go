package daemon

import (
	"context"
	"slices"
	"time"

	"gypsumlead/claims"
	"gypsumlead/leader"
	"gypsumlead/machines"
	"gypsumlead/peer/wire"
	"gypsumlead/platform"
)

// reportTimeout limits the delivery of a report to the coordinator; an older report is outdated.
const reportTimeout = 300 * time.Millisecond

// setUpMachines creates what moves and maintains machines, if the platform has a machine service.
func (d *Daemon) setUpMachines() {
	if d.machineClient == nil {
		return
	}
	d.claims = claims.New(claims.Deps{
		Store:    d.store,
		Machines: d.machineClient,
		Log:      d.log,
		Now:      d.now,
		Name:     d.settings.Instance,
		Boot:     d.boot,
		TTL:      d.settings.Bounds.MachineLease,
		Interest: d.interests.claims,
	})
	d.waveTracker = machines.NewWaveTracker(d.store, d.log, d.interests.waves)
	d.poolManager = machines.NewPoolManager(machines.PoolManagerDeps{
		Log:            d.log,
		Now:            d.now,
		Waves:          d.waveTracker,
		RequestedWaves: d.operatorState.Waves,
		RecentClaims:   d.claims.Recent,
		Leaders:        d.machineLeaders,
		SparePool:      d.standbyService,
		Configured:     func(service string) bool { return slices.Contains(d.services(), service) },
		Send:           d.sendReport,
	})
	d.coordinator = machines.NewCoordinator(machines.CoordinatorDeps{
		Log:                 d.log,
		Now:                 d.now,
		Claims:              d.claims,
		Waves:               d.waveTracker,
		Machines:            d.machineClient,
		MoveDuration:        d.settings.Bounds.MoveTime,
		MaintenanceDuration: d.settings.Bounds.MaintenanceTime,
		OrderRate:           d.settings.Bounds.OrdersPerSecond,
		RequestedWaves:      d.operatorState.Waves,
		SparePool:           d.standbyService,
		Held:                func() bool { return d.coordinatorLeader() != nil },
	})
}

// machineLister returns how leaders read the list of machines, or nil if the platform has no machine service.
func (d *Daemon) machineLister() leader.MachineLister {
	if d.claims == nil {
		return nil
	}
	return func(ctx context.Context) (map[string]platform.Machine, bool) {
		list, _, ok := d.claims.List(ctx)
		return list, ok
	}
}

// machineLeaders returns the local leaders for the PoolManager.
func (d *Daemon) machineLeaders() []machines.Leader {
	var list []machines.Leader
	for _, l := range d.localLeaders() {
		list = append(list, l)
	}
	return list
}

// standbyService returns the service whose machines are off until they are moved, or "" if there is none.
func (d *Daemon) standbyService() string {
	c := d.operatorState.Config()
	if c == nil {
		return ""
	}
	for _, s := range c.Services {
		if s.Standby {
			return s.Name
		}
	}
	return ""
}

// coordinatorService returns the service whose leader's daemon is the coordinator of machines: the standby service, or
// the first one by name if there is none.
func (d *Daemon) coordinatorService() string {
	if s := d.standbyService(); s != "" {
		return s
	}
	names := d.services()
	if len(names) == 0 {
		return ""
	}
	return slices.Min(names)
}

// coordinatorLeader returns the leader here in whose term this daemon coordinates machines and grants portions of caps, or nil if
// another daemon does, or if it may not act any more.
func (d *Daemon) coordinatorLeader() *leader.Leader {
	l := d.leaderOf(d.coordinatorService())
	if l == nil || !l.HasAuthority() {
		return nil
	}
	return l
}

// sendReport delivers a pool's report to the coordinator; the bool reports whether it replied.
func (d *Daemon) sendReport(ctx context.Context, r machines.Report) (machines.Reply, bool) {
	if d.coordinatorLeader() != nil {
		return d.coordinator.HandleReport(r), true
	}
	n, ok := d.members.Leader(d.coordinatorService())
	if !ok {
		return machines.Reply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := d.mesh.Call(ctx, n.Name, &wire.Request{Body: &wire.Request_Report{Report: encodeReport(r)}})
	reported := resp.GetReported()
	if err != nil || !reported.GetHeld() {
		return machines.Reply{}, false
	}
	return machines.Reply{Known: reported.GetKnown(), Short: int(reported.GetShort()), Floor: int(reported.GetFloor())}, true
}

// handleReport passes a report from another daemon to the coordinator, if it is this daemon.
func (d *Daemon) handleReport(r *wire.Report) *wire.Response {
	reported := &wire.Reported{}
	if d.coordinator != nil && d.coordinatorLeader() != nil {
		reply := d.coordinator.HandleReport(decodeReport(r))
		reported.Held, reported.Known, reported.Short, reported.Floor = true, reply.Known, int32(reply.Short), int32(reply.Floor)
	}
	return &wire.Response{Body: &wire.Response_Reported{Reported: reported}}
}

func encodeReport(r machines.Report) *wire.Report {
	w := &wire.Report{Service: r.Service, Term: int64(r.Term), Want: int32(r.Want), Machines: r.Machines, Offers: r.Offers}
	for _, ready := range r.Ready {
		w.Ready = append(w.Ready, &wire.Ready{Machine: ready.Machine, Wave: ready.Wave})
	}
	return w
}

func decodeReport(w *wire.Report) machines.Report {
	r := machines.Report{Service: w.Service, Term: int(w.Term), Want: int(w.Want), Machines: w.Machines, Offers: w.Offers}
	for _, ready := range w.Ready {
		r.Ready = append(r.Ready, machines.ReadyMachine{Machine: ready.Machine, Wave: ready.Wave})
	}
	return r
}
