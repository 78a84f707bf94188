package emulator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
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
	storeAddr    = netip.MustParseAddrPort("10.200.1.7:8621")
	machinesAddr = netip.MustParseAddrPort("10.200.0.107:8621")
	policyAddr   = netip.MustParseAddrPort("10.200.1.9:8621")
	clientAddr   = netip.MustParseAddr("10.100.0.1")
)

// Times and ports of the emulated platform.
const (
	maxLease        = 6 * time.Second // of a runner
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	stopTime        = 200 * time.Millisecond
	machineLease    = 3 * time.Second         // between the orders of two daemons for one machine
	runnerHeartbeat = 1500 * time.Millisecond // between a runner's entries
	entryTTL        = 3 * runnerHeartbeat     // a runner's entry is removed after three missed heartbeats
	portCallers     = 8624
	portReady       = 8622
	portPeers       = 7060
)

// Size gives the numbers of data centres, daemons, services and machines of an emulated site.
type Size struct {
	Centres           []string
	Daemons           int
	Services          int // not counting the spare service
	RunnersPerService int
	SpareMachines     int // machines of the spare service
	CoresPerMachine   int64
	Unguarded         bool                 // runners start whatever they are told, even without room
	Workspaces        int                  // callers' accounts; 0 is a site whose callers need no keys
	SteadyConfig      bool                 // no routes are added and dropped all the time
	StrictRevocation  bool                 // daemons whose copy of the configuration is old refuse requests that need a key
	ContactTime       time.Duration        // of the settings; 0 is the default
	RunnerLease       time.Duration        // longest of a runner; 0 is maxLease
	Weights           []float64            // processor shares of the daemons, by turns; none is the default for all
	Policy            *standin.PolicyTerms // of a service that approves the runners of all steps; nil if none has to
}

// longestLease returns the longest lease of a runner.
func (s Size) longestLease() time.Duration { return cmp.Or(s.RunnerLease, maxLease) }

// advice returns the policy's terms as the configuration has them.
func (s Size) advice() *configAdvice {
	if s.Policy == nil {
		return nil
	}
	return &configAdvice{s.Policy.Base.Milliseconds(), s.Policy.Each.Milliseconds(), s.Policy.Valid.Milliseconds()}
}

// Small exercises every decision of the daemons and runs quickly.
var Small = Size{Centres: []string{"c1", "c2"}, Daemons: 3, Services: 2, RunnersPerService: 4, SpareMachines: 3, CoresPerMachine: 16}

// Typical is about the size of a user's site.
var Typical = Size{Centres: []string{"c1", "c2", "c3", "c4"}, Daemons: 7, Services: 4, RunnersPerService: 9, SpareMachines: 8, CoresPerMachine: 64}

// Cluster is an emulated site: the platform's stand-in, the daemons and their callers.
type Cluster struct {
	Net      *standin.Network
	Store    *standin.Store
	Machines *standin.MachineService
	Policy   *standin.PolicyService // nil if steps need no approval
	Checker  *standin.Checker
	size     Size
	log      *zap.Logger
	rand     *rand.Rand
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu         sync.Mutex
	daemons    map[string]*daemonNode
	runners    map[string]*runnerServer
	config     config
	jobs       map[work.ID]*submission
	nextID     uint64
	http       *http.Client
	violations []string             // broken invariants that daemons reported
	fatalRuns  int                  // runs that have crashed their runners
	onFatalRun func(int)            // called with fatalRuns before each such crash
	contact    map[string]time.Time // since when the contact of daemons with the store is undisturbed; zero while it is not
	rotations  int                  // keys that were replaced
	withdrawn  []string             // keys that were withdrawn
	unchecked  map[string]struct{}  // services whose routes were public at some time
	keepTrail  bool                 // whether daemons keep their recent log lines, as they do outside the emulator
}

// daemonNode is the name, data centre and address of a daemon, and its process.
type daemonNode struct {
	name    string
	centre  string
	addr    netip.Addr
	weight  float64      // processor share; 0 is the default
	process *process     // nil while the daemon is down
	ahead   atomic.Int64 // by which its clock is ahead, as after suspensions
}

