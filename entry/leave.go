package entry

import (
	"context"
	"net/http"
	"time"
)

const quietStep = 50 * time.Millisecond // between two looks at whether requests still come

// ready answers the balancer.
func (e *Entry) ready(w http.ResponseWriter) {
	if e.leaving.Load() || !e.cfg.ready() {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Leave fails readiness from now on; requests are served as before.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// Leaving tells whether Leave was called.
func (e *Entry) Leaving() bool {
	return e.leaving.Load()
}

// Quiet waits until no request has come for the given time and none is in progress, or ctx ends.
func (e *Entry) Quiet(ctx context.Context, quiet time.Duration) error {
	t := time.NewTicker(quietStep)
	defer t.Stop()
	left := time.Since(e.start)
	for {
		last := max(time.Duration(e.last.Load()), left)
		if e.active.Load() == 0 && time.Since(e.start)-last >= quiet {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Stop leaves, serves for as long as the balancer sends, and shuts the server down when no
// request has come for the given time; it cuts none that is in progress unless ctx ends first.
func (e *Entry) Stop(ctx context.Context, srv *http.Server, quiet time.Duration) error {
	e.Leave()
	if err := e.Quiet(ctx, quiet); err != nil {
		return err
	}
	return srv.Shutdown(ctx)
}
