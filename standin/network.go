package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Network connects hosts, each identified by its IP address, through in-memory pipes, so that it works inside
// testing/synctest bubbles.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	cutLinks  map[link]struct{}
	heldLinks map[link]struct{}
	conns     map[*conn]struct{}
	brokenAt  map[netip.Addr]time.Time // when open connections of a host were last broken
}

// link is one direction between two hosts.
type link struct{ from, to netip.Addr }

// NewNetwork returns a network whose links all work.
func NewNetwork() *Network {
	return &Network{listeners: map[netip.AddrPort]*listener{}, cutLinks: map[link]struct{}{}, heldLinks: map[link]struct{}{}, conns: map[*conn]struct{}{}, brokenAt: map[netip.Addr]time.Time{}}
}

// listener is a net.Listener of a Network.
type listener struct {
	net    *Network
	addr   netip.AddrPort
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

// Listen returns a listener at an address; it fails if the address is in use.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[addr]; ok {
		return nil, errors.New("address already in use: " + addr.String())
	}
	l := &listener{net: n, addr: addr, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Serve runs an HTTP server at an address until it is closed; it fails if the address is in use.
func (n *Network) Serve(addr netip.AddrPort, handler http.Handler) (*http.Server, error) {
	l, err := n.Listen(addr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }() // it returns when the server is closed
	return server, nil
}

// Accept waits for the next connection; it returns net.ErrClosed once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops the listener and frees its address; connections stay open.
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

// Dialer returns the dial function of a host, for use as http.Transport.DialContext.
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
	if n.cut(from, to.Addr()) || n.cut(to.Addr(), from) || n.holds(from, to.Addr()) {
		<-ctx.Done() // packets are dropped, so the dial gets no reply
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l, ok := n.listeners[to]
	n.mu.Unlock()
	if !ok {
		return nil, errRefused
	}
	nearPipe, farPipe := net.Pipe()
	near := &conn{Conn: nearPipe, net: n, from: from, to: to.Addr()}
	far := &conn{Conn: farPipe, net: n, from: to.Addr(), to: from}
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

// conn is one end of a connection. A write while the link is cut is lost, and so is every later write, even once the
// link is restored. What is written while the link is held arrives once it is restored, also if the connection was closed
// meanwhile, unless it was closed with a reset.
type conn struct {
	net.Conn
	net        *Network
	from, to   netip.Addr
	mu         sync.Mutex
	blackholed bool
	held       [][]byte
	releasing  bool // held writes are being delivered
	resets     bool // closing it drops what wasn't delivered
	closed     bool // while writes were held
}

// Write delivers b, or drops it and reports success if the link is cut or the connection is blackholed.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.net.cut(c.from, c.to) {
		c.blackholed = true
	}
	lost, held := c.blackholed, c.releasing || len(c.held) > 0 || c.net.holds(c.from, c.to)
	if held && !lost {
		c.held = append(c.held, slices.Clone(b))
	}
	c.mu.Unlock()
	if lost || held {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// SetLinger sets, as that of a TCP connection, whether closing drops what wasn't delivered: it does if sec is 0.
func (c *conn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = sec == 0
	return nil
}

// Close closes this end of the connection; the other end then reads io.EOF, once the link is restored if it is held.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.resets {
		c.held = nil
	}
	if c.releasing || len(c.held) > 0 || c.net.holds(c.from, c.to) {
		c.closed = true
		c.mu.Unlock()
		return c.Conn.SetReadDeadline(time.Now())
	}
	c.mu.Unlock()
	return c.close()
}

func (c *conn) close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// release delivers what was held.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.releasing {
		return
	}
	c.releasing = true
	for len(c.held) > 0 {
		next := c.held[0]
		c.held = c.held[1:]
		c.mu.Unlock()
		_, _ = c.Conn.Write(next) // the other end may be gone
		c.mu.Lock()
	}
	c.releasing = false
	if c.closed {
		_ = c.close() // it was closed before
	}
}

// RemoteAddr returns the address of the host at the other end; the port has no meaning.
func (c *conn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: c.to.AsSlice(), Port: 1} }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error { return c.Conn.SetDeadline(t) }

// cut reports whether the link is cut in this direction.
func (n *Network) cut(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.cutLinks[link{from, to}]
	return ok
}

// Cut cuts the links between two groups of hosts in both directions.
func (n *Network) Cut(a, b []netip.Addr) { n.mark(n.cutLinks, a, b) }

// Hold holds the links between two groups of hosts in both directions: what is written arrives once they are restored.
func (n *Network) Hold(a, b []netip.Addr) { n.mark(n.heldLinks, a, b) }

// mark adds the links between two groups of hosts in both directions to a set.
func (n *Network) mark(set map[link]struct{}, a, b []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, from := range a {
		for _, to := range b {
			if from != to {
				set[link{from, to}], set[link{to, from}] = struct{}{}, struct{}{}
			}
		}
	}
}

// holds reports whether the link is held in this direction.
func (n *Network) holds(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.heldLinks[link{from, to}]
	return ok
}

// Heal restores all links; connections that lost a write keep dropping every write.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cutLinks)
	clear(n.heldLinks)
	for c := range n.conns {
		go c.release()
	}
}

// Blackhole makes every open connection of a host drop all further writes; new connections work.
func (n *Network) Blackhole(host netip.Addr) {
	for _, c := range n.connsOf(host) {
		c.mu.Lock()
		c.blackholed = true
		c.mu.Unlock()
	}
}

// ResetConns closes every open connection of a host.
func (n *Network) ResetConns(host netip.Addr) {
	for _, c := range n.connsOf(host) {
		_ = c.Close() // the close is the fault to inject; its error doesn't matter
	}
}

// BrokenAt returns when open connections of a host were last reset or blackholed; it is zero if they never were.
func (n *Network) BrokenAt(host netip.Addr) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.brokenAt[host]
}

// Linked reports whether the links between two hosts work in both directions.
func (n *Network) Linked(a, b netip.Addr) bool { return !n.cut(a, b) && !n.cut(b, a) }

// connsOf returns both ends of every open connection of a host, which are about to be broken.
func (n *Network) connsOf(host netip.Addr) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.brokenAt[host] = time.Now()
	var conns []*conn
	for c := range n.conns {
		if c.from == host || c.to == host {
			conns = append(conns, c)
		}
	}
	return conns
}
