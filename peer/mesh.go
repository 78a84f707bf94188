package peer

import (
	"context"
	"net"
	"net/netip"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/peer/wire"
)

// Mesh keeps sessions with other daemons: all of its own data centre and a few of each other one.
type Mesh struct {
	us   Identity
	log  *zap.Logger
	ping time.Duration
	dial Dial

	mu      sync.Mutex
	ctx     context.Context // of Run; nil before
	dialers map[netip.AddrPort]*dialer
	targets []Target
	open    map[string]*session // by instance
	wg      sync.WaitGroup
	stopped bool // no dialer is added any more
}

// Dial opens a connection to another daemon.
type Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// MeshOption changes a Mesh under construction.
type MeshOption func(*Mesh)

// WithPing sets the time between two pings in the own data centre.
func WithPing(every time.Duration) MeshOption {
	return func(m *Mesh) { m.ping = every }
}

// WithDial sets how connections are made.
func WithDial(dial Dial) MeshOption {
	return func(m *Mesh) { m.dial = dial }
}

const pingDefault = time.Second

// NewMesh returns a mesh without sessions.
func NewMesh(us Identity, log *zap.Logger, opts ...MeshOption) *Mesh {
	m := &Mesh{
		us:      us,
		log:     log,
		ping:    pingDefault,
		dial:    DialTCP,
		dialers: map[netip.AddrPort]*dialer{},
		open:    map[string]*session{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Run keeps the sessions until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.adjust()
	m.mu.Unlock()
	<-ctx.Done()
	// Under the lock, so that no dialer is added while the others are waited for; see adjust.
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.wg.Wait()
	return nil
}

// SetTargets replaces the daemons to keep sessions with.
func (m *Mesh) SetTargets(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets = targets
	m.adjust()
}

// adjust starts and stops dialers, so that there is one a target.
func (m *Mesh) adjust() {
	if m.ctx == nil || m.stopped {
		return
	}
	want := make(map[netip.AddrPort]bool, len(m.targets))
	for _, t := range m.targets {
		want[t.Addr] = true
		if m.dialers[t.Addr] != nil || t.Instance == m.us.Instance {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		d := &dialer{mesh: m, target: t, cancel: cancel}
		m.dialers[t.Addr] = d
		m.wg.Go(func() { d.run(ctx) })
	}
	for addr, d := range m.dialers {
		if !want[addr] {
			d.cancel()
			delete(m.dialers, addr)
		}
	}
}

func (m *Mesh) join(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[s.them.Instance] = s
}

func (m *Mesh) part(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open[s.them.Instance] == s {
		delete(m.open, s.them.Instance)
	}
}

// Peers returns the daemons with an open session, sorted by instance.
func (m *Mesh) Peers() []Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]Identity, 0, len(m.open))
	for _, s := range m.open {
		ids = append(ids, s.them)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].Instance < ids[j].Instance })
	return ids
}

// Call asks one daemon; without an open session it fails at once with fault.NoUpstream.
func (m *Mesh) Call(ctx context.Context, instance string, req *wire.Request) (*wire.Response, error) {
	m.mu.Lock()
	s := m.open[instance]
	m.mu.Unlock()
	if s == nil {
		return nil, fault.New(fault.NoUpstream, "no session with peer %s", instance)
	}
	return s.call(ctx, req)
}
