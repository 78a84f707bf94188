package daemon

import (
	"cmp"
	"context"
	"slices"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"gypsumlead/budget"
	"gypsumlead/work"
)

// maxCapLabels limits the workspaces with metrics of their own; the others are summed as restOfWorkspaces.
const (
	maxCapLabels     = 50
	restOfWorkspaces = "(rest)"
)

// setUpCapMetrics creates the gauges of the workspaces' caps, which only the granter's daemon has.
func (d *Daemon) setUpCapMetrics(in *instruments) error {
	limit := in.gauge("gypsumlead.caps.limit", "caps of workspaces, by workspace and resource")
	granted := in.gauge("gypsumlead.caps.granted", "portions of caps that leaders may hold, by workspace and resource")
	used := in.gauge("gypsumlead.caps.used", "what runs of workspaces with a cap use, by workspace and resource")
	if in.err != nil {
		return in.err
	}
	_, err := in.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, s := range mostUsed(d.capStates()) {
			observeAmount(o, limit, s.Name, s.Cap, s.Cap)
			observeAmount(o, granted, s.Name, s.Granted, s.Cap)
			observeAmount(o, used, s.Name, s.Used, s.Cap)
		}
		return nil
	}, limit, granted, used)
	return err
}

// observeAmount records the amounts of the resources that a cap limits.
func observeAmount(o metric.Observer, gauge metric.Int64ObservableGauge, workspace string, amount, limit work.Resources) {
	for _, r := range []struct {
		name          string
		amount, limit int64
	}{{"cpu", amount.CPU, limit.CPU}, {"mem", amount.Mem, limit.Mem}, {"gpu", amount.GPU, limit.GPU}} {
		if r.limit > 0 {
			o.ObserveInt64(gauge, r.amount, metric.WithAttributes(attribute.String("workspace", workspace), attribute.String("resource", r.name)))
		}
	}
}

// mostUsed returns the maxCapLabels workspaces that use most, and the sum of the others as one.
func mostUsed(list []budget.WorkspaceState) []budget.WorkspaceState {
	if len(list) <= maxCapLabels {
		return list
	}
	slices.SortStableFunc(list, func(a, b budget.WorkspaceState) int {
		return cmp.Or(cmp.Compare(b.Used.CPU, a.Used.CPU), cmp.Compare(b.Used.Mem, a.Used.Mem), cmp.Compare(b.Used.GPU, a.Used.GPU))
	})
	rest := budget.WorkspaceState{Name: restOfWorkspaces}
	for _, s := range list[maxCapLabels:] {
		rest.Cap, rest.Granted = rest.Cap.Add(s.Cap), rest.Granted.Add(s.Granted)
		rest.Used, rest.Waiting = rest.Used.Add(s.Used), rest.Waiting.Add(s.Waiting)
	}
	return append(list[:maxCapLabels:maxCapLabels], rest)
}
