package standin

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Network connects places by pipes; a place is an IP address. It works with testing/synctest.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	cuts      map[pair]struct{}
	conns     map[*conn]struct{}
}

// pair is a link, in one direction.
type pair struct{ from, to netip.Addr }

// NewNetwork returns a network without any cut.
func NewNetwork() *Network {
	return &Network{listeners: map[netip.AddrPort]*listener{}, cuts: map[pair]struct{}{}, conns: map[*conn]struct{}{}}
}

// listener hands out accepted connections.
type listener struct {
	net    *Network
	addr   netip.AddrPort
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

// Listen returns a listener at an address.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[addr]; ok {
		return nil, errors.New("address is in use: " + addr.String())
	}
	l := &listener{net: n, addr: addr, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.addr)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// Dialer returns how a place connects to others.
func (n *Network) Dialer(from netip.Addr) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		c, err := n.dial(ctx, from, to)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
		}
		return c, nil
	}
}

var errRefused = errors.New("connection refused")

func (n *Network) dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	if n.cut(from, to.Addr()) || n.cut(to.Addr(), from) {
		<-ctx.Done() // nobody answers
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l, ok := n.listeners[to]
	n.mu.Unlock()
	if !ok {
		return nil, errRefused
	}
	a, b := net.Pipe()
	near := &conn{Conn: a, net: n, from: from, to: to.Addr()}
	far := &conn{Conn: b, net: n, from: to.Addr(), to: from}
	select {
	case l.accept <- far:
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	n.mu.Unlock()
	return near, nil
}

// conn is one end of a connection; what is written while the link is cut is lost, and the connection stays silent from then on.
type conn struct {
	net.Conn
	net      *Network
	from, to netip.Addr
	mu       sync.Mutex
	silent   bool
}

// Write delivers b, or loses it where the link is cut.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.net.cut(c.from, c.to) {
		c.silent = true
	}
	lost := c.silent
	c.mu.Unlock()
	if lost {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close ends the connection.
func (c *conn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// RemoteAddr returns the place at the other end.
func (c *conn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: c.to.AsSlice(), Port: 1} }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error { return c.Conn.SetDeadline(t) }

func (n *Network) cut(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.cuts[pair{from, to}]
	return ok
}

// Cut cuts the links between two groups of places, both ways.
func (n *Network) Cut(a, b []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			if x != y {
				n.cuts[pair{x, y}], n.cuts[pair{y, x}] = struct{}{}, struct{}{}
			}
		}
	}
}

// Heal mends all links; connections that lost something stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// Blackhole makes every open connection of a place silent for good, while new ones work.
func (n *Network) Blackhole(at netip.Addr) {
	for _, c := range n.of(at) {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// ResetConns breaks every open connection of a place.
func (n *Network) ResetConns(at netip.Addr) {
	for _, c := range n.of(at) {
		_ = c.Close() // that is what is wanted
	}
}

func (n *Network) of(at netip.Addr) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*conn
	for c := range n.conns {
		if c.from == at || c.to == at {
			list = append(list, c)
		}
	}
	return list
}
