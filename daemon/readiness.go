package daemon

import (
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
	case d.storeSilence() >= storeContactTimeout:
		return "the store does not answer"
	}
	return ""
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
