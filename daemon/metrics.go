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
type gauges struct {
	meter metric.Meter
	err   error

	answers, calls, starts, ends, givenUp, stops, paces, asks metric.Int64ObservableCounter
	seats, sampled, lost                                      metric.Int64ObservableCounter
	held, waiting, running, out, silent, moving               metric.Int64ObservableGauge
	oldest                                                    metric.Float64ObservableGauge
}

// makeMetrics makes the instruments and the one callback that reads them all.
func (d *Daemon) makeMetrics() error {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return err
	}
	d.metrics = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	g := &gauges{meter: sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("gypsumlead")}
	g.answers = g.counter("gypsumlead.answers", "answers to callers, by status")
	g.calls = g.counter("gypsumlead.calls", "calls to the store, runners, machines and the policy service, by name and answer")
	g.starts = g.counter("gypsumlead.starts", "orders to start a run, by service")
	g.ends = g.counter("gypsumlead.ends", "ends that runners listed, by service and kind")
	g.givenUp = g.counter("gypsumlead.givenup", "runs no longer counted on, by service and reason")
	g.stops = g.counter("gypsumlead.stops", "orders to stop a run, by service and reason")
	g.paces = g.counter("gypsumlead.paces", "orders to change the pace of a run, by service")
	g.asks = g.counter("gypsumlead.asks", "questions to the policy service, by service")
	g.seats = g.counter("gypsumlead.seats.changes", "seats taken or left by this daemon")
	g.sampled = g.counter("gypsumlead.log.sampled", "log lines left out because the same message came too often")
	g.lost = g.counter("gypsumlead.log.lost", "log lines lost because the reader was too slow")
	g.held = g.gauge("gypsumlead.seats.term", "which holder of the service this is, for each service held here")
	g.waiting = g.gauge("gypsumlead.jobs.waiting", "accepted jobs that haven't begun, by service")
	g.running = g.gauge("gypsumlead.jobs.running", "jobs that have begun, by service")
	g.out = g.gauge("gypsumlead.runners.out", "runners without work because of failures, by service")
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
	took, err := g.meter.Float64Histogram("gypsumlead.submit.duration", metric.WithUnit("s"), metric.WithDescription("time to answer a job that is handed in, by answer"))
	if err != nil {
		return err
	}
	d.front.ObserveSubmit = func(answer string, t time.Duration) {
		took.Record(context.Background(), t.Seconds(), metric.WithAttributes(attribute.String("answer", answer)))
	}
	_, err = g.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		d.observe(o, g)
		return nil
	}, g.answers, g.calls, g.starts, g.ends, g.givenUp, g.stops, g.paces, g.asks, g.seats, g.sampled, g.lost,
		g.held, g.waiting, g.running, g.out, g.silent, g.moving, g.oldest)
	return err
}

func (g *gauges) counter(name, what string) metric.Int64ObservableCounter {
	c, err := g.meter.Int64ObservableCounter(name, metric.WithDescription(what))
	if g.err == nil {
		g.err = err
	}
	return c
}

func (g *gauges) gauge(name, what string) metric.Int64ObservableGauge {
	c, err := g.meter.Int64ObservableGauge(name, metric.WithDescription(what))
	if g.err == nil {
		g.err = err
	}
	return c
}

// observe reads everything once.
func (d *Daemon) observe(o metric.Observer, g *gauges) {
	for status, n := range d.front.Counts.Snapshot() {
		o.ObserveInt64(g.answers, n, with("status", status))
	}
	for c, n := range d.meter.Counts() {
		o.ObserveInt64(g.calls, n, metric.WithAttributes(attribute.String("call", c.Call), attribute.String("answer", c.Result)))
	}
	sampled, lost := d.dropped()
	o.ObserveInt64(g.sampled, sampled)
	o.ObserveInt64(g.lost, lost)
	o.ObserveInt64(g.seats, d.seated.Load())
	if d.master != nil {
		o.ObserveInt64(g.moving, d.master.Moving())
	}
	for _, h := range d.held() {
		observeService(o, g, h)
	}
}

// observeService reads one service that is held here.
func observeService(o metric.Observer, g *gauges, h *leader.Leader) {
	s, by := h.Stats(), with("service", h.Service())
	o.ObserveInt64(g.held, int64(h.Term()), by)
	o.ObserveInt64(g.starts, s.Starts, by)
	o.ObserveInt64(g.paces, s.Paces, by)
	o.ObserveInt64(g.asks, s.ApprovalRequests, by)
	o.ObserveInt64(g.waiting, int64(s.Waiting), by)
	o.ObserveInt64(g.running, int64(s.Running), by)
	o.ObserveInt64(g.out, int64(s.Out), by)
	o.ObserveInt64(g.silent, int64(s.Silent), by)
	o.ObserveFloat64(g.oldest, s.Oldest.Seconds(), by)
	for how, n := range s.Ends {
		o.ObserveInt64(g.ends, n, by, with("how", string(how)))
	}
	for why, n := range s.Abandoned {
		o.ObserveInt64(g.givenUp, n, by, with("why", why))
	}
	for why, n := range s.Stops {
		o.ObserveInt64(g.stops, n, by, with("why", why))
	}
}

func with(key, value string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(key, value))
}
