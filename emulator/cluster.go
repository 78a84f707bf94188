package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gypsumlead/daemon"
	"gypsumlead/logs"
	"gypsumlead/settings"
	"gypsumlead/standin"
	"gypsumlead/work"
)

// Addresses of the emulated platform.
var (
	storeAt    = netip.MustParseAddrPort("10.200.1.7:8621")
	machinesAt = netip.MustParseAddrPort("10.200.0.107:8621")
	clientAt   = netip.MustParseAddr("10.100.0.1")
)

// Figures of the emulated platform.
const (
	longestHold = 6 * time.Second
	moveTime    = 1500 * time.Millisecond
	upkeepTime  = 2 * time.Second
	leaseTime   = 3 * time.Second
	entryLife   = 4500 * time.Millisecond // an entry goes after three heartbeats of silence
	portCallers = 8624
	portReady   = 8622
	portPeers   = 7060
)

// Size says how large the emulated site is.
type Size struct {
	Centres           []string
	Daemons           int
	Services          int // besides the spare one
	RunnersPerService int // of each service
	SpareMachines     int // machines of the spare service
	CoresPerMachine   int64
}

// Small is enough for every decision and quick to run.
var Small = Size{Centres: []string{"c1", "c2"}, Daemons: 3, Services: 2, RunnersPerService: 4, SpareMachines: 3, CoresPerMachine: 16}

// Typical is about the size of each user's site.
var Typical = Size{Centres: []string{"c1", "c2", "c3", "c4"}, Daemons: 7, Services: 4, RunnersPerService: 9, SpareMachines: 8, CoresPerMachine: 64}

// Cluster is one emulated site.
type Cluster struct {
	Net      *standin.Network
	Store    *standin.Store
	Machines *standin.MachineService
	Checker  *standin.Checker
	size     Size
	log      *zap.Logger
	rand     *rand.Rand
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu      sync.Mutex
	daemons map[string]*node
	runners map[string]*host
	config  config
	jobs    map[work.ID]*handed
	nextID  uint64
	http    *http.Client
	breaks  []string // broken invariants that daemons report
	recall  bool     // daemons keep their newest log lines, as they do outside the emulator
}

// node is one daemon's place.
type node struct {
	name   string
	centre string
	at     netip.Addr
	life   *life // nil while it is down
}

// life is one start of a daemon.
type life struct {
	gate *gate
	stop context.CancelFunc
	done chan struct{}
}

// host is a runner with its server.
type host struct {
	r    *standin.Runner
	srv  *http.Server
	seq  int64
	gone bool
}

// New returns a world whose runners, store and services are up; daemons are started one by one.
func New(ctx context.Context, size Size, seed uint64, log *zap.Logger) *Cluster {
	r := rand.New(&shared{src: rand.NewPCG(seed, seed)})
	w := &Cluster{
		Net:     standin.NewNetwork(),
		Store:   standin.NewStore(rand.New(rand.NewPCG(seed, 1))),
		Checker: standin.NewChecker(),
		size:    size,
		log:     log,
		rand:    r,
		daemons: map[string]*node{},
		runners: map[string]*host{},
		jobs:    map[work.ID]*handed{},
	}
	w.ctx, w.stop = context.WithCancel(ctx)
	w.http = &http.Client{Transport: &http.Transport{DialContext: w.Net.Dialer(clientAt), MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second}}
	w.serve(storeAt, w.Store)
	w.makeConfig()
	w.makeMachines()
	w.serve(machinesAt, w.Machines)
	for i := range size.Daemons {
		name := fmt.Sprintf("e%d", i+1)
		centre := size.Centres[i%len(size.Centres)]
		w.daemons[name] = &node{name: name, centre: centre, at: netip.AddrFrom4([4]byte{10, 1, byte(i % len(size.Centres)), byte(10 + i)})}
	}
	return w
}

// shared is a source of random numbers that several goroutines draw from.
type shared struct {
	mu  sync.Mutex
	src rand.Source
}

// Uint64 returns the next number.
func (s *shared) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.src.Uint64()
}

// Close ends the world and waits for all of it.
func (w *Cluster) Close() {
	w.stop()
	for _, n := range w.daemons {
		w.Kill(n.name)
	}
	w.mu.Lock()
	hosts := w.runners
	w.mu.Unlock()
	for _, h := range hosts {
		_ = h.srv.Close() // nobody is served any more
	}
	w.http.CloseIdleConnections()
	w.wg.Wait()
}

// serve runs an HTTP server on the network until the world ends.
func (w *Cluster) serve(at netip.AddrPort, h http.Handler) *http.Server {
	l, err := w.Net.Listen(at)
	if err != nil {
		panic(err) // addresses of the emulator are its own
	}
	srv := &http.Server{Handler: h}
	w.wg.Go(func() {
		stop := context.AfterFunc(w.ctx, func() { _ = srv.Close() })
		defer stop()
		_ = srv.Serve(l) // it ends with the world
	})
	return srv
}

