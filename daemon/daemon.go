package daemon

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"gypsumlead/cache"
	"gypsumlead/claims"
	"gypsumlead/clock"
	"gypsumlead/jobapi"
	"gypsumlead/leader"
	"gypsumlead/machines"
	"gypsumlead/member"
	"gypsumlead/peer"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/settings"
)

// Times of a daemon.
const (
	storeFresh  = 3 * time.Second         // a daemon that the store hasn't answered for this long is not ready
	leaveLinger = 2500 * time.Millisecond // the balancer asks every second and moves on after two misses
	leaveMost   = 1500 * time.Millisecond // for requests in progress after that
	releaseMost = 2400 * time.Millisecond // for giving up the seats; a slow store takes a second
	headLimit   = 3 * time.Second         // for a request's head
	idleLimit   = 15 * time.Second        // for a caller's next request
	headMost    = 16 << 10                // bytes of a request's head
	pingEvery   = 2 * time.Second         // between two pings to another daemon
)

// Daemon is one daemon.
type Daemon struct {
	set    settings.Settings
	boot   string
	log    *zap.Logger
	began  time.Time
	now    clock.Clock
	dial   platform.DialFunc
	bind   Bind
	report func(error)

	meter    *platform.Meter
	store    *platform.Store
	runners  *platform.RunnerClient
	directs  *leader.Handoff
	machines *platform.MachineClient
	policy   *platform.ApprovalClient

	operator  *cache.OperatorState
	list      *cache.RunnerList
	members   *member.Members
	mesh      *peer.Mesh
	peers     *peer.Server
	front     *jobapi.Handler
	metrics   http.Handler
	operators http.Handler
	dropped   func() (sampled, lost int64)
	trail     func(name string) []string
	seated    atomic.Int64     // seats taken and left
	book      *claims.Registry // nil where the platform has no service for machines, like the next three
	waves     *machines.WaveTracker
	local     *machines.PoolManager
	master    *machines.Coordinator
	bounds    sched.LeaseConfig

	mu      sync.Mutex
	seats   map[string]*leader.Leader
	leaving bool
	vacant  map[string]time.Time // services without a holder, by since when
	needs   needs
	larger  map[string]waiter   // services held here that a larger daemon should have
	taking  map[string]struct{} // services whose seat is being taken
	look    chan struct{}

	callers net.Listener
	ready   net.Listener
	inner   net.Listener
}

// Bind opens a listener.
type Bind func(at netip.AddrPort) (net.Listener, error)

// Option changes a Daemon under construction.
type Option func(*Daemon)

// WithClock sets the clock.
func WithClock(now clock.Clock) Option { return func(d *Daemon) { d.now = now } }

// WithNetwork sets how connections are made and taken.
func WithNetwork(dial platform.DialFunc, bind Bind) Option {
	return func(d *Daemon) { d.dial, d.bind = dial, bind }
}

// WithDroppedLogs sets how many log lines were left out, for the metrics.
func WithDroppedLogs(count func() (sampled, lost int64)) Option {
	return func(d *Daemon) { d.dropped = count }
}

// WithTrail sets who tells the newest log lines about a name, for the operators.
func WithTrail(about func(name string) []string) Option {
	return func(d *Daemon) { d.trail = about }
}

// WithViolationHook sets who is told of a broken invariant, besides the log.
func WithViolationHook(report func(error)) Option { return func(d *Daemon) { d.report = report } }

func bindTCP(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) }

// New assembles a daemon and opens its listeners; Run starts it.
func New(set settings.Settings, log *zap.Logger, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		set:     set,
		boot:    rand.Text(),
		now:     clock.Now,
		dial:    platform.DialTCP,
		bind:    bindTCP,
		report:  func(error) {},
		dropped: func() (int64, int64) { return 0, 0 },
		trail:   func(string) []string { return nil },
		meter:   platform.NewMeter(),
		seats:   map[string]*leader.Leader{},
		vacant:  map[string]time.Time{},
		larger:  map[string]waiter{},
		taking:  map[string]struct{}{},
		look:    make(chan struct{}, 1),
		bounds:  boundsOf(set),
		needs:   newNeeds(),
	}
	for _, o := range opts {
		o(d)
	}
	d.began = d.now()
	d.log = log.With(zap.String("instance", set.Instance))
	d.store = platform.NewStore(set.Store, d.dial, d.meter)
	d.directs = leader.NewHandoff(d.store, d.log, d.now)
	d.runners = platform.NewRunnerClient(d.dial, d.meter)
	if set.Machines.IsValid() {
		d.machines = platform.NewMachineClient(set.Machines, d.dial, d.meter)
	}
	if set.Policy.IsValid() {
		d.policy = platform.NewApprovalClient(set.Policy, d.dial, d.meter)
	}
	d.operator = cache.NewOperatorState(d.store, d.log, d.configured)
	d.list = cache.NewRunnerList(d.store, d.log, d.now, d.needs.list, d.runnerSeen, d.runnerGone)
	d.members = member.New(d.store, d.self(), d.log, d.now, d.membersChanged)
	us := peer.Identity{Instance: set.Instance, Boot: d.boot, Centre: set.Centre, Region: set.Region}
	d.mesh = peer.NewMesh(us, d.log, peer.WithPing(pingEvery), peer.WithDial(d.dialPeer))
	d.peers = peer.NewServer(us, d, d.log)
	d.front = jobapi.New(d.operator.Config, d, d.log)
	d.makeMachines()
	ops, err := d.makeOperators()
	if err != nil {
		return nil, err
	}
	d.operators = ops
	if err := d.makeMetrics(); err != nil {
		return nil, err
	}
	return d, d.open()
}

