package daemon

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"gypsumlead/admission"
	"gypsumlead/approvals"
	"gypsumlead/cache"
	"gypsumlead/claims"
	"gypsumlead/clock"
	"gypsumlead/contact"
	"gypsumlead/home"
	"gypsumlead/jobapi"
	"gypsumlead/leader"
	"gypsumlead/machines"
	"gypsumlead/member"
	"gypsumlead/peer"
	"gypsumlead/platform"
	"gypsumlead/relay"
	"gypsumlead/sched"
	"gypsumlead/settings"
)

// Timeouts, intervals and limits of a daemon.
const (
	drainDelay        = 2500 * time.Millisecond // the balancer polls every second and drops a daemon after two failures
	exitTime          = 1250 * time.Millisecond // left of the time for shutting down, for the process to end
	answerTime        = 750 * time.Millisecond  // before that, for the answers to the requests that are ended; a small instance has hundreds
	releaseTimeout    = 2400 * time.Millisecond // for releasing all leases of leadership; a slow store takes a second
	readHeaderTimeout = 3 * time.Second         // for reading a request's header
	idleTimeout       = 15 * time.Second        // until a connection's next request
	maxHeaderBytes    = 16 << 10                // of a caller's request
	pingInterval      = 2 * time.Second         // between pings to another daemon
)

// Daemon is one daemon of the fleet.
type Daemon struct {
	settings    settings.Settings
	boot        string
	log         *zap.Logger
	startedAt   time.Time
	now         clock.Clock
	dial        platform.DialFunc
	bind        Bind
	onViolation func(error)

	meter         *platform.Meter
	store         *platform.Store
	storeRelay    *relay.Relay
	carrier       carrier
	storeLink     *contact.Link
	runnerClient  *platform.RunnerClient
	homes         *home.Directory
	handoff       *leader.Handoff
	machineClient *platform.MachineClient
	approvals     *approvals.Sender

	operatorState   *cache.OperatorState
	runnerList      *cache.RunnerList
	members         *member.Members
	mesh            *peer.Mesh
	peerServer      *peer.Server
	bodyBudget      *admission.Budget
	jobHandler      *jobapi.Handler
	metricsHandler  http.Handler
	operatorHandler http.Handler
	droppedLogs     func() (sampled, lost int64)
	trail           func(name string) []string
	leaseChanges    atomic.Int64     // leases of leadership acquired and lost
	claims          *claims.Registry // nil if the platform has no machine service, like the next three fields
	waveTracker     *machines.WaveTracker
	poolManager     *machines.PoolManager
	coordinator     *machines.Coordinator
	leaseConfig     sched.LeaseConfig
	granter         granter

	mu         sync.Mutex
	lastRead   settings.Settings // the settings file as last read; only some of its changes are in settings
	leaders    map[string]*leader.Leader
	leaving    bool
	leaderless map[string]time.Time // since when services have had no leader
	interests  interests
	transfers  map[string]transferTarget // services led here that a larger daemon should lead
	acquiring  map[string]struct{}       // services whose lease is being acquired
	unfitUntil map[string]time.Time      // until when services whose state couldn't be loaded are left to other daemons
	recheck    chan struct{}             // wakes runElections
	configured []string                  // services of the configuration last seen
	stranded   []string                  // services that are not configured and have jobs
	readiness  readiness

	serviceLeft chan struct{} // wakes runStranded

	callers        *callerServer
	callerListener net.Listener
	readyListener  net.Listener
	peerListener   net.Listener
}

// Bind opens a listener at an address.
type Bind func(at netip.AddrPort) (net.Listener, error)

// Option changes a Daemon under construction.
type Option func(*Daemon)

// WithClock sets the clock; the default is clock.Now.
func WithClock(now clock.Clock) Option { return func(d *Daemon) { d.now = now } }

// WithNetwork sets how connections are opened and listened for; the default is TCP.
func WithNetwork(dial platform.DialFunc, bind Bind) Option {
	return func(d *Daemon) { d.dial, d.bind = dial, bind }
}

// WithDroppedLogs sets the source of the counts of dropped log lines, for the metrics.
func WithDroppedLogs(dropped func() (sampled, lost int64)) Option {
	return func(d *Daemon) { d.droppedLogs = dropped }
}

// WithTrail sets the source of the newest log lines about a name, for the operators' API.
func WithTrail(trail func(name string) []string) Option {
	return func(d *Daemon) { d.trail = trail }
}

