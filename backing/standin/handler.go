package standin

import (
	"context"
	"encoding/json"
	"net/http"

	"gypsumlead/backing"
	"gypsumlead/backing/wire"
	"gypsumlead/fault"
)

// Handler serves the four services, the heartbeats and the control of faults.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	p.handleTable(m)
	p.handleObjects(m)
	p.handleInstances(m)
	p.handleWorkers(m)
	p.handleControl(m)
	return m
}

func (p *Platform) handleTable(m *http.ServeMux) {
	handle(m, wire.PathRead, func(ctx context.Context, q wire.Read) (wire.Rows, error) {
		rows, err := p.Table.Read(ctx, q.Keys...)
		return wire.Rows{Rows: rows}, err
	})
	handle(m, wire.PathScan, func(ctx context.Context, q wire.Scan) (wire.Rows, error) {
		rows, err := p.Table.Scan(ctx, q.Prefix, q.After, q.Limit)
		return wire.Rows{Rows: rows}, err
	})
	handle(m, wire.PathCommit, func(ctx context.Context, q wire.Commit) (wire.None, error) {
		tx, err := wire.DecodeTx(q)
		if err != nil {
			return wire.None{}, err
		}
		return wire.None{}, p.Table.Commit(ctx, tx)
	})
}

func (p *Platform) handleObjects(m *http.ServeMux) {
	handle(m, wire.PathGet, func(ctx context.Context, q wire.Get) (wire.Object, error) {
		data, err := p.Objects.Get(ctx, q.Name)
		return wire.Object{Name: q.Name, Data: data}, err
	})
	handle(m, wire.PathPut, func(ctx context.Context, q wire.Object) (wire.None, error) {
		return wire.None{}, p.Objects.Put(ctx, q.Name, q.Data)
	})
	handle(m, wire.PathList, func(ctx context.Context, q wire.List) (wire.Names, error) {
		names, err := p.Objects.List(ctx, q.Prefix)
		return wire.Names{Names: names}, err
	})
}

func (p *Platform) handleInstances(m *http.ServeMux) {
	handle(m, wire.PathInstances, func(ctx context.Context, _ wire.None) (wire.Instances, error) {
		list, err := p.Instances.List(ctx)
		return wire.Instances{Instances: list}, err
	})
	handle(m, wire.PathRoster, func(ctx context.Context, q wire.Roster) (wire.Delta, error) {
		return p.Roster.delta(ctx, q.Known)
	})
	handle(m, wire.PathLook, func(ctx context.Context, q wire.Look) (wire.Instances, error) {
		list, err := p.Roster.Look(ctx, q.Instances...)
		return wire.Instances{Instances: list}, err
	})
	handle(m, wire.PathDrain, func(ctx context.Context, q wire.Drain) (wire.None, error) {
		return wire.None{}, p.Instances.Drain(ctx, q.Instance, q.Boot)
	})
	handle(m, wire.PathReboot, func(ctx context.Context, q backing.Reboot) (wire.None, error) {
		return wire.None{}, p.Instances.Reboot(ctx, q)
	})
}

func (p *Platform) handleWorkers(m *http.ServeMux) {
	handle(m, wire.PathWorkers, func(ctx context.Context, _ wire.None) (wire.Workers, error) {
		list, err := p.Workers.Workers(ctx)
		return wire.Workers{Workers: list}, err
	})
	handle(m, wire.PathLookWorkers, func(ctx context.Context, q wire.Look) (wire.Workers, error) {
		list, err := p.Roster.LookWorkers(ctx, q.Instances...)
		return wire.Workers{Workers: list}, err
	})
	handle(m, wire.PathStart, func(ctx context.Context, q backing.Task) (wire.None, error) {
		return wire.None{}, p.Workers.Start(ctx, q)
	})
	handle(m, wire.PathAct, func(ctx context.Context, q wire.Act) (wire.None, error) {
		return wire.None{}, p.Workers.Act(ctx, q.Task, q.Epoch, q.Act, q.Until)
	})
	handle(m, wire.PathReports, func(ctx context.Context, q wire.Of) (wire.Reports, error) {
		list, err := p.Workers.Reports(ctx, q.Worker)
		return wire.Reports{Reports: list}, err
	})
}

// handle answers a POST of a Q with an A or a fault.
func handle[Q, A any](m *http.ServeMux, path string, do func(ctx context.Context, q Q) (A, error)) {
	m.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := wire.Decode(r.Body, &q); err != nil {
			fault.Write(w, err)
			return
		}
		a, err := do(r.Context(), q)
		if err != nil {
			fault.Write(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The caller may have left; there is nobody else to tell.
		_ = json.NewEncoder(w).Encode(a)
	})
}
