package daemon

import (
	"context"
	"slices"
	"time"

	"gypsumlead/claims"
	"gypsumlead/machines"
	"gypsumlead/peer/wire"
)

// reportLimit is for a report to reach the master; an older one says nothing any more.
const reportLimit = 300 * time.Millisecond

// makeMachines builds what has machines moved and maintained, where the platform has a service for machines.
func (d *Daemon) makeMachines() {
	if d.machines == nil {
		return
	}
	d.book = claims.New(claims.Deps{
		Store:    d.store,
		Machines: d.machines,
		Log:      d.log,
		Now:      d.now,
		Name:     d.set.Instance,
		Boot:     d.boot,
		TTL:      d.set.Bounds.MachineLease,
		Interest: d.needs.book,
	})
	d.waves = machines.NewWaveTracker(d.store, d.log, d.needs.waves)
	d.local = machines.NewPoolManager(machines.PoolManagerDeps{
		Log:            d.log,
		Now:            d.now,
		Waves:          d.waves,
		RequestedWaves: d.operator.Waves,
		Leaders:        d.machineSeats,
		SparePool:      d.spare,
		Send:           d.sendReport,
	})
	d.master = machines.NewCoordinator(machines.CoordinatorDeps{
		Log:                 d.log,
		Now:                 d.now,
		Claims:              d.book,
		Waves:               d.waves,
		Machines:            d.machines,
		Name:                d.set.Instance,
		MoveDuration:        d.set.Bounds.MoveTime,
		MaintenanceDuration: d.set.Bounds.MaintenanceTime,
		OrderRate:           d.set.Bounds.OrdersPerSecond,
		RequestedWaves:      d.operator.Waves,
		SparePool:           d.spare,
		Held:                func() bool { return d.holderOf(d.masterSeat()) != nil },
	})
}

func (d *Daemon) machineSeats() []machines.Leader {
	var list []machines.Leader
	for _, h := range d.held() {
		list = append(list, h)
	}
	return list
}

// spare returns the service whose machines are off until they are moved, or "".
func (d *Daemon) spare() string {
	c := d.operator.Config()
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

// masterSeat returns the service whose holder gives orders for machines: the spare one, else the first.
func (d *Daemon) masterSeat() string {
	if s := d.spare(); s != "" {
		return s
	}
	names := d.services()
	if len(names) == 0 {
		return ""
	}
	return slices.Min(names)
}

// sendReport brings a pool's report to the master.
func (d *Daemon) sendReport(ctx context.Context, r machines.Report) (machines.Reply, bool) {
	seat := d.masterSeat()
	if d.holderOf(seat) != nil {
		return d.master.HandleReport(r), true
	}
	n, ok := d.members.Leader(seat)
	if !ok {
		return machines.Reply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	resp, err := d.mesh.Call(ctx, n.Name, &wire.Request{Body: &wire.Request_Report{Report: encodeReport(r)}})
	got := resp.GetReported()
	if err != nil || !got.GetHeld() {
		return machines.Reply{}, false
	}
	return machines.Reply{Known: got.GetKnown(), Short: int(got.GetShort()), Floor: int(got.GetFloor())}, true
}

// takeReport takes in a report that another daemon has sent.
func (d *Daemon) takeReport(r *wire.Report) *wire.Response {
	got := &wire.Reported{}
	if d.master != nil && d.holderOf(d.masterSeat()) != nil {
		reply := d.master.HandleReport(decodeReport(r))
		got.Held, got.Known, got.Short, got.Floor = true, reply.Known, int32(reply.Short), int32(reply.Floor)
	}
	return &wire.Response{Body: &wire.Response_Reported{Reported: got}}
}

func encodeReport(r machines.Report) *wire.Report {
	w := &wire.Report{Service: r.Service, Want: int32(r.Want), Machines: r.Machines, Offers: r.Offers}
	for _, x := range r.Ready {
		w.Ready = append(w.Ready, &wire.Ready{Machine: x.Machine, Wave: x.Wave})
	}
	return w
}

func decodeReport(w *wire.Report) machines.Report {
	r := machines.Report{Service: w.Service, Want: int(w.Want), Machines: w.Machines, Offers: w.Offers}
	for _, x := range w.Ready {
		r.Ready = append(r.Ready, machines.ReadyMachine{Machine: x.Machine, Wave: x.Wave})
	}
	return r
}
