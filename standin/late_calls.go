package standin

import (
	"net/http"
	"time"
)

// Durations and shares of calls that a runner carries out late, from the platform's documentation where it states them.
const (
	minOrderDelay    = 2 * time.Second // bounds of a call's delay under DelayedOrderRate and DelayedPollRate
	maxOrderDelay    = 12 * time.Second
	maxReconnectTime = time.Second // from a restart until a call that was sent before it arrives
	abandonedShare   = 0.5         // of the calls that are carried out though their caller has given up meanwhile
)

const pollPath = "/gypsumlead/hold"

// drawDelay returns by how much a call is delayed, or false if it is applied at once; the caller holds r.mu.
func (r *Runner) drawDelay(path string) (time.Duration, bool) {
	rate := r.faults.DelayedOrderRate
	if path == pollPath {
		rate = r.faults.DelayedPollRate
	}
	if r.rand.Float64() >= rate {
		return 0, false
	}
	if !r.faults.DelayUntil.IsZero() {
		return time.Until(r.faults.DelayUntil), true
	}
	return minOrderDelay + time.Duration(r.rand.Int64N(int64(maxOrderDelay-minOrderDelay))), true
}

// applyLate applies a call after a delay, by the incarnation that runs then. A runner that is down then drops it.
func (r *Runner) applyLate(path string, o wireOrder, delay time.Duration) {
	time.Sleep(delay)
	if path != pollPath {
		r.applyOrder(path, o, true)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.crashed {
		r.applyPoll(o)
	}
}

// serveAfterRestart serves a call that was sent while the runner was down, as the next incarnation does: the sender's
// machine repeats it until the runner's answers. abandonedShare of the calls arrive though their callers have given up.
func (r *Runner) serveAfterRestart(w http.ResponseWriter, req *http.Request, o wireOrder) {
	r.mu.Lock()
	delay := time.Duration(r.rand.Int64N(int64(maxReconnectTime)))
	arrivesAbandoned := r.rand.Float64() < abandonedShare
	r.mu.Unlock()
	if !r.awaitRestart(maxOrderDelay) {
		withholdReply(req)
		return
	}
	time.Sleep(delay)
	if req.Context().Err() != nil && !arrivesAbandoned {
		return
	}
	r.serveCall(w, req, o, true)
}

// down reports whether the runner has crashed and has not restarted.
func (r *Runner) down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// awaitRestart waits until the runner is up, at most for limit, and reports whether it is.
func (r *Runner) awaitRestart(limit time.Duration) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		r.mu.Lock()
		crashed, wake := r.crashed, r.wake
		r.mu.Unlock()
		if !crashed {
			return true
		}
		select {
		case <-wake:
		case <-timeout.C:
			return false
		}
	}
}
