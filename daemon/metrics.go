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

// instruments holds the instruments of all metrics; they are observed when the metrics are scraped.
type instruments struct {
	meter metric.Meter
	err   error

	answers, calls, starts, ends, abandoned, stops, classes, paceChanges, approvalRequests, restarts metric.Int64ObservableCounter
	refusals, keyRefusals, bodyRefusals, evictions                                                   metric.Int64ObservableCounter
	rackWaits, copies, leaseChanges, sampledLogs, lostLogs                                           metric.Int64ObservableCounter
	relayedCalls, carriedCalls, refusedCalls                                                         metric.Int64ObservableCounter
	rackWaited, relayedTime                                                                          metric.Float64ObservableCounter
	terms, waiting, running, excluded, silent, moving, configVersion                                 metric.Int64ObservableGauge
	connections, arriving                                                                            metric.Int64ObservableGauge
	oldest, configAge                                                                                metric.Float64ObservableGauge
}

// setUpMetrics creates the instruments and the callback that reads all of them.
func (d *Daemon) setUpMetrics() error {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return err
	}
	d.metricsHandler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	in := &instruments{meter: sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("gypsumlead")}
	in.answers = in.counter("gypsumlead.answers", "responses to callers, by status")
	in.keyRefusals = in.counter("gypsumlead.keys.refused", "requests of callers refused because of their keys, by reason")
	in.evictions = in.counter("gypsumlead.callers.evicted", "connections of callers that gave way to new ones")
	in.bodyRefusals = in.counter("gypsumlead.bodies.refused", "requests of callers refused because their bodies had not arrived, by reason")
	in.calls = in.counter("gypsumlead.calls", "calls to the store, runners, machines and the policy service, by name and answer")
	in.starts = in.counter("gypsumlead.starts", "orders to start a run, by service")
	in.ends = in.counter("gypsumlead.ends", "ends of runs that runners listed, by service and reason")
	in.abandoned = in.counter("gypsumlead.givenup", "abandoned runs, by service and reason")
	in.stops = in.counter("gypsumlead.stops", "orders to stop a run, by service and reason")
	in.paceChanges = in.counter("gypsumlead.paces", "orders to change the pace of a run, by service")
	in.classes = in.counter("gypsumlead.jobs.classes", "accepted jobs of workspaces, by service and class: guaranteed or excess")
	in.refusals = in.counter("gypsumlead.jobs.refusals", "refused jobs, and tries turned down because of an earlier refusal, by service and reason")
	in.approvalRequests = in.counter("gypsumlead.asks", "requests to the policy service, by service")
	in.restarts = in.counter("gypsumlead.runners.restarts", "runners that have started again under their IDs, by service")
	in.rackWaits = in.counter("gypsumlead.waits", "waits of tasks for a rack, by service and state: begun, ended in the rack (place), ended in another (away)")
	in.copies = in.counter("gypsumlead.copies", "copies of slow tasks, by service and state: begun, won, lost")
	in.rackWaited = in.seconds("gypsumlead.waits.duration", "time that tasks have waited for racks although others had room, by service")
	in.leaseChanges = in.counter("gypsumlead.seats.changes", "leases of leadership acquired or lost by this daemon")
	in.sampledLogs = in.counter("gypsumlead.log.sampled", "log lines dropped because the same message was logged too often")
	in.lostLogs = in.counter("gypsumlead.log.lost", "log lines lost because the reader was too slow")
	in.relayedCalls = in.counter("gypsumlead.relay.sent", "calls to the store that this daemon sent through a carrier")
	in.carriedCalls = in.counter("gypsumlead.relay.carried", "calls to the store that this daemon made for others")
	in.refusedCalls = in.counter("gypsumlead.relay.refused", "calls to the store that this daemon refused to make for others")
	in.relayedTime = in.seconds("gypsumlead.relay.time", "time during which this daemon's calls to the store were relayed")
	in.terms = in.gauge("gypsumlead.seats.term", "term of the leader, for each service led by this daemon")
	in.waiting = in.gauge("gypsumlead.jobs.waiting", "accepted jobs that haven't started, by service")
	in.running = in.gauge("gypsumlead.jobs.running", "jobs that have started, by service")
	in.excluded = in.gauge("gypsumlead.runners.out", "runners excluded because of failures, by service")
	in.silent = in.gauge("gypsumlead.runners.silent", "runners that don't answer, by service")
	in.moving = in.gauge("gypsumlead.machines.moving", "machines being moved to another pool")
	in.configVersion = in.gauge("gypsumlead.config.version", "version of the configuration in force")
	in.connections = in.gauge("gypsumlead.callers.connections", "open connections of callers")
	in.arriving = in.gauge("gypsumlead.bodies.arriving", "bytes of memory that callers' bodies hold")
	in.oldest = in.secondsGauge("gypsumlead.jobs.oldest", "age of the oldest job that hasn't started, by service")
	in.configAge = in.secondsGauge("gypsumlead.config.age", "time since the store confirmed the configuration in force")
	if in.err != nil {
		return in.err
	}
	if err := d.setUpCapMetrics(in); err != nil {
		return err
	}
	duration, err := in.meter.Float64Histogram("gypsumlead.submit.duration", metric.WithUnit("s"), metric.WithDescription("time to answer a submitted job, by answer"))
	if err != nil {
		return err
	}
	d.jobHandler.ObserveSubmit = func(answer string, t time.Duration) {
		duration.Record(context.Background(), t.Seconds(), metric.WithAttributes(attribute.String("answer", answer)))
	}
	_, err = in.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		d.observe(o, in)
		return nil
	}, in.answers, in.calls, in.starts, in.ends, in.abandoned, in.stops, in.classes, in.refusals, in.paceChanges, in.approvalRequests, in.restarts, in.rackWaits, in.rackWaited, in.copies, in.keyRefusals, in.leaseChanges, in.sampledLogs, in.lostLogs,
		in.relayedCalls, in.carriedCalls, in.refusedCalls, in.relayedTime, in.terms, in.waiting, in.running, in.excluded, in.silent, in.moving, in.oldest, in.configVersion, in.configAge, in.connections, in.arriving, in.bodyRefusals, in.evictions)
	return err
}

