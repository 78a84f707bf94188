package emulator

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"gypsumlead/standin"
)

// daemonNet is a daemon's access to the network. Once it is closed, all of its connections are closed and no new ones
// are possible.
type daemonNet struct {
	net     *standin.Network
	addr    netip.Addr
	mu      sync.Mutex
	open    bool
	tracked map[interface{ Close() error }]struct{}
}

func newDaemonNet(n *standin.Network, addr netip.Addr) *daemonNet {
	return &daemonNet{net: n, addr: addr, open: true, tracked: map[interface{ Close() error }]struct{}{}}
}

func (dn *daemonNet) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := dn.net.Dialer(dn.addr)(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return c, dn.track(c)
}

func (dn *daemonNet) listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := dn.net.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &trackedListener{Listener: l, owner: dn}, dn.track(l)
}

// trackedListener tracks the connections that it accepts, so that they are closed with the daemonNet.
type trackedListener struct {
	net.Listener
	owner *daemonNet
}

// Accept waits for the next connection and tracks it.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, l.owner.track(c)
}

// track records a connection or listener that closeAll closes. After closeAll it closes it immediately and returns
// net.ErrClosed.
func (dn *daemonNet) track(c interface{ Close() error }) error {
	dn.mu.Lock()
	defer dn.mu.Unlock()
	if !dn.open {
		_ = c.Close() // the connection was never used
		return net.ErrClosed
	}
	dn.tracked[c] = struct{}{}
	return nil
}

// closeAll closes everything that is tracked and refuses new connections.
func (dn *daemonNet) closeAll() {
	dn.mu.Lock()
	defer dn.mu.Unlock()
	dn.open = false
	for c := range dn.tracked {
		_ = c.Close() // nothing can be done about an error
	}
	clear(dn.tracked)
}
