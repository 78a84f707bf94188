package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"gypsumlead/fault"
)

// settleLimit is how long a taken connection may need to show that its last answer had no surplus.
const settleLimit = 20 * time.Millisecond

// channel is one client connection to an upstream; it carries one exchange at a time.
type channel struct {
	client *http.ClientConn
	link   *link
	settle <-chan struct{} // closed once the last answer is known to have no surplus
	proved time.Time       // when the last whole answer came, or when it was dialled
	used   bool            // has carried an exchange
	echoes bool            // an answer on it has carried its exchange's number
}

// linkKey is the context key under which a dial hands its link to whoever asked for the connection.
type linkKey struct{}

// dialer opens connections through net/http without its pool, which would send requests again.
type dialer struct {
	transport *http.Transport
}

// DialFunc opens a network connection to an upstream.
type DialFunc func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

func newDialer(dial DialFunc, trust bool) *dialer {
	return &dialer{transport: &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerLimit,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			addr, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, fault.Wrap(fault.Internal, err, "parse upstream address %q", address)
			}
			c, err := dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			l := newLink(c, trust)
			if out, ok := ctx.Value(linkKey{}).(**link); ok {
				*out = l
			}
			return l, nil
		},
	}}
}

// open dials one connection.
func (d *dialer) open(ctx context.Context, addr netip.AddrPort) (*channel, error) {
	var l *link
	ctx = context.WithValue(ctx, linkKey{}, &l)
	client, err := d.transport.NewClientConn(ctx, "http", addr.String())
	if err != nil {
		return nil, err
	}
	return &channel{client: client, link: l}, nil
}

// ready waits shortly until the last answer is known to have had no surplus, then reserves the connection.
func (c *channel) ready(ctx context.Context) bool {
	if c.settle != nil && !c.settled(ctx) {
		return false
	}
	return c.client.Reserve() == nil
}

// settled is the slow path of ready: most often the reader has settled already.
func (c *channel) settled(ctx context.Context) bool {
	select {
	case <-c.settle:
		return true
	default:
	}
	t := time.NewTimer(settleLimit)
	defer t.Stop()
	select {
	case <-c.settle:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// close ends the connection for good; a late answer can reach nobody.
func (c *channel) close() {
	// Nothing is left to be done about an error of a connection that is given up.
	_ = c.client.Close()
	// After a 101 net/http leaves the connection to its caller.
	_ = c.link.Conn.Close()
}

func closeAll(cs []*channel) {
	for _, c := range cs {
		c.close()
	}
}
