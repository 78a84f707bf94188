package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/sleep"
)

// Timing of the readiness.
const (
	readinessInterval = 250 * time.Millisecond // between checks of the store and the leaders
	suspectSilence    = 400 * time.Millisecond // of the store, after which the leaders are asked
)

// errIsolated is why a daemon that can get no job stored refuses jobs.
var errIsolated = fault.New(fault.Overload, "neither the store nor the leaders answer")

// readiness is what this daemon last found out about its readiness, and what it last told the platform.
type readiness struct {
	mu       sync.Mutex
	isolated bool   // neither the store nor the leaders answer
	reason   string // why the last check was answered with not ready; empty if it was ready
	answered bool   // a check has been answered
}

// isReady reports whether this daemon accepts callers' connections, and logs changes.
func (d *Daemon) isReady() bool {
	reason := d.notReadyReason()
	d.logReadiness(reason)
	return reason == ""
}

// notReadyReason returns why this daemon should get no callers' connections, or "" if it should.
func (d *Daemon) notReadyReason() string {
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	switch {
	case leaving:
		return "shutting down"
	case d.operatorState.Config() == nil:
		return "no configuration"
	case d.now().Sub(d.members.LastContact()) >= d.settings.Bounds.ContactTime:
		return "the store does not answer"
	case d.isIsolated():
		return errIsolated.Error()
	}
	return ""
}

// logReadiness logs a change of the answer to readiness checks.
func (d *Daemon) logReadiness(reason string) {
	d.readiness.mu.Lock()
	defer d.readiness.mu.Unlock()
	if d.readiness.answered && d.readiness.reason == reason {
		return
	}
	d.readiness.answered, d.readiness.reason = true, reason
	d.log.Info("readiness changed", zap.Bool("ready", reason == ""), zap.String("why", reason), zap.Duration("silence", d.storeLink.Silence()))
}

// watchReadiness keeps track of whether this daemon is isolated, so that readiness checks are answered at once.
func (d *Daemon) watchReadiness(ctx context.Context) error {
	sleep.Every(ctx, readinessInterval, func() {
		isolated := d.checkIsolated(ctx)
		d.readiness.mu.Lock()
		defer d.readiness.mu.Unlock()
		d.readiness.isolated = isolated
	})
	return nil
}

// isIsolated returns the last result of checkIsolated.
func (d *Daemon) isIsolated() bool {
	d.readiness.mu.Lock()
	defer d.readiness.mu.Unlock()
	return d.readiness.isolated
}

// checkIsolated reports whether this daemon can get no job stored: neither by itself nor through the leaders.
func (d *Daemon) checkIsolated(ctx context.Context) bool {
	if d.storeLink.Silence() < suspectSilence {
		return false
	}
	asked, answer := d.askLeaders(ctx)
	switch {
	case d.storeLink.Fresh() || (asked && answer):
		return false
	case asked && !d.isIsolated():
		return true // both are silent; whether the store answers on a new connection is found out next time
	}
	return d.storeLink.Check(ctx) != nil
}

// askLeaders reports whether other daemons lead services, and whether all of these answer.
func (d *Daemon) askLeaders(ctx context.Context) (asked, answer bool) {
	leaders := map[string]struct{}{}
	for _, service := range d.services() {
		if n, ok := d.members.Leader(service); ok && n.Boot != d.boot {
			leaders[n.Name] = struct{}{}
		}
	}
	for name := range leaders {
		if d.mesh.Check(ctx, name) != nil {
			return true, false
		}
	}
	return len(leaders) > 0, true
}
