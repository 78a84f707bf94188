package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// readiness remembers the last answer to the platform's readiness checks, so that changes are logged.
type readiness struct {
	mu     sync.Mutex
	reason string // why the daemon was not ready; empty if it was
	known  bool
}

// isReady reports whether this daemon accepts callers' connections.
func (d *Daemon) isReady(ctx context.Context) bool {
	reason := d.notReadyReason(ctx)
	d.logReadiness(reason)
	return reason == ""
}

// notReadyReason returns why this daemon should get no callers' connections, or "" if it should.
func (d *Daemon) notReadyReason(ctx context.Context) string {
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	switch {
	case leaving:
		return "shutting down"
	case d.operatorState.Config() == nil:
		return "no configuration"
	case d.storeSilence() >= storeContactTimeout:
		return "the store does not answer"
	case !d.storeLink.Fresh() && !d.leadersAnswer(ctx) && d.storeLink.Check(ctx) != nil:
		return "neither the store nor the leaders answer"
	}
	return ""
}

// leadersAnswer reports whether other daemons lead services and all of them answer. Without the store, only they can
// accept jobs that reach this daemon.
func (d *Daemon) leadersAnswer(ctx context.Context) bool {
	asked := map[string]struct{}{}
	for _, service := range d.services() {
		n, ok := d.members.Leader(service)
		if !ok || n.Boot == d.boot {
			continue
		}
		if _, repeated := asked[n.Name]; repeated {
			continue
		}
		asked[n.Name] = struct{}{}
		if d.mesh.Check(ctx, n.Name) != nil {
			return false
		}
	}
	return len(asked) > 0
}

// storeSilence returns how long ago the store last answered a poll of the daemons' rows.
func (d *Daemon) storeSilence() time.Duration { return d.now().Sub(d.members.LastContact()) }

// logReadiness logs a change of the answer to readiness checks.
func (d *Daemon) logReadiness(reason string) {
	d.readiness.mu.Lock()
	defer d.readiness.mu.Unlock()
	if d.readiness.known && d.readiness.reason == reason {
		return
	}
	d.readiness.known, d.readiness.reason = true, reason
	d.log.Info("readiness changed", zap.Bool("ready", reason == ""), zap.String("why", reason), zap.Duration("silence", d.storeSilence()))
}
