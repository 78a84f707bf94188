package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumlead/backing/wire"
)

// Headers between a caller and a runner.
const (
	HeaderID     = "Request-Id"  // names the request in the account and in the answer
	HeaderRun    = "Run-Time"    // how long the request runs, as time.ParseDuration reads it
	HeaderSize   = "Answer-Size" // bytes of the answer
	HeaderRunner = "Runner"      // in the answer: the instance's ID
	HeaderBoot   = "Boot"        // in the answer: the instance's boot
	HeaderDigest = "Body-Digest" // in the answer: xxhash of the request's body, in hex
)

// Paths of a runner besides the requests'.
const (
	PathLedger  = "/ledger"                // GET, answered by Account
	PathMishaps = "/control/runner/faults" // RunnerFaults
	PathSilence = "/control/runner/silence"
)

const (
	requestLimit = 64 << 20 // bytes of a request's body
	answerLimit  = 64 << 20 // bytes of an answer's body
)

func (r *Runner) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+PathLedger, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The caller may have left; there is nobody else to tell.
		_ = json.NewEncoder(w).Encode(r.Account())
	})
	handle(m, PathMishaps, func(_ context.Context, q RunnerFaults) (wire.None, error) {
		r.SetFaults(q)
		return wire.None{}, nil
	})
	handle(m, PathSilence, func(context.Context, wire.None) (wire.None, error) {
		r.Silence()
		return wire.None{}, nil
	})
	m.HandleFunc("/", r.exchange)
	return m
}

// exchange runs one request and answers it, unless a mishap comes between.
func (r *Runner) exchange(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(HeaderID)
	leave := r.ledger.enter(id)
	defer leave()
	l := r.present()
	m := r.pick(false)
	if m == MishapHead {
		drop(hijack(w, req), true)
		return
	}
	digest := xxhash.New()
	if _, err := io.Copy(digest, http.MaxBytesReader(w, req.Body, requestLimit)); err != nil {
		r.cut(l, id)
		drop(hijack(w, req), true)
		return
	}
	switch m {
	case MishapDrop:
		drop(hijack(w, req), false)
		return
	case MishapRefuse:
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if !r.work(l, id, req) {
		// Returning without an answer would make net/http send an empty one that looks whole.
		drop(hijack(w, req), true)
		return
	}
	w.Header().Set(HeaderDigest, strconv.FormatUint(digest.Sum64(), 16))
	if err := r.answer(w, req, m, id); err != nil {
		r.cut(l, id)
	}
}

// present returns the boot that a request belongs to.
func (r *Runner) present() *life {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

// cut counts a request that the end of its boot cut.
func (r *Runner) cut(l *life, id string) {
	if l.ctx.Err() != nil {
		r.ledger.note(id, func(n *Run) { n.Cut++ })
	}
}

// work runs the request in a slot, whether or not its caller is still there, and tells whether it came to its end.
func (r *Runner) work(l *life, id string, req *http.Request) bool {
	if !r.slot(l) {
		r.cut(l, id)
		return false
	}
	defer func() { <-l.slots }()
	r.ledger.note(id, func(n *Run) { n.Started++ })
	t := time.NewTimer(r.runTime(req))
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.ctx.Done():
		r.cut(l, id)
		return false
	}
	r.ledger.note(id, func(n *Run) { n.Finished++ })
	return true
}

// slot waits for a free slot.
func (r *Runner) slot(l *life) bool {
	if l.ctx.Err() != nil {
		return false
	}
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	r.ledger.wait()
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.ctx.Done():
		return false
	}
}

func (r *Runner) runTime(req *http.Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, err := time.ParseDuration(req.Header.Get(HeaderRun))
	if err != nil || d < 0 {
		d = r.run
	}
	return d + r.faults.Slow
}
