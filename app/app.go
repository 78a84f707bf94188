package app

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"gypsumlead/api"
	"gypsumlead/audit"
	"gypsumlead/claim"
	"gypsumlead/entry"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/keys"
	"gypsumlead/peer"
	"gypsumlead/roster"
	"gypsumlead/runner"
	"gypsumlead/settings"
	"gypsumlead/share"
	"gypsumlead/spread"
)

// unknownEntries is how many entries share the budget of claims as long as there is no roster.
const unknownEntries = 7

// App is one daemon.
type App struct {
	common
	platform Platform
	metrics  *metrics
	dial     peer.Dial

	state  *journal.State
	writer *journal.Writer
	spread *spread.Spreader
	roster *roster.Roster
	mesh   *peer.Mesh
	peers  *peers
	server *peer.Server
	poller *poller
	router *router
	trail  *audit.Trail
	fleet  *runner.Fleet
	gate   *share.Gate
	claims *claim.Keeper
	entry  *entry.Entry
	teller *teller
	duties *duties

	callers   *http.Server
	operators *http.Server
	listeners listeners
	keys      *keys.Ring // nil where sessions between daemons aren't encrypted
}

// Addrs are the addresses that a daemon listens on.
type Addrs struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
}

// Option changes an App under construction.
type Option func(*App)

// WithPeerDial sets how connections to other daemons are made.
func WithPeerDial(dial peer.Dial) Option {
	return func(a *App) { a.dial = dial }
}

// New assembles a daemon and opens its listeners; Run starts it.
func New(set settings.Settings, p Platform, log *zap.Logger, opts ...Option) (*App, error) {
	a := &App{
		common:   common{set: set, boot: rand.Text(), log: log.With(zap.String("instance", set.Instance))},
		platform: p,
		dial:     peer.DialTCP,
	}
	for _, o := range opts {
		o(a)
	}
	if err := a.loadKeys(); err != nil {
		return nil, err
	}
	a.makeConfiguration()
	a.makeCallerPath()
	a.makePeers()
	a.makeDuties()
	if err := a.open(); err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

// open makes the servers and opens their listeners.
func (a *App) open() error {
	if err := a.makeServers(); err != nil {
		return err
	}
	var err error
	a.listeners, err = listen(a.set.Listen)
	if err == nil && a.keys != nil {
		a.listeners.peers = tls.NewListener(a.listeners.peers, a.keys.Server())
	}
	return err
}

// close ends what the constructors started.
func (a *App) close() {
	a.claims.Close()
	a.fleet.Close()
}

// makeConfiguration builds what holds the configuration and the roster.
func (a *App) makeConfiguration() {
	a.roster = roster.New(roster.WithChanged(a.rosterChanged), roster.WithLearned(a.leavingLearned))
	a.state = journal.NewState(a.applied)
	a.writer = journal.NewWriter(a.platform.Table)
	a.trail = audit.NewTrail(a.platform.Table, a.platform.Objects)
	a.mesh = peer.NewMesh(a.identity(), a.log, peer.WithPing(a.set.Sync.Ping), peer.WithSeq(a.state.Seq, a.ponged), peer.WithDial(a.dialPeer))
	reader := journal.NewReader(a.platform.Table, a.platform.Objects)
	a.spread = spread.New(a.state, reader, a.mesh, a.set.Sync.Poll, a.log)
	a.poller = &poller{common: a.common, source: a.platform.Roster, roster: a.roster, mesh: a.mesh}
}

// makeCallerPath builds what a caller's request goes through.
func (a *App) makeCallerPath() {
	a.fleet = runner.NewFleet(
		runner.WithZone(a.set.Centre, a.set.Region),
		runner.WithConns(a.set.Runners.Slots),
		runner.WithIdle(a.set.Runners.Idle),
		runner.WithDialLimit(a.set.Runners.Connect),
		runner.WithBreach(a.breach),
	)
	a.gate = share.NewGate(share.WithBreach(a.breach))
	a.router = newRouter(a.common, a.state, a.roster, a.fleet, a.gate)
	a.claims = claim.NewKeeper(a.platform.Table,
		claim.WithEntry(a.set.Instance),
		claim.WithWrites(a.set.Calls.Claims/unknownEntries),
		claim.WithBreach(a.breach),
	)
	a.entry = entry.New(a.router, a.fleet,
		entry.WithGate(a.gate),
		entry.WithClaims(a.claims),
		entry.WithTimeout(a.set.Calls.Timeout),
		entry.WithBodyLimit(a.set.Calls.Body),
		entry.WithMemory(a.set.Calls.Memory),
		entry.WithReady(func() bool { return a.router.seq.Load() > 0 }),
		entry.WithBreach(a.breach),
	)
}

func (a *App) makePeers() {
	a.teller = newTeller()
	a.peers = &peers{
		common:  a.common,
		mesh:    a.mesh,
		spread:  a.spread,
		roster:  a.roster,
		fleet:   a.fleet,
		gate:    a.gate,
		router:  a.router,
		leaving: a.entry.Leaving,
	}
	a.server = peer.NewServer(a.identity(), a.peers, a.log)
	a.peers.retarget()
}

// identity is who this daemon is to its peers.
func (a *App) identity() peer.Identity {
	return peer.Identity{Instance: a.set.Instance, Boot: a.boot, Centre: a.set.Centre, Region: a.set.Region}
}

func (a *App) makeServers() error {
	a.callers = entry.NewServer(a.entry)
	a.callers.MaxHeaderBytes = a.set.Calls.Header
	var err error
	if a.metrics, err = newMetrics(a); err != nil {
		return err
	}
	handler := api.NewHandler(api.Parts{
		State:  a.state,
		Writer: a.writer,
		Table:  a.platform.Table,
		Config: a.spread,
		Trail:  a.trail,
		Fleet:  a.roster,
		Move:   a.move,
		Work:   a.workersOf,
		Status: a.status,
	})
	guard := api.NewGuard(a.set.Tokens)
	a.operators, err = newOperators(handler, guard, a.metrics, a.entry)
	return err
}

// Addrs returns the addresses that the daemon listens on.
func (a *App) Addrs() Addrs {
	return a.listeners.addrs()
}

// Run serves until ctx ends, then leaves without cutting a request, and returns when all has stopped.
func (a *App) Run(ctx context.Context) error {
	defer a.close()
	// The parts outlive ctx: they are needed until the last request has been served.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	add := func(f func(context.Context) error) {
		ctx, stop := context.WithCancel(inner)
		g.Add(func() error { return f(ctx) }, func(error) { stop() })
	}
	addServer(&g, a.callers, entry.Limit(a.listeners.callers, a.set.Calls.Conns))
	addServer(&g, a.operators, a.listeners.operators)
	add(func(ctx context.Context) error { return a.server.Serve(ctx, a.listeners.peers) })
	add(a.mesh.Run)
	add(a.spread.Run)
	add(a.poller.run)
	add(a.router.run)
	add(a.runTeller)
	add(a.duties.run)
	add(a.sweepClaims)
	stop, stopNow := context.WithCancel(ctx)
	g.Add(func() error { return a.leave(stop) }, func(error) { stopNow() })
	a.log.Info("daemon starts", zap.Any("listen", a.Addrs()), zap.String("boot", a.boot), zap.String("centre", a.set.Centre))
	err := g.Run()
	a.log.Info("daemon has stopped", zap.Error(err))
	return err
}

