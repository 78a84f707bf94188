package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"gypsumlead/peer/wire"
	"gypsumlead/sleep"
)

const (
	defaultMaxSessions  = 512                   // further connections are closed immediately
	acceptRetryInterval = 50 * time.Millisecond // after a connection that could not be accepted
	defaultIdleTimeout  = time.Minute           // more than ten pings from another data centre at defaultPingInterval
)

// Handler answers requests of other daemons. It must be safe for concurrent use.
type Handler interface {
	// ServePeer answers one request. An error is sent to the peer with its kind.
	ServePeer(ctx context.Context, from Identity, req *wire.Request) (*wire.Response, error)
}

// Server accepts sessions from other daemons and answers their requests.
type Server struct {
	local       Identity
	handler     Handler
	log         *zap.Logger
	idleTimeout time.Duration
	maxSessions int

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// ServerOption changes a Server under construction.
type ServerOption func(*Server)

// WithIdle sets how long a session may be idle before it is closed. A live daemon pings, so the other end of an idle
// session has vanished.
func WithIdle(timeout time.Duration) ServerOption {
	return func(s *Server) { s.idleTimeout = timeout }
}

// WithMaxSessions sets how many connections the server has at most.
func WithMaxSessions(n int) ServerOption {
	return func(s *Server) { s.maxSessions = n }
}

// NewServer returns a Server of the daemon local that answers requests with handler.
func NewServer(local Identity, handler Handler, log *zap.Logger, opts ...ServerOption) *Server {
	s := &Server{local: local, handler: handler, log: log, idleTimeout: defaultIdleTimeout, maxSessions: defaultMaxSessions, conns: map[net.Conn]struct{}{}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Serve accepts sessions until the listener is closed or ctx ends. It returns when all sessions have ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.closeAll()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.log.Warn("failed to accept a peer", zap.Error(err)) // for example because no descriptor is left now
			sleep.ForOrWake(ctx, acceptRetryInterval, nil)
			continue
		}
		if !s.add(conn) {
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() {
			defer s.remove(conn)
			s.serveConn(ctx, conn)
		})
	}
}

// add registers an accepted connection. It returns false if the server is closed or has as many connections as it may.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.maxSessions {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

// closeAll closes all connections and waits until their sessions have ended.
func (s *Server) closeAll() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serveConn serves the streams of one session until it ends.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	mux, err := yamux.Server(&idleTimeoutConn{conn, s.idleTimeout}, yamuxConfig())
	if err != nil {
		s.log.Error("failed to start incoming peer session", zap.Error(err))
		return
	}
	defer mux.Close()
	remote := &incomingPeer{}
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		stream, err := mux.Accept()
		if err != nil {
			return // the other end has closed the session, or the server is stopping
		}
		streams.Go(func() {
			defer stream.Close()
			s.serveStream(ctx, remote, stream)
		})
	}
}

// serveStream answers the requests of one stream in order.
func (s *Server) serveStream(ctx context.Context, remote *incomingPeer, stream net.Conn) {
	r := bufio.NewReader(stream)
	for {
		req := &wire.Request{}
		if err := readMessage(r, req); err != nil {
			return // end of the stream, or an invalid message
		}
		resp, err := s.answer(ctx, remote, req)
		if err != nil {
			resp = errorResponse(err)
		}
		if err := writeMessage(stream, resp); err != nil {
			return
		}
	}
}

func (s *Server) answer(ctx context.Context, remote *incomingPeer, req *wire.Request) (*wire.Response, error) {
	if h := req.GetHello(); h != nil {
		remote.set(identityOf(h))
		return &wire.Response{Body: &wire.Response_Hello{Hello: s.local.hello()}}, nil
	}
	return s.handler.ServePeer(ctx, remote.get(), req)
}

// incomingPeer is the identity of the other end of an accepted session, empty until its hello arrives.
type incomingPeer struct {
	mu       sync.Mutex
	identity Identity
}

func (p *incomingPeer) set(id Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.identity = id
}

func (p *incomingPeer) get() Identity {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.identity
}

// idleTimeoutConn is a connection whose reads fail when it has been idle for too long.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read reads from the connection; it fails if nothing arrives within the timeout.
func (c *idleTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}
