package runner

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	connsDefault = 8               // exchanges at a time on one upstream; 7 entries keep within 64 connections
	idleDefault  = 1 * time.Second // a connection that is silent for longer is not trusted again
	dialDefault  = 1 * time.Second
	headerLimit  = 64 << 10 // bytes of an answer's headers
)

type config struct {
	centre string
	region string
	conns  int64
	idle   time.Duration
	limit  time.Duration // of one dial
	seed   uint64
	dial   DialFunc
	breach func(error)
	off    switches
}

// switches turn mechanisms off, so that a test can show what each is for.
type switches struct {
	stray   bool // bytes outside of an exchange are let through
	echo    bool // an answer's exchange number is not looked at
	gate    bool // an upstream that began to leave after it was picked is sent to
	condemn bool // a connection that timed out says nothing of its siblings
	doubt   bool // failed answers don't make an upstream less likely
	budget  bool // repeated sends are not bounded
}

// Option changes a Fleet under construction.
type Option func(*config)

func defaults() config {
	return config{
		conns:  connsDefault,
		idle:   idleDefault,
		limit:  dialDefault,
		seed:   1,
		dial:   dialTCP,
		breach: func(error) {},
	}
}

// WithZone says where this entry is; upstreams of the same data centre, then region, are preferred.
func WithZone(centre, region string) Option {
	return func(c *config) {
		c.centre = centre
		c.region = region
	}
}

// WithConns sets the largest number of connections to one upstream.
func WithConns(n int) Option {
	return func(c *config) { c.conns = int64(max(n, 1)) }
}

// WithIdle sets how long a connection may be silent and still be used again; 0 means that each
// connection carries one exchange.
func WithIdle(d time.Duration) Option {
	return func(c *config) { c.idle = d }
}

// WithDialLimit sets the longest time that one dial may take.
func WithDialLimit(d time.Duration) Option {
	return func(c *config) { c.limit = d }
}

// WithSeed seeds the choice among upstreams.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

// WithDial replaces the TCP dialer.
func WithDial(d DialFunc) Option {
	return func(c *config) { c.dial = d }
}

// WithBreach sets what is told of an invariant that does not hold.
func WithBreach(report func(error)) Option {
	return func(c *config) { c.breach = report }
}

// dialTCP opens a connection on which unacknowledged bytes count as an error after a while.
func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Control: limitUnacknowledged}
	return d.DialContext(ctx, "tcp", addr.String())
}
