package control

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
)

// meter counts the bytes that daemons send and receive on the connections that they open; the
// other ends of sessions between daemons are theirs too, so both directions count once in all.
type meter struct {
	sent atomic.Int64
	got  atomic.Int64
}

// metered is a connection that counts.
type metered struct {
	net.Conn
	m *meter
}

func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.got.Add(int64(n))
	return n, err
}

func (c *metered) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent.Add(int64(n))
	return n, err
}

// dial opens a counting connection to the platform.
func (m *meter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &metered{c, m}, nil
}

// dialPeer opens a counting connection to a daemon; what it sends is received by that daemon,
// and the other way round, so each byte counts for both.
func (m *meter) dialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := m.dial(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &both{c, m}, nil
}

// both counts each byte in the other direction too.
type both struct {
	net.Conn
	m *meter
}

func (c *both) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.sent.Add(int64(n))
	return n, err
}

func (c *both) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.got.Add(int64(n))
	return n, err
}