// counter creates a counter; the first error is kept in in.err.
func (in *instruments) counter(name, description string) metric.Int64ObservableCounter {
	c, err := in.meter.Int64ObservableCounter(name, metric.WithDescription(description))
	if in.err == nil {
		in.err = err
	}
	return c
}

// seconds creates a counter of seconds; the first error is kept in in.err.
func (in *instruments) seconds(name, description string) metric.Float64ObservableCounter {
	c, err := in.meter.Float64ObservableCounter(name, metric.WithUnit("s"), metric.WithDescription(description))
	if in.err == nil {
		in.err = err
	}
	return c
}

// gauge creates a gauge; the first error is kept in in.err.
func (in *instruments) gauge(name, description string) metric.Int64ObservableGauge {
	c, err := in.meter.Int64ObservableGauge(name, metric.WithDescription(description))
	if in.err == nil {
		in.err = err
	}
	return c
}

// secondsGauge creates a gauge of seconds; the first error is kept in in.err.
func (in *instruments) secondsGauge(name, description string) metric.Float64ObservableGauge {
	g, err := in.meter.Float64ObservableGauge(name, metric.WithUnit("s"), metric.WithDescription(description))
	if in.err == nil {
		in.err = err
	}
	return g
}

// observe records the current values of all instruments.
func (d *Daemon) observe(o metric.Observer, in *instruments) {
	for status, n := range d.jobHandler.Counts.Snapshot() {
		o.ObserveInt64(in.answers, n, label("status", status))
	}
	o.ObserveInt64(in.connections, int64(d.callers.conns.Len()))
	o.ObserveInt64(in.arriving, d.bodyBudget.Used())
	for reason, n := range d.jobHandler.KeyRefusals.Snapshot() {
		o.ObserveInt64(in.keyRefusals, n, label("why", reason))
	}
	o.ObserveInt64(in.evictions, d.callers.conns.Evicted())
	for reason, n := range d.jobHandler.BodyRefusals.Snapshot() {
		o.ObserveInt64(in.bodyRefusals, n, label("why", reason))
	}
	for c, n := range d.meter.Counts() {
		o.ObserveInt64(in.calls, n, metric.WithAttributes(attribute.String("call", c.Call), attribute.String("answer", c.Result)))
	}
	if config := d.operatorState.Config(); config != nil {
		o.ObserveInt64(in.configVersion, config.Version)
		o.ObserveFloat64(in.configAge, d.operatorState.Age().Seconds())
	}
	sampled, lost := d.droppedLogs()
	o.ObserveInt64(in.sampledLogs, sampled)
	o.ObserveInt64(in.lostLogs, lost)
	o.ObserveInt64(in.leaseChanges, d.leaseChanges.Load())
	relayed := d.storeRelay.Counts()
	o.ObserveInt64(in.relayedCalls, relayed.Relayed)
	o.ObserveFloat64(in.relayedTime, relayed.Time.Seconds())
	o.ObserveInt64(in.carriedCalls, d.carrier.carried.Load())
	o.ObserveInt64(in.refusedCalls, d.carrier.refused.Load())
	if d.coordinator != nil {
		o.ObserveInt64(in.moving, d.coordinator.Moving())
	}
	for _, l := range d.localLeaders() {
		observeService(o, in, l)
	}
}

