package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/oklog/run"

	"gypsumlead/backing"
)

const (
	defaultSlots = 8
	defaultConns = 64
	defaultRun   = 10 * time.Millisecond
	defaultBeat  = 1 * time.Second
)

// Runner is a stand-in upstream: it runs requests in its slots and keeps account of each Request-Id.
type Runner struct {
	slots  int
	limit  int // connections
	beat   Beat
	every  time.Duration
	ledger *ledger
	done   chan struct{}
	stop   context.CancelFunc

	mu     sync.Mutex
	self   backing.Instance
	life   *life
	run    time.Duration
	faults RunnerFaults
	rnd    *rand.Rand
	conns  map[*runnerConn]struct{}
	shed   int
}

// life is one boot of a runner; what is in progress ends with it.
type life struct {
	ctx   context.Context
	end   context.CancelFunc
	slots chan struct{}
}

// Beat tells the platform that an instance is alive and returns the platform's row of it.
type Beat func(ctx context.Context, i backing.Instance) (backing.Instance, error)

// RunnerOption changes a Runner under construction.
type RunnerOption func(*Runner)

// WithInstance sets what the runner says it is; its address defaults to the listener's.
func WithInstance(i backing.Instance) RunnerOption {
	return func(r *Runner) { r.self = i }
}

// WithRun sets how long a request runs that doesn't say so itself.
func WithRun(d time.Duration) RunnerOption {
	return func(r *Runner) { r.run = d }
}

// WithSlots sets how many requests run at once; others wait.
func WithSlots(n int) RunnerOption {
	return func(r *Runner) { r.slots = n }
}

// WithConns sets how many connections may be open; further ones are reset.
func WithConns(n int) RunnerOption {
	return func(r *Runner) { r.limit = n }
}

// WithBeat sets how the runner tells the platform that it is alive.
func WithBeat(b Beat, every time.Duration) RunnerOption {
	return func(r *Runner) {
		r.beat = b
		r.every = every
	}
}

// WithRunnerSeed sets the seed of the random mishaps.
func WithRunnerSeed(seed uint64) RunnerOption {
	return func(r *Runner) { r.rnd = rand.New(rand.NewPCG(seed, 0)) }
}

// NewRunner starts a runner on l, which it closes in the end.
func NewRunner(l net.Listener, opts ...RunnerOption) *Runner {
	r := &Runner{
		slots:  defaultSlots,
		limit:  defaultConns,
		every:  defaultBeat,
		run:    defaultRun,
		ledger: newLedger(),
		done:   make(chan struct{}),
		rnd:    rand.New(rand.NewPCG(1, 0)),
		conns:  map[*runnerConn]struct{}{},
	}
	for _, o := range opts {
		o(r)
	}
	r.identify(l)
	r.life = newLife(r.slots)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() {
		defer close(r.done)
		r.serve(ctx, l)
	}()
	return r
}

// identify fills in what the options left open.
func (r *Runner) identify(l net.Listener) {
	if r.self.Role == "" {
		r.self.Role = backing.RoleRunner
	}
	if r.self.Boot == "" {
		r.self.Boot = r.self.ID + "-1"
	}
	if a, err := netip.ParseAddrPort(l.Addr().String()); err == nil && !r.self.Addr.IsValid() {
		r.self.Addr = a
	}
}

func newLife(slots int) *life {
	ctx, end := context.WithCancel(context.Background())
	return &life{ctx: ctx, end: end, slots: make(chan struct{}, slots)}
}

// serve runs the HTTP server and the heartbeats until ctx ends.
func (r *Runner) serve(ctx context.Context, l net.Listener) {
	var g run.Group
	srv := &http.Server{Handler: r.handler(), ConnContext: withConn}
	g.Add(func() error { return srv.Serve(&runnerListener{Listener: l, r: r}) }, func(error) {
		r.endLife()
		// Whatever was accepted since is closed too.
		_ = srv.Close()
		r.endLife()
	})
	g.Add(func() error { <-ctx.Done(); return ctx.Err() }, func(error) { r.stop() })
	if r.beat != nil {
		g.Add(func() error { return r.beats(ctx) }, func(error) { r.stop() })
	}
	// The group ends by Close, or by a listener that fails; callers see the latter by themselves.
	_ = g.Run()
}

// Close stops the runner at once, cutting what is in progress, and waits for its goroutines.
func (r *Runner) Close() {
	r.stop()
	<-r.done
}

// Instance returns what the runner says it is.
func (r *Runner) Instance() backing.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Account returns what the runner has done.
func (r *Runner) Account() Account {
	a := r.ledger.account()
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Boot = r.self.Boot
	a.Conns = len(r.conns)
	a.Shed = r.shed
	return a
}

// Reboot cuts all connections and what is in progress, and goes on under the boot given.
func (r *Runner) Reboot(boot string) {
	r.endLife()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life = newLife(r.slots)
	r.self.Boot = boot
}

// endLife cuts all connections and what is in progress.
func (r *Runner) endLife() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life.end()
	for c := range r.conns {
		// The other end sees the reset; there is nobody else to tell.
		_ = c.reset()
	}
}

// beats tells the platform that the runner is alive, and reboots where the platform says so.
func (r *Runner) beats(ctx context.Context) error {
	t := time.NewTicker(r.every)
	defer t.Stop()
	for {
		self := r.Instance()
		// A lost heartbeat is made good by the next one.
		if i, err := r.beat(ctx, self); err == nil && i.Boot != self.Boot {
			r.Reboot(i.Boot)
			continue
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
