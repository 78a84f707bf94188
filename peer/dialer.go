package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"gypsumlead/sleep"
)

const (
	dialTimeout = 2 * time.Second
	pingMisses  = 3 // a session whose ping has waited for this many intervals is given up
	farFactor   = 5 // pings to another data centre are this many times rarer
	redialFirst = 100 * time.Millisecond
	redialLimit = 5 * time.Second
)

// dialer keeps a session with one target until it is told to stop.
type dialer struct {
	mesh   *Mesh
	target Target
	cancel context.CancelFunc
}

// run dials, pings and dials again, with pauses that grow while the target doesn't answer.
func (d *dialer) run(ctx context.Context) {
	gap := redialFirst
	for ctx.Err() == nil {
		s, err := d.dial(ctx)
		if err != nil {
			d.mesh.log.Debug("dial peer", zap.Stringer("addr", d.target.Addr), zap.Error(err))
			// The loop's condition sees the end of ctx.
			_ = sleep.For(ctx, gap/2+time.Duration(rand.Int64N(int64(gap))))
			gap = min(2*gap, redialLimit)
			continue
		}
		gap = redialFirst
		d.keep(ctx, s)
	}
}

func (d *dialer) dial(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.mesh.dial(ctx, d.target.Addr)
	if err != nil {
		return nil, err
	}
	s, err := open(ctx, conn, d.mesh.us)
	if err != nil {
		_ = conn.Close()
	}
	return s, err
}

// keep pings the session until it fails or ctx ends.
func (d *dialer) keep(ctx context.Context, s *session) {
	defer s.close()
	if s.them.Instance == d.mesh.us.Instance {
		// Our own address: the caller looks again in case it moves to another, or sees the end of ctx.
		_ = sleep.For(ctx, redialLimit)
		return
	}
	d.mesh.join(s)
	defer d.mesh.part(s)
	every := d.mesh.ping
	if s.them.Centre != d.mesh.us.Centre {
		every *= farFactor
	}
	for ctx.Err() == nil {
		if err := s.pingOnce(pingMisses * d.mesh.ping); err != nil {
			d.mesh.log.Info("peer session ended", zap.String("peer", s.them.Instance), zap.Error(err))
			return
		}
		select {
		case <-ctx.Done():
		case <-s.mux.CloseChan():
		case <-time.After(every):
		}
	}
}

// DialTCP is how a mesh dials unless it is told otherwise.
func DialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var nd net.Dialer
	return nd.DialContext(ctx, "tcp", addr.String())
}