// WithViolationHook sets a function that is called for each violation of an invariant, in addition to the log.
func WithViolationHook(hook func(error)) Option { return func(d *Daemon) { d.onViolation = hook } }

func bindTCP(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) }

// New assembles a daemon and opens its listeners. Run starts it.
func New(conf settings.Settings, log *zap.Logger, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:    conf,
		lastRead:    conf,
		boot:        rand.Text(),
		now:         clock.Now,
		dial:        platform.DialTCP,
		bind:        bindTCP,
		onViolation: func(error) {},
		droppedLogs: func() (int64, int64) { return 0, 0 },
		trail:       func(string) []string { return nil },
		meter:       platform.NewMeter(),
		leaders:     map[string]*leader.Leader{},
		leaderless:  map[string]time.Time{},
		transfers:   map[string]transferTarget{},
		acquiring:   map[string]struct{}{},
		unfitUntil:  map[string]time.Time{},
		recheck:     make(chan struct{}, 1),
		serviceLeft: make(chan struct{}, 1),
		leaseConfig: leaseConfigOf(conf),
		interests:   newInterests(),
	}
	for _, o := range opts {
		o(d)
	}
	d.startedAt = d.now()
	d.log = log.With(zap.String("instance", conf.Instance))
	d.store = platform.NewStore(conf.Store, d.dial, d.meter)
	d.storeRelay = relay.New(d.store, carriers{d}, member.RowKey(conf.Instance), d.log, d.now)
	d.store.Use(d.storeRelay)
	d.storeLink = contact.New(d.probeStore, storeFreshness, d.now)
	d.store.SetAnswerHook(d.storeLink.Heard)
	d.homes = home.NewDirectory(d.store, d.log)
	d.handoff = leader.NewHandoff(d.store, d.homes, d.log, d.now)
	d.runnerClient = platform.NewRunnerClient(d.dial, d.meter)
	if conf.Machines.IsValid() {
		d.machineClient = platform.NewMachineClient(conf.Machines, d.dial, d.meter)
	}
	if conf.Policy.IsValid() {
		d.approvals = approvals.New(platform.NewApprovalClient(conf.Policy, d.dial, d.meter).Approve, d.log, d.now)
	}
	d.operatorState = cache.NewOperatorState(d.store, d.log, d.now, conf.Bounds.ApplyWithin, d.configChanged)
	d.runnerList = cache.NewRunnerList(d.store, d.log, d.now, conf.Bounds.DrainWithin, conf.Bounds.RunnerHeartbeat, d.interests.runners, d.runnerListed, d.runnerUnlisted)
	d.members = member.New(d.store, d.self(), d.log, d.now, d.candidateCount, d.membersChanged)
	identity := peer.Identity{Instance: conf.Instance, Boot: d.boot, Centre: conf.Centre, Region: conf.Region}
	d.mesh = peer.NewMesh(identity, d.log, peer.WithPing(pingInterval), peer.WithDial(d.dialPeer), peer.WithClock(d.now))
	d.peerServer = peer.NewServer(identity, d, d.log, peer.WithMaxSessions(limitsOf(conf).peers))
	d.bodyBudget = admission.NewBudget(limitsOf(conf).bodies)
	d.jobHandler = jobapi.New(d.operatorState, d, d.log, jobapi.WithRevocation(conf.Bounds.RevokeStrict, conf.Bounds.RevokedWithin), jobapi.WithBodyTime(conf.Bounds.BodyTime))
	d.setUpMachines()
	operatorHandler, err := d.newOperatorHandler()
	if err != nil {
		return nil, err
	}
	d.operatorHandler = operatorHandler
	if err := d.setUpMetrics(); err != nil {
		return nil, err
	}
	if err := d.openListeners(); err != nil {
		return nil, err
	}
	d.callers = newCallerServer(d.bodyBudget.Guard(d.jobHandler, guardTimes()), d.callerListener, admission.NewConnections(limitsOf(conf).callers, d.bodyBudget), d.log)
	return d, nil
}

// leaseConfigOf returns the configuration of runners' leases from the settings.
func leaseConfigOf(conf settings.Settings) sched.LeaseConfig {
	return sched.LeaseConfig{
		TTL:    time.Duration(float64(conf.Bounds.MaxRunnerLease) * conf.Bounds.LeasePercent / 100),
		MaxTTL: conf.Bounds.MaxRunnerLease,
	}
}

