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
	dialTimeout      = 2 * time.Second
	lingerTime       = 2 * time.Second // for which a replaced session's calls may be answered; callers wait about as long
	maxMissedPings   = 3               // a session is closed when a ping takes more than this many intervals
	remotePingFactor = 5               // pings to another data centre are sent this many times less often
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = 5 * time.Second
)

// dialer keeps a session with one target until it is cancelled.
type dialer struct {
	mesh   *Mesh
	target Target
	cancel context.CancelFunc
}

// run keeps a session open until ctx ends. It redials with exponential backoff and jitter while the target doesn't
// answer.
func (d *dialer) run(ctx context.Context) {
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		s, err := d.dial(ctx)
		if err != nil {
			d.mesh.log.Debug("failed to open peer session", zap.Stringer("addr", d.target.Addr), zap.Error(err))
			// The loop's condition handles the end of ctx.
			_ = sleep.For(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, maxRedialBackoff)
			continue
		}
		backoff = minRedialBackoff
		for s != nil {
			s = d.keepSession(ctx, s)
		}
	}
}

func (d *dialer) dial(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.mesh.dial(ctx, d.target.Addr)
	if err != nil {
		return nil, err
	}
	s, err := openSession(ctx, conn, d.mesh.local, d.mesh.now)
	if err != nil {
		_ = conn.Close()
	}
	return s, err
}

// keepSession keeps a session until its pings fail or ctx ends. While the other end doesn't answer a probe, the session's
// connection may be silent for good and a new one work: then keepSession returns the session that replaces this one, which
// is closed lingerTime later, as calls in progress may still be answered.
func (d *dialer) keepSession(ctx context.Context, s *session) (replacement *session) {
	if s.remote.Instance == d.mesh.local.Instance {
		defer s.close()
		// The address is this daemon's own. Close the session after a delay; run redials, in case the address moves to
		// another daemon, or handles the end of ctx.
		_ = sleep.For(ctx, maxRedialBackoff)
		return nil
	}
	d.mesh.addSession(s)
	defer d.mesh.removeSession(s)
	d.mesh.wg.Go(func() { d.pingSession(ctx, s) })
	openedAt := time.Now()
	for {
		select {
		case <-s.mux.CloseChan():
			return nil
		case <-s.silent:
		}
		if time.Since(openedAt) < lingerTime {
			continue // a slow daemon gets no more sessions than one each lingerTime
		}
		next, err := d.dial(ctx)
		if err == nil {
			d.mesh.log.Info("peer session replaced", zap.String("peer", s.remote.Instance), zap.Duration("silent", s.link.Silence()))
			d.mesh.addSession(next)
			time.AfterFunc(lingerTime, s.close)
			return next
		}
	}
}

// pingSession pings a session until that fails or ctx ends, and closes it.
func (d *dialer) pingSession(ctx context.Context, s *session) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	defer s.close()
	interval := d.mesh.pingInterval
	if s.remote.Centre != d.mesh.local.Centre {
		interval *= remotePingFactor
	}
	for ctx.Err() == nil && !s.mux.IsClosed() {
		if err := s.pingOnce(maxMissedPings * d.mesh.pingInterval); err != nil {
			d.mesh.log.Info("peer session ended", zap.String("peer", s.remote.Instance), zap.Error(err))
			return
		}
		select {
		case <-ctx.Done():
		case <-s.mux.CloseChan():
		case <-time.After(interval):
		}
	}
}

// DialTCP opens a TCP connection; it is a Mesh's default Dial.
func DialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var nd net.Dialer
	return nd.DialContext(ctx, "tcp", addr.String())
}