// Start starts a daemon.
func (w *Cluster) Start(name string) {
	n := w.daemons[name]
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.life != nil {
		return
	}
	g := newGate(w.Net, n.at)
	trail := &logs.Trail{}
	log := w.log.With(zap.String("at", name))
	if w.recall {
		log = zap.New(zapcore.NewTee(log.Core(), zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), trail, zapcore.InfoLevel)))
	}
	d, err := daemon.New(w.settings(n), log,
		daemon.WithTrail(trail.Find),
		daemon.WithClock(time.Now),
		daemon.WithNetwork(g.dial, g.listen),
		daemon.WithViolationHook(func(err error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.breaks = append(w.breaks, err.Error())
		}))
	if err != nil {
		panic(err) // the settings and addresses of the emulator are its own
	}
	ctx, cancel := context.WithCancel(w.ctx)
	l := &life{gate: g, stop: cancel, done: make(chan struct{})}
	n.life = l
	w.wg.Go(func() {
		defer close(l.done)
		if err := d.Run(ctx); err != nil {
			w.log.Error("daemon ended", zap.String("at", name), zap.Error(err))
		}
		g.shut()
	})
}

// Kill ends a daemon at once: nothing that it still does reaches anybody.
func (w *Cluster) Kill(name string) {
	w.mu.Lock()
	n := w.daemons[name]
	l := n.life
	n.life = nil
	w.mu.Unlock()
	if l == nil {
		return
	}
	l.gate.shut()
	l.stop()
}

// Stop asks a daemon to stop and waits until it has.
func (w *Cluster) Stop(name string) {
	w.mu.Lock()
	n := w.daemons[name]
	l := n.life
	w.mu.Unlock()
	if l == nil {
		return
	}
	l.stop()
	<-l.done
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.life == l {
		n.life = nil
	}
}

// Violations returns the broken invariants that daemons have reported.
func (w *Cluster) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.breaks)
}

// Daemons returns the names of all daemons.
func (w *Cluster) Daemons() []string {
	var list []string
	for i := range w.size.Daemons {
		list = append(list, fmt.Sprintf("e%d", i+1))
	}
	return list
}

// DaemonAddr returns a daemon's place.
func (w *Cluster) DaemonAddr(name string) netip.Addr { return w.daemons[name].at }

// Leader returns the daemon whose seat row says that it schedules a service, or "".
func (w *Cluster) Leader(service string) string {
	return seatOf(w.Store.Get("hold", service, "seat"))
}

// StoreAddr is the store's place.
func (w *Cluster) StoreAddr() netip.Addr { return storeAt.Addr() }

func (w *Cluster) settings(n *node) settings.Settings {
	s := settings.Defaults()
	s.Instance, s.Region, s.Centre = n.name, "r1", n.centre
	s.Store, s.Machines = storeAt, machinesAt
	s.Listen.Callers = netip.AddrPortFrom(n.at, portCallers)
	s.Listen.Ready = netip.AddrPortFrom(n.at, portReady)
	s.Listen.Peers = netip.AddrPortFrom(n.at, portPeers)
	s.Bounds.MaxRunnerLease, s.Bounds.MoveTime, s.Bounds.MaintenanceTime, s.Bounds.MachineLease = longestHold, moveTime, upkeepTime, leaseTime
	return s
}

// gate is a daemon's way to the network; once shut nothing passes.
type gate struct {
	net  *standin.Network
	from netip.Addr
	mu   sync.Mutex
	open bool
	all  map[interface{ Close() error }]struct{}
}

func newGate(n *standin.Network, from netip.Addr) *gate {
	return &gate{net: n, from: from, open: true, all: map[interface{ Close() error }]struct{}{}}
}

func (g *gate) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := g.net.Dialer(g.from)(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return c, g.keep(c)
}

func (g *gate) listen(at netip.AddrPort) (net.Listener, error) {
	l, err := g.net.Listen(at)
	if err != nil {
		return nil, err
	}
	return &gated{Listener: l, gate: g}, g.keep(l)
}

// gated keeps the connections that it accepts, so that they end with the gate.
type gated struct {
	net.Listener
	gate *gate
}

// Accept returns the next connection.
func (l *gated) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, l.gate.keep(c)
}

// keep notes what is to be closed; behind a shut gate it is closed at once.
func (g *gate) keep(c interface{ Close() error }) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		_ = c.Close() // it was never used
		return net.ErrClosed
	}
	g.all[c] = struct{}{}
	return nil
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	for c := range g.all {
		_ = c.Close() // that is all there is to do
	}
	clear(g.all)
}
