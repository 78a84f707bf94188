package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/app"
	"gypsumlead/backing"
	"gypsumlead/backing/client"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/settings"
)

const (
	region   = "georgia"
	token    = "demo-operator-token"
	listLag  = 300 * time.Millisecond
	evidence = time.Second // age at which the list proves nothing: its lag and some heartbeats
	bootTime = 500 * time.Millisecond
	beat     = 100 * time.Millisecond
	runTime  = 5 * time.Millisecond
	stopWait = 500 * time.Millisecond
)

// centres are the demo's data centres and what they have.
var centres = [...]struct {
	name    string
	entries int
	runners int
}{{"atl1", 2, 5}, {"atl2", 1, 5}}

// site is the stand-ins and the daemons under test.
type site struct {
	platform *standin.Platform
	server   *http.Server
	addr     netip.AddrPort
	runners  []*standin.Runner

	mu      sync.Mutex
	entries []*daemon
}

// daemon is one entry instance.
type daemon struct {
	id     string
	centre string
	app    *app.App
	client *client.Client
	stop   context.CancelFunc
	done   chan error
}

// newSite starts all of it.
func newSite(c config) (*site, error) {
	s := &site{platform: standin.New(standin.WithSeed(c.seed), standin.WithLag(listLag), standin.WithBootTime(bootTime))}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "listen for the platform's stand-in")
	}
	s.addr = netip.MustParseAddrPort(l.Addr().String())
	s.server = &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }() // ends with close
	for _, c := range centres {
		if err := s.startCentre(c.name, c.entries, c.runners); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *site) startCentre(name string, entries, runners int) error {
	for i := range runners {
		if err := s.startRunner(name, i); err != nil {
			return err
		}
	}
	for i := range entries {
		d, err := s.startEntry(fmt.Sprintf("entry-%s-%d", name, i), name)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, d)
	}
	return nil
}

func (s *site) startRunner(centre string, i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "listen for a stand-in runner")
	}
	r := standin.NewRunner(l,
		standin.WithInstance(backing.Instance{
			ID:     fmt.Sprintf("runner-%s-%d", centre, i),
			Region: region,
			Centre: centre,
			Rack:   fmt.Sprintf("%s-rack-%d", centre, i/2),
		}),
		standin.WithRun(runTime),
		standin.WithBeat(s.platform.Beat, beat),
	)
	s.runners = append(s.runners, r)
	return nil
}

// startEntry starts a daemon and makes it known to the platform.
func (s *site) startEntry(id, centre string) (*daemon, error) {
	any := netip.MustParseAddrPort("127.0.0.1:0")
	set := settings.Defaults()
	set.Instance = id
	set.Region = region
	set.Centre = centre
	set.Platform = s.addr
	set.Listen = settings.Listen{Callers: any, Operators: any, Peers: any}
	set.Tokens = []settings.Token{{Name: "demo", Secret: token}}
	set.Stop.Wait = stopWait
	set.Sync.Lag = evidence
	c := client.New(s.addr)
	a, err := app.New(set, app.OverHTTP(c), zap.NewNop())
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{id: id, centre: centre, app: a, client: c, stop: stop, done: make(chan error, 1)}
	go func() { d.done <- a.Run(ctx) }()
	s.announce(d)
	return d, nil
}

func (s *site) announce(d *daemon) {
	s.platform.PutInstance(backing.Instance{
		ID:     d.id,
		Boot:   d.id + "-" + d.app.Addrs().Peers.String(),
		Role:   backing.RoleEntry,
		Addr:   d.app.Addrs().Callers,
		Peer:   d.app.Addrs().Peers,
		Region: region,
		Centre: d.centre,
		Rack:   d.centre + "-rack-e",
		State:  backing.StateLive,
	})
}

// restartEntry stops one daemon in good order under load and starts it anew.
func (s *site) restartEntry(context.Context) (string, error) {
	s.mu.Lock()
	old := s.entries[0]
	s.mu.Unlock()
	start := time.Now()
	old.stop()
	// The balancer goes on sending there until the daemon has left: it is taken out only now.
	time.Sleep(stopWait / 2)
	s.mu.Lock()
	s.entries = s.entries[1:]
	s.mu.Unlock()
	if err := <-old.done; err != nil {
		return "", err
	}
	took := time.Since(start)
	fresh, err := s.startEntry(old.id, old.centre)
	if err != nil {
		return "", err
	}
	if err := fresh.awaitReady(); err != nil {
		return "", err
	}
	s.mu.Lock()
	s.entries = append(s.entries, fresh)
	s.mu.Unlock()
	return fmt.Sprintf("%s stopped under load in %v and started anew", old.id, took.Round(time.Millisecond)), nil
}

const (
	readyStep  = 20 * time.Millisecond
	readyLimit = 10 * time.Second
)

// awaitReady waits until the daemon has a configuration in force.
func (d *daemon) awaitReady() error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(readyStep) {
		if d.app.Ready() {
			return nil
		}
	}
	return fault.New(fault.Timeout, "daemon %s isn't ready after %v", d.id, readyLimit)
}

// pick returns the daemon that the balancer sends the nth request to.
func (s *site) pick(n uint64) *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[n%uint64(len(s.entries))]
}

// daemons returns the running daemons.
func (s *site) daemons() []*daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*daemon(nil), s.entries...)
}

func (s *site) close() {
	for _, d := range s.daemons() {
		d.stop()
	}
	for _, d := range s.daemons() {
		<-d.done
		d.client.Close()
	}
	for _, r := range s.runners {
		r.Close()
	}
	_ = s.server.Close()
}