// observeService records the values of one service led here.
func observeService(o metric.Observer, in *instruments, l *leader.Leader) {
	stats, service := l.Stats(), label("service", l.Service())
	o.ObserveInt64(in.terms, int64(l.Term()), service)
	o.ObserveInt64(in.starts, stats.Starts, service)
	o.ObserveInt64(in.paceChanges, stats.Paces, service)
	o.ObserveInt64(in.approvalRequests, stats.ApprovalRequests, service)
	o.ObserveInt64(in.restarts, stats.Restarts, service)
	o.ObserveInt64(in.waiting, int64(stats.Waiting), service)
	o.ObserveInt64(in.running, int64(stats.Running), service)
	o.ObserveInt64(in.excluded, int64(stats.Out), service)
	o.ObserveInt64(in.silent, int64(stats.Silent), service)
	o.ObserveFloat64(in.oldest, stats.Oldest.Seconds(), service)
	o.ObserveInt64(in.rackWaits, stats.RackWaits.Begun, service, label("state", "begun"))
	o.ObserveInt64(in.rackWaits, stats.RackWaits.InPlace, service, label("state", "place"))
	o.ObserveInt64(in.rackWaits, stats.RackWaits.Elsewhere, service, label("state", "away"))
	o.ObserveFloat64(in.rackWaited, stats.RackWaits.Waited.Seconds(), service)
	o.ObserveInt64(in.copies, stats.Copies.Started, service, label("state", "begun"))
	o.ObserveInt64(in.copies, stats.Copies.Won, service, label("state", "won"))
	o.ObserveInt64(in.copies, stats.Copies.Lost, service, label("state", "lost"))
	for reason, n := range stats.Ends {
		o.ObserveInt64(in.ends, n, service, label("how", string(reason)))
	}
	for reason, n := range stats.Abandoned {
		o.ObserveInt64(in.abandoned, n, service, label("why", reason))
	}
	for reason, n := range stats.Stops {
		o.ObserveInt64(in.stops, n, service, label("why", reason))
	}
	for cause, n := range l.Refusals() {
		o.ObserveInt64(in.refusals, n, service, label("why", cause))
	}
	for class, n := range stats.Classes {
		o.ObserveInt64(in.classes, n, service, label("class", string(class)))
	}
}

// label returns the option that adds one label to a value.
func label(key, value string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(key, value))
}
