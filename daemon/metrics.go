package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"gypsumlead/leader"
)

// gauges are the instruments, read when they are asked for.
type instruments struct {
	meter metric.Meter
	err   error

	answers, calls, starts, ends, abandoned, stops, paceChanges, approvalRequests metric.Int64ObservableCounter
	leaseChanges, sampledLogs, lostLogs                                           metric.Int64ObservableCounter
	terms, waiting, running, excluded, silent, moving                             metric.Int64ObservableGauge
	oldest                                                                        metric.Float64ObservableGauge
}

// makeMetrics makes the instruments and the one callback that reads them all.
func (d *Daemon) setUpMetrics() error {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return err
	}
	d.metricsHandler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	g := &instruments{meter: sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("gypsumlead")}
	g.answers = g.counter("gypsumlead.answers", "answers to callers, by status")
	g.calls = g.counter("gypsumlead.calls", "calls to the store, runners, machines and the policy service, by name and answer")
	g.starts = g.counter("gypsumlead.starts", "orders to start a run, by service")
	g.ends = g.counter("gypsumlead.ends", "ends that runners listed, by service and kind")
	g.abandoned = g.counter("gypsumlead.givenup", "runs no longer counted on, by service and reason")
	g.stops = g.counter("gypsumlead.stops", "orders to stop a run, by service and reason")
	g.paceChanges = g.counter("gypsumlead.paces", "orders to change the pace of a run, by service")
	g.approvalRequests = g.counter("gypsumlead.asks", "questions to the policy service, by service")
	g.leaseChanges = g.counter("gypsumlead.seats.changes", "seats taken or left by this daemon")
	g.sampledLogs = g.counter("gypsumlead.log.sampled", "log lines left out because the same message came too often")
	g.lostLogs = g.counter("gypsumlead.log.lost", "log lines lost because the reader was too slow")
	g.terms = g.gauge("gypsumlead.seats.term", "which holder of the service this is, for each service held here")
	g.waiting = g.gauge("gypsumlead.jobs.waiting", "accepted jobs that haven't begun, by service")
	g.running = g.gauge("gypsumlead.jobs.running", "jobs that have begun, by service")
	g.excluded = g.gauge("gypsumlead.runners.out", "runners without work because of failures, by service")
	g.silent = g.gauge("gypsumlead.runners.silent", "runners that don't answer, by service")
	g.moving = g.gauge("gypsumlead.machines.moving", "machines on their way to another pool")
	oldest, err := g.meter.Float64ObservableGauge("gypsumlead.jobs.oldest", metric.WithUnit("s"), metric.WithDescription("age of the oldest job that hasn't begun, by service"))
	g.oldest = oldest
	if g.err == nil {
		g.err = err
	}
	if g.err != nil {
		return g.err
	}
	duration, err := g.meter.Float64Histogram("gypsumlead.submit.duration", metric.WithUnit("s"), metric.WithDescription("time to answer a job that is handed in, by answer"))
	if err != nil {
		return err
	}
	d.jobHandler.ObserveSubmit = func(answer string, t time.Duration) {
		duration.Record(context.Background(), t.Seconds(), metric.WithAttributes(attribute.String("answer", answer)))
	}
	_, err = g.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		d.observe(o, g)
		return nil
	}, g.answers, g.calls, g.starts, g.ends, g.abandoned, g.stops, g.paceChanges, g.approvalRequests, g.leaseChanges, g.sampledLogs, g.lostLogs,
		g.terms, g.waiting, g.running, g.excluded, g.silent, g.moving, g.oldest)
	return err
}

func (g *instruments) counter(name, description string) metric.Int64ObservableCounter {
	c, err := g.meter.Int64ObservableCounter(name, metric.WithDescription(description))
	if g.err == nil {
		g.err = err
	}
	return c
}

func (g *instruments) gauge(name, description string) metric.Int64ObservableGauge {
	c, err := g.meter.Int64ObservableGauge(name, metric.WithDescription(description))
	if g.err == nil {
		g.err = err
	}
	return c
}

// observe reads everything once.
func (d *Daemon) observe(o metric.Observer, g *instruments) {
	for status, n := range d.jobHandler.Counts.Snapshot() {
		o.ObserveInt64(g.answers, n, label("status", status))
	}
	for c, n := range d.meter.Counts() {
		o.ObserveInt64(g.calls, n, metric.WithAttributes(attribute.String("call", c.Call), attribute.String("answer", c.Result)))
	}
	sampled, lost := d.droppedLogs()
	o.ObserveInt64(g.sampledLogs, sampled)
	o.ObserveInt64(g.lostLogs, lost)
	o.ObserveInt64(g.leaseChanges, d.leaseChanges.Load())
	if d.coordinator != nil {
		o.ObserveInt64(g.moving, d.coordinator.Moving())
	}
	for _, l := range d.ledHere() {
		observeService(o, g, l)
	}
}

// observeService reads one service that is held here.
func observeService(o metric.Observer, g *instruments, l *leader.Leader) {
	stats, service := l.Stats(), label("service", l.Service())
	o.ObserveInt64(g.terms, int64(l.Term()), service)
	o.ObserveInt64(g.starts, stats.Starts, service)
	o.ObserveInt64(g.paceChanges, stats.Paces, service)
	o.ObserveInt64(g.approvalRequests, stats.ApprovalRequests, service)
	o.ObserveInt64(g.waiting, int64(stats.Waiting), service)
	o.ObserveInt64(g.running, int64(stats.Running), service)
	o.ObserveInt64(g.excluded, int64(stats.Out), service)
	o.ObserveInt64(g.silent, int64(stats.Silent), service)
	o.ObserveFloat64(g.oldest, stats.Oldest.Seconds(), service)
	for reason, n := range stats.Ends {
		o.ObserveInt64(g.ends, n, service, label("how", string(reason)))
	}
	for reason, n := range stats.Abandoned {
		o.ObserveInt64(g.abandoned, n, service, label("why", reason))
	}
	for reason, n := range stats.Stops {
		o.ObserveInt64(g.stops, n, service, label("why", reason))
	}
}

func label(key, value string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(key, value))
}