// leave waits for ctx to end and then for the last request.
func (a *App) leave(ctx context.Context) error {
	<-ctx.Done()
	a.log.Info("leaving: readiness fails, requests are served until the balancer has moved on")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.set.Stop.Wait+a.set.Stop.Most)
	defer cancel()
	a.duties.release(ctx)
	return a.entry.Stop(ctx, a.callers, a.set.Stop.Wait)
}

// applied is called after each change that is put in force.
func (a *App) applied(c journal.Change) {
	a.spread.Applied(c)
	a.router.wake()
}

// rosterChanged is called after each change of the roster.
func (a *App) rosterChanged() {
	a.router.wake()
	a.peers.retarget()
	a.claims.SetWrites(a.set.Calls.Claims / float64(max(1, len(a.duties.members()))))
}

// leavingLearned is called when a boot of an instance becomes known to be leaving: no new work
// goes there from now on, and the peers are told.
func (a *App) leavingLearned(id, boot string) {
	a.fleet.Leave(id, boot)
	a.teller.tell(id, boot)
}

// ponged is called after each answered ping.
func (a *App) ponged(from peer.Identity, p *peer.Pong) {
	a.spread.Saw(from.Instance, p.GetSeq())
}

// breach reports an invariant that doesn't hold.
func (a *App) breach(err error) {
	a.metrics.breaches.Add(1)
	a.log.Error("invariant broken", zap.Error(err), zap.String("kind", fault.KindOf(err).String()))
}

// addServer adds an HTTP server to the group; closing it is abrupt, for callers have been waited for by then.
func addServer(g *run.Group, s *http.Server, l net.Listener) {
	g.Add(func() error {
		err := s.Serve(l)
		if err == http.ErrServerClosed {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	})
}
