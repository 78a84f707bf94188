package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"gypsumlead/claim"
	"gypsumlead/fault"
	"gypsumlead/record"
	"gypsumlead/runner"
)

// Gate admits requests to the slots; the error is a fault, given at once when the deadline can't be met.
type Gate interface {
	Acquire(ctx context.Context, service, work string, deadline time.Time) (release func(), err error)
}

// Router finds the service that a request asks for, and the pool whose runners serve it.
type Router interface {
	Route(service string) (svc record.Service, pool string, ok bool)
}

// Upstreams sends requests to the runners of a pool.
type Upstreams interface {
	Do(ctx context.Context, pool string, req *runner.Request) (*runner.Response, error)
}

// Claims makes sure that a keyed request runs at most once over all entries.
type Claims interface {
	Claim(ctx context.Context, a claim.Ask) (claim.Result, error)
}

// Entry handles callers' requests. Each request gets exactly one of an upstream's answer, not
// run and unknown, and not run only if nothing of it was handed to an upstream.
type Entry struct {
	cfg    config
	routes Router
	runs   Upstreams
	memory *memory
	count  counters

	leaving atomic.Bool
	active  atomic.Int64
	last    atomic.Int64 // when the newest request came, in nanoseconds since the start
	start   time.Time
}

// New returns a handler for the services that routes knows.
func New(routes Router, runs Upstreams, opts ...Option) *Entry {
	cfg := defaults()
	for _, o := range opts {
		o(&cfg)
	}
	return &Entry{
		cfg:    cfg,
		routes: routes,
		runs:   runs,
		memory: newMemory(cfg.memory),
		start:  time.Now(),
	}
}

// ReadyPath is where the balancer asks whether this entry takes requests.
const ReadyPath = "/ready"

// ServeHTTP serves one request of a caller, or the balancer's question.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ReadyPath {
		e.ready(w)
		return
	}
	e.active.Add(1)
	defer e.active.Add(-1)
	e.last.Store(int64(time.Since(e.start)))
	if e.leaving.Load() {
		// The balancer opens its next connection to another entry.
		w.Header().Set("Connection", "close")
	}
	c := &call{entry: e, w: w, r: r}
	c.serve()
}

// breach reports an invariant that does not hold.
func (e *Entry) breach(err error) {
	e.count.breaches.Add(1)
	e.cfg.breach(err)
}

// counted counts one answer of the daemon itself by its kind.
func (e *Entry) counted(err error) {
	e.count.faults[fault.KindOf(err)].Add(1)
}