// process is one start of a daemon.
type process struct {
	network   *daemonNet
	daemon    *daemon.Daemon
	stop      context.CancelFunc
	done      chan struct{}
	seenReady bool // it has been ready since its start; guarded by Cluster.mu
}

// runnerServer is a runner with its HTTP server.
type runnerServer struct {
	runner     *standin.Runner
	httpServer *http.Server
	seq        int64
	removed    bool
}

// New returns a cluster whose store, machine service and runners are up. Daemons are started with Start.
func New(ctx context.Context, size Size, seed uint64, log *zap.Logger) *Cluster {
	rng := rand.New(&lockedSource{src: rand.NewPCG(seed, seed)})
	c := &Cluster{
		Net:     standin.NewNetwork(),
		Store:   standin.NewStore(rand.New(rand.NewPCG(seed, 1))),
		Checker: standin.NewChecker(),
		size:    size,
		log:     log,
		rand:    rng,
		daemons: map[string]*daemonNode{},
		runners: map[string]*runnerServer{},
		jobs:    map[work.ID]*submission{},
		contact: map[string]time.Time{},

		unchecked: map[string]struct{}{},
	}
	c.ctx, c.stop = context.WithCancel(ctx)
	c.http = &http.Client{Transport: &http.Transport{DialContext: c.Net.Dialer(clientAddr), MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second}}
	c.serve(storeAddr, c.Store)
	if size.Policy != nil {
		c.Policy = standin.NewPolicyService(c.ctx, *size.Policy)
		c.serve(policyAddr, c.Policy)
	}
	c.makeConfig()
	c.makeMachines()
	c.serve(machinesAddr, c.Machines)
	for i := range size.Daemons {
		name := fmt.Sprintf("e%d", i+1)
		centre := size.Centres[i%len(size.Centres)]
		node := &daemonNode{name: name, centre: centre, addr: netip.AddrFrom4([4]byte{10, 1, byte(i % len(size.Centres)), byte(10 + i)})}
		if len(size.Weights) > 0 {
			node.weight = size.Weights[i%len(size.Weights)]
		}
		c.daemons[name] = node
	}
	c.Checker.WatchContact(c.contactOf)
	c.wg.Go(c.watchContact)
	if !size.SteadyConfig {
		c.wg.Go(c.tryRoutes)
	}
	if size.Workspaces > 0 {
		c.wg.Go(c.tryKeys)
	}
	return c
}

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct {
	mu  sync.Mutex
	src rand.Source
}

// Uint64 returns the next random number.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.src.Uint64()
}

// Close stops the cluster and waits for its goroutines.
func (c *Cluster) Close() {
	c.stop()
	for _, node := range c.daemons {
		c.Kill(node.name)
	}
	c.mu.Lock()
	servers := c.runners
	c.mu.Unlock()
	for _, server := range servers {
		_ = server.httpServer.Close() // there are no requests to finish
	}
	c.http.CloseIdleConnections()
	c.wg.Wait()
}

// serve runs an HTTP server on the emulated network until the cluster is closed.
func (c *Cluster) serve(addr netip.AddrPort, handler http.Handler) *http.Server {
	srv, err := c.Net.Serve(addr, handler)
	if err != nil {
		panic(err) // addresses made by the emulator are free
	}
	context.AfterFunc(c.ctx, func() { _ = srv.Close() })
	return srv
}