// self describes this daemon to the others.
func (d *Daemon) self() member.Node {
	return member.Node{
		Name:   d.settings.Instance,
		Boot:   d.boot,
		Peer:   d.settings.Listen.Peers,
		Centre: d.settings.Centre,
		Region: d.settings.Region,
		Weight: d.settings.Weight,
	}
}

// openListeners opens the listeners for callers, the platform and other daemons.
func (d *Daemon) openListeners() error {
	for _, binding := range []struct {
		at  netip.AddrPort
		dst *net.Listener
	}{{d.settings.Listen.Callers, &d.callerListener}, {d.settings.Listen.Ready, &d.readyListener}, {d.settings.Listen.Peers, &d.peerListener}} {
		listener, err := d.bind(binding.at)
		if err != nil {
			return err
		}
		*binding.dst = listener
	}
	return nil
}

// Run serves until ctx ends and then shuts down gracefully, so that requests in progress can finish.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info("daemon starting", zap.String("boot", d.boot), zap.Stringer("callers", d.settings.Listen.Callers))
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serveCtx := errgroup.WithContext(serveCtx)
	ready := d.newPlatformServer()
	g.Go(d.callers.serve)
	g.Go(ready.serve)
	g.Go(func() error { return d.peerServer.Serve(serveCtx, d.peerListener) })
	g.Go(func() error { return d.mesh.Run(serveCtx) })
	g.Go(func() error { return d.storeRelay.Run(serveCtx) })
	g.Go(func() error { return d.members.RunHeartbeat(serveCtx) })
	g.Go(func() error { return d.members.Watch(serveCtx) })
	g.Go(func() error { return d.operatorState.Run(serveCtx) })
	g.Go(func() error { return d.runnerList.Run(serveCtx) })
	g.Go(func() error { return d.runnerList.ExpireMissing(serveCtx) })
	g.Go(func() error { return d.runElections(serveCtx, g) })
	g.Go(func() error { return d.runStranded(serveCtx) })
	g.Go(func() error { return d.watchReadiness(serveCtx) })
	if d.claims != nil {
		g.Go(func() error { return d.claims.Watch(serveCtx) })
		g.Go(func() error { return d.waveTracker.Watch(serveCtx) })
		g.Go(func() error { return d.poolManager.Run(serveCtx) })
		g.Go(func() error { return d.coordinator.Run(serveCtx) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serveCtx.Done():
		}
		d.shutDown()
		_ = ready.server.Close() // readiness is no longer needed
		stop()
		return nil
	})
	err := g.Wait()
	d.log.Info("daemon stopped", zap.Error(err))
	return err
}

// shutDown releases the leases of leadership, lets the load balancer notice that the daemon is not ready, and ends the
// callers' server once requests in progress have been answered.
func (d *Daemon) shutDown() {
	begun := time.Now()
	d.log.Info("daemon shutting down")
	d.mu.Lock()
	d.leaving = true // no leader is added from here on
	d.mu.Unlock()
	d.members.Leave()
	d.releaseLeases(d.localLeaders())
	d.members.SetLedServices(nil)
	d.callers.shutDown(begun, shutdownTimesOf(d.settings))
}

// releaseLeases releases the leases of the leaders concurrently.
func (d *Daemon) releaseLeases(leaders []*leader.Leader) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range leaders {
		wg.Go(func() { l.Release(ctx) })
	}
	wg.Wait()
}

// dialPeer opens a connection to another daemon.
func (d *Daemon) dialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return d.dial(ctx, "tcp", addr.String())
}

// reportViolation logs a violation of an invariant and calls the hook.
func (d *Daemon) reportViolation(err error) {
	d.log.Error("an invariant is broken", zap.Error(err))
	d.onViolation(err)
}

// Reload applies those changes of the settings that are possible while the daemon runs: the addresses of the
// platform's store and machine service. It logs a change once, however often the settings are read.
func (d *Daemon) Reload(conf settings.Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conf == d.lastRead {
		return
	}
	d.lastRead = conf
	if conf.Store != d.settings.Store {
		d.store.MoveTo(conf.Store)
	}
	if d.machineClient != nil && conf.Machines.IsValid() && conf.Machines != d.settings.Machines {
		d.machineClient.MoveTo(conf.Machines)
	}
	d.settings.Store, d.settings.Machines = conf.Store, conf.Machines
	d.log.Info("settings changed", zap.Stringer("store", conf.Store), zap.Stringer("machines", conf.Machines), zap.Bool("restart_needed", conf != d.settings))
}
