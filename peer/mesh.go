package peer

import (
	"context"
	"net"
	"net/netip"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/fault"
	"gypsumlead/peer/wire"
)

// Mesh keeps sessions with the daemons given to SetTargets.
type Mesh struct {
	local        Identity
	log          *zap.Logger
	pingInterval time.Duration
	dial         Dial
	now          clock.Clock

	mu       sync.Mutex
	ctx      context.Context // context of Run; nil before Run
	dialers  map[netip.AddrPort]*dialer
	targets  []Target
	sessions map[string]*session // by instance
	wg       sync.WaitGroup
	stopped  bool // no more dialers are added
}

// Dial opens a connection to another daemon.
type Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// MeshOption changes a Mesh under construction.
type MeshOption func(*Mesh)

// WithPing sets the interval between pings to daemons of the same data centre.
func WithPing(interval time.Duration) MeshOption {
	return func(m *Mesh) { m.pingInterval = interval }
}

// WithClock sets the clock by which answers of other daemons are dated; the default is clock.Now.
func WithClock(now clock.Clock) MeshOption {
	return func(m *Mesh) { m.now = now }
}

// WithDial sets how connections are made.
func WithDial(dial Dial) MeshOption {
	return func(m *Mesh) { m.dial = dial }
}

const defaultPingInterval = time.Second

// NewMesh returns a Mesh of the daemon local, without sessions.
func NewMesh(local Identity, log *zap.Logger, opts ...MeshOption) *Mesh {
	m := &Mesh{
		local:        local,
		log:          log,
		pingInterval: defaultPingInterval,
		dial:         DialTCP,
		now:          clock.Now,
		dialers:      map[netip.AddrPort]*dialer{},
		sessions:     map[string]*session{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Run keeps sessions with the targets until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.updateDialers()
	m.mu.Unlock()
	<-ctx.Done()
	// Set under the lock, so that updateDialers adds no dialer while the others are waited for.
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.wg.Wait()
	return nil
}

// SetTargets replaces the daemons that the mesh keeps sessions with.
func (m *Mesh) SetTargets(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets = targets
	m.updateDialers()
}

// updateDialers starts and cancels dialers, so that there is one for each target. The caller holds m.mu.
func (m *Mesh) updateDialers() {
	if m.ctx == nil || m.stopped {
		return
	}
	wanted := make(map[netip.AddrPort]bool, len(m.targets))
	for _, t := range m.targets {
		wanted[t.Addr] = true
		if m.dialers[t.Addr] != nil || t.Instance == m.local.Instance {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		d := &dialer{mesh: m, target: t, cancel: cancel}
		m.dialers[t.Addr] = d
		m.wg.Go(func() { d.run(ctx) })
	}
	for addr, d := range m.dialers {
		if !wanted[addr] {
			d.cancel()
			delete(m.dialers, addr)
		}
	}
}

// addSession registers an open session.
func (m *Mesh) addSession(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[s.remote.Instance] = s
}

// removeSession removes a session unless a newer one with the same daemon has replaced it.
func (m *Mesh) removeSession(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[s.remote.Instance] == s {
		delete(m.sessions, s.remote.Instance)
	}
}

// Peers returns the daemons with open sessions, sorted by instance.
func (m *Mesh) Peers() []Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]Identity, 0, len(m.sessions))
	for _, s := range m.sessions {
		ids = append(ids, s.remote)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].Instance < ids[j].Instance })
	return ids
}

// Call sends a request to one daemon and returns its response. Without an open session it fails immediately with
// fault.NoUpstream.
func (m *Mesh) Call(ctx context.Context, instance string, req *wire.Request) (*wire.Response, error) {
	s, err := m.session(instance)
	if err != nil {
		return nil, err
	}
	return s.call(ctx, req)
}

// Check returns nil if a daemon has answered lately or answers now, and an error of kind fault.NoUpstream otherwise.
func (m *Mesh) Check(ctx context.Context, instance string) error {
	s, err := m.session(instance)
	if err != nil {
		return err
	}
	return fault.Wrap(fault.NoUpstream, s.link.Check(ctx), "peer %s is silent", instance)
}

// session returns the open session with a daemon.
func (m *Mesh) session(instance string) (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[instance]
	if s == nil {
		return nil, fault.New(fault.NoUpstream, "no session with peer %s", instance)
	}
	return s, nil
}
