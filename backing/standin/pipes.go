package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Pipes is a listener whose connections are pipes in memory, for real servers and clients on virtual time.
type Pipes struct {
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// NewPipes returns a listener that says that it listens at addr.
func NewPipes(addr netip.AddrPort) *Pipes {
	return &Pipes{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial connects to the listener, whatever address is asked for.
func (p *Pipes) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (p *Pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and Dial; open connections stay.
func (p *Pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// Addr returns the address given to NewPipes.
func (p *Pipes) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(p.addr)
}