// boundsOf picks the scheduler's figures from the settings.
func boundsOf(set settings.Settings) sched.LeaseConfig {
	return sched.LeaseConfig{
		TTL:    time.Duration(float64(set.Bounds.MaxRunnerLease) * set.Bounds.LeasePercent / 100),
		MaxTTL: set.Bounds.MaxRunnerLease,
	}
}

// self is what this daemon says of itself to the others.
func (d *Daemon) self() member.Node {
	return member.Node{
		Name:   d.set.Instance,
		Boot:   d.boot,
		Peer:   d.set.Listen.Peers,
		Centre: d.set.Centre,
		Region: d.set.Region,
		Weight: d.set.Weight,
	}
}

func (d *Daemon) open() error {
	for _, l := range []struct {
		at   netip.AddrPort
		into *net.Listener
	}{{d.set.Listen.Callers, &d.callers}, {d.set.Listen.Ready, &d.ready}, {d.set.Listen.Peers, &d.inner}} {
		ln, err := d.bind(l.at)
		if err != nil {
			return err
		}
		*l.into = ln
	}
	return nil
}

// Run serves until ctx ends, then leaves without cutting a request off.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info("daemon starts", zap.String("boot", d.boot), zap.Stringer("callers", d.set.Listen.Callers))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	callers := &http.Server{Handler: d.front, ReadHeaderTimeout: headLimit, IdleTimeout: idleLimit, MaxHeaderBytes: headMost, ErrorLog: zap.NewStdLog(d.log)}
	ready := &http.Server{Handler: d.readiness(), ReadHeaderTimeout: headLimit, IdleTimeout: idleLimit}
	d.serve(g, callers, d.callers)
	d.serve(g, ready, d.ready)
	g.Go(func() error { return d.peers.Serve(work, d.inner) })
	g.Go(func() error { return d.mesh.Run(work) })
	g.Go(func() error { return d.members.RunHeartbeat(work) })
	g.Go(func() error { return d.members.Watch(work) })
	g.Go(func() error { return d.operator.Run(work) })
	g.Go(func() error { return d.list.Run(work) })
	g.Go(func() error { return d.list.ExpireMissing(work) })
	g.Go(func() error { return d.keepSeats(work, g) })
	if d.book != nil {
		g.Go(func() error { return d.book.Watch(work) })
		g.Go(func() error { return d.waves.Watch(work) })
		g.Go(func() error { return d.local.Run(work) })
		g.Go(func() error { return d.master.Run(work) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		d.leave(callers)
		_ = ready.Close() // nobody is to be told anything more
		stop()
		return nil
	})
	err := g.Wait()
	d.log.Info("daemon ends", zap.Error(err))
	return err
}

func (d *Daemon) serve(g *errgroup.Group, s *http.Server, l net.Listener) {
	g.Go(func() error {
		if err := s.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
}

// leave stops taking callers and gives the seats up.
func (d *Daemon) leave(callers *http.Server) {
	d.log.Info("daemon leaves")
	d.mu.Lock()
	d.leaving = true // from now on no seat is added
	d.mu.Unlock()
	d.members.Leave()
	linger := time.NewTimer(leaveLinger)
	d.release(d.held())
	d.members.SetHolds(nil)
	<-linger.C
	ctx, cancel := context.WithTimeout(context.Background(), leaveMost)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Warn("requests are cut off", zap.Error(err))
		_ = callers.Close() // the platform ends the process next
	}
}

// release gives seats up, all at the same time.
func (d *Daemon) release(seats []*leader.Leader) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseMost)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range seats {
		wg.Go(func() { h.Release(ctx) })
	}
	wg.Wait()
}

// Paths beside the readiness.
const (
	pathMetrics   = "/metrics"
	pathOperators = "/v1/"
)

// readiness tells the platform whether this daemon takes new connections, and gives the metrics and what
// operators ask for.
func (d *Daemon) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathMetrics {
			d.metrics.ServeHTTP(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, pathOperators) {
			d.operators.ServeHTTP(w, r)
			return
		}
		if r.URL.Path != platform.ReadyPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (d *Daemon) isReady() bool {
	d.mu.Lock()
	leaving := d.leaving
	d.mu.Unlock()
	return !leaving && d.operator.Config() != nil && d.now().Sub(d.members.LastContact()) < storeFresh
}

// dialPeer connects to another daemon.
func (d *Daemon) dialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return d.dial(ctx, "tcp", addr.String())
}

// breach tells of a broken invariant.
func (d *Daemon) breach(err error) {
	d.log.Error("an invariant is broken", zap.Error(err))
	d.report(err)
}

// Reload takes in changed settings as far as they can change while the daemon runs: the platform's addresses.
func (d *Daemon) Reload(set settings.Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if set == d.set {
		return
	}
	if set.Store != d.set.Store {
		d.store.MoveTo(set.Store)
	}
	if d.machines != nil && set.Machines.IsValid() && set.Machines != d.set.Machines {
		d.machines.MoveTo(set.Machines)
	}
	d.log.Info("settings changed", zap.Stringer("store", set.Store), zap.Stringer("machines", set.Machines))
	d.set.Store, d.set.Machines = set.Store, set.Machines
}
