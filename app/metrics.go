package app

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"gypsumlead/share"
)

// metrics are the daemon's instruments, read when they are asked for.
type metrics struct {
	handler  http.Handler
	breaches atomic.Int64
}

func newMetrics(a *App) (*metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("gypsumlead")
	m := &metrics{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}
	return m, m.register(meter, a)
}

// register makes the instruments and the one callback that reads them all.
func (m *metrics) register(meter metric.Meter, a *App) error {
	b := &instruments{meter: meter}
	seq := b.gauge("gypsumlead.config.seq", "newest change of the configuration in force")
	active := b.gauge("gypsumlead.calls.active", "callers' requests in progress")
	peersUp := b.gauge("gypsumlead.peers", "daemons with an open session")
	up := b.gauge("gypsumlead.store.up", "1 while the platform's table answers")
	answers := b.counter("gypsumlead.calls.answers", "upstreams' answers passed on whole")
	aborted := b.counter("gypsumlead.calls.aborted", "answers that broke off after a part was passed on")
	faults := b.counter("gypsumlead.calls.faults", "answers of the daemon itself, by kind")
	breaches := b.counter("gypsumlead.breaches", "invariants that did not hold")
	dials := b.counter("gypsumlead.runner.dials", "connections to runners opened or tried")
	resends := b.counter("gypsumlead.runner.resends", "further tries of a request")
	waiting := b.gauge("gypsumlead.work.waiting", "requests that wait for a slot, by kind of work")
	running := b.gauge("gypsumlead.work.running", "requests that have a slot, by kind of work")
	refused := b.counter("gypsumlead.work.refused", "requests refused at admission, by kind of work")
	if b.err != nil {
		return b.err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		e, f := a.entry.Stats(), a.fleet.Stats()
		o.ObserveInt64(seq, a.state.Seq())
		o.ObserveInt64(active, e.Active)
		o.ObserveInt64(peersUp, int64(len(a.mesh.Peers())))
		o.ObserveInt64(up, zeroOne(a.spread.Store() == nil))
		o.ObserveInt64(answers, e.Answers)
		o.ObserveInt64(aborted, e.Aborted)
		for k, n := range e.Faults {
			o.ObserveInt64(faults, n, metric.WithAttributes(attribute.String("kind", k.String())))
		}
		for _, u := range a.usage() {
			of := metric.WithAttributes(attribute.String("service", u.Service), attribute.String("work", u.Work))
			o.ObserveInt64(waiting, int64(u.Waiting), of)
			o.ObserveInt64(running, int64(u.Running), of)
			o.ObserveInt64(refused, int64(u.Refused), of)
		}
		o.ObserveInt64(breaches, m.breaches.Load())
		o.ObserveInt64(dials, f.Dials)
		o.ObserveInt64(resends, f.Resends)
		return nil
	}, b.all...)
	return err
}

// usage lists what each kind of work has of its pool.
func (a *App) usage() []share.Usage {
	var out []share.Usage
	for _, pool := range a.gate.Pools() {
		out = append(out, a.gate.Usage(pool)...)
	}
	return out
}

// instruments makes instruments and keeps the first error.
type instruments struct {
	meter metric.Meter
	all   []metric.Observable
	err   error
}

func (b *instruments) gauge(name, what string) metric.Int64ObservableGauge {
	g, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(what))
	b.keep(g, err)
	return g
}

func (b *instruments) counter(name, what string) metric.Int64ObservableCounter {
	c, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(what))
	b.keep(c, err)
	return c
}

func (b *instruments) keep(o metric.Observable, err error) {
	b.all = append(b.all, o)
	if b.err == nil {
		b.err = err
	}
}

func zeroOne(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