// Start starts a daemon; it does nothing if the daemon is running.
func (c *Cluster) Start(name string) {
	node := c.daemons[name]
	c.mu.Lock()
	defer c.mu.Unlock()
	if node.process != nil {
		return
	}
	dn := newDaemonNet(c.Net, node.addr)
	trail := &logs.Trail{}
	log := c.log.With(zap.String("at", name))
	if c.keepTrail {
		log = zap.New(zapcore.NewTee(log.Core(), zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), trail, zapcore.InfoLevel)))
	}
	if c.size.Workspaces > 0 {
		log = c.watchForKeys(log)
	}
	d, err := daemon.New(c.settings(node), log,
		daemon.WithTrail(trail.Find),
		daemon.WithClock(func() time.Time { return time.Now().Add(time.Duration(node.ahead.Load())) }),
		daemon.WithNetwork(dn.dial, dn.listen),
		daemon.WithViolationHook(func(err error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.violations = append(c.violations, err.Error())
		}))
	if err != nil {
		panic(err) // settings and addresses made by the emulator are valid
	}
	ctx, cancel := context.WithCancel(c.ctx)
	proc := &process{network: dn, daemon: d, stop: cancel, done: make(chan struct{})}
	node.process = proc
	c.wg.Go(func() { c.awaitReady(node, proc) })
	c.wg.Go(func() {
		defer close(proc.done)
		if err := d.Run(ctx); err != nil {
			c.log.Error("daemon failed", zap.String("at", name), zap.Error(err))
		}
		dn.closeAll()
	})
}

// Suspend moves a daemon's clock ahead without its timers, as a suspension of the machine does.
func (c *Cluster) Suspend(name string, d time.Duration) { c.daemons[name].ahead.Add(int64(d)) }

// Kill cuts a daemon off the network immediately and stops it, so that nothing it still does has an effect.
func (c *Cluster) Kill(name string) {
	c.mu.Lock()
	node := c.daemons[name]
	proc := node.process
	node.process = nil
	c.mu.Unlock()
	if proc == nil {
		return
	}
	proc.network.closeAll()
	proc.stop()
}

// Stop shuts a daemon down gracefully and waits until it has stopped.
func (c *Cluster) Stop(name string) {
	c.mu.Lock()
	node := c.daemons[name]
	proc := node.process
	c.mu.Unlock()
	if proc == nil {
		return
	}
	proc.stop()
	<-proc.done
	c.mu.Lock()
	defer c.mu.Unlock()
	if node.process == proc {
		node.process = nil
	}
}

// Violations returns the broken invariants that the daemons reported.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Daemons returns the names of all daemons.
func (c *Cluster) Daemons() []string {
	var list []string
	for i := range c.size.Daemons {
		list = append(list, fmt.Sprintf("e%d", i+1))
	}
	return list
}

// DaemonAddr returns the address of a daemon.
func (c *Cluster) DaemonAddr(name string) netip.Addr { return c.daemons[name].addr }

// Leader returns the daemon that the lease row in the store names as the leader of a service, or "".
func (c *Cluster) Leader(service string) string {
	return leaderName(c.Store.Get("hold", service, "seat"))
}

// StoreAddr returns the address of the store.
func (c *Cluster) StoreAddr() netip.Addr { return storeAddr.Addr() }

// settings returns the settings of a daemon.
func (c *Cluster) settings(node *daemonNode) settings.Settings {
	s := settings.Defaults()
	s.Instance, s.Region, s.Centre = node.name, "r1", node.centre
	s.Store, s.Machines = storeAddr, machinesAddr
	if c.Policy != nil {
		s.Policy = policyAddr
	}
	s.Listen.Callers = netip.AddrPortFrom(node.addr, portCallers)
	s.Listen.Ready = netip.AddrPortFrom(node.addr, portReady)
	s.Listen.Peers = netip.AddrPortFrom(node.addr, portPeers)
	s.Bounds.MaxRunnerLease, s.Bounds.MoveTime, s.Bounds.MaintenanceTime, s.Bounds.MachineLease = c.size.longestLease(), moveTime, maintenanceTime, machineLease
	s.Bounds.RevokeStrict = c.size.StrictRevocation
	s.Bounds.RemoteFactor = 2
	if c.size.ContactTime > 0 {
		s.Bounds.ContactTime = c.size.ContactTime
	}
	s.Bounds.RunnerHeartbeat, s.Bounds.StopTime = runnerHeartbeat, stopTime
	if node.weight > 0 {
		s.Weight = node.weight
	}
	return s
}
