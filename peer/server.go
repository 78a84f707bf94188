package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"gypsumlead/peer/wire"
)

const (
	incomingLimit = 512         // sessions; more are closed at once
	idleDefault   = time.Minute // more than ten pings of a daemon far away
)

// Handler answers the requests of other daemons; it may be called by many goroutines.
type Handler interface {
	// ServePeer answers one request; an error goes to the peer by its kind.
	ServePeer(ctx context.Context, from Identity, req *wire.Request) (*wire.Response, error)
}

// Server accepts sessions of other daemons.
type Server struct {
	us      Identity
	handler Handler
	log     *zap.Logger
	idle    time.Duration

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
	wg    sync.WaitGroup
}

// ServerOption changes a Server under construction.
type ServerOption func(*Server)

// WithIdle sets for how long a session may bring nothing before it is closed; its other end has
// vanished, for a daemon pings.
func WithIdle(d time.Duration) ServerOption {
	return func(s *Server) { s.idle = d }
}

// NewServer returns a server that answers with handler.
func NewServer(us Identity, handler Handler, log *zap.Logger, opts ...ServerOption) *Server {
	s := &Server{us: us, handler: handler, log: log, idle: idleDefault, conns: map[net.Conn]struct{}{}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Serve accepts sessions until the listener is closed or ctx ends, and returns when all have ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.closeAll()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
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

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done || len(s.conns) >= incomingLimit {
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

func (s *Server) closeAll() {
	s.mu.Lock()
	s.done = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serveConn serves the streams of one session until it ends.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	mux, err := yamux.Server(&watched{conn, s.idle}, yamuxConfig())
	if err != nil {
		s.log.Error("start peer session", zap.Error(err))
		return
	}
	defer mux.Close()
	in := &incoming{}
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		st, err := mux.Accept()
		if err != nil {
			return // the other end has gone or we are stopping
		}
		streams.Go(func() {
			defer st.Close()
			s.serveStream(ctx, in, st)
		})
	}
}

// serveStream answers the requests of one stream in order.
func (s *Server) serveStream(ctx context.Context, in *incoming, st net.Conn) {
	r := bufio.NewReader(st)
	for {
		req := &wire.Request{}
		if err := read(r, req); err != nil {
			return // end of the stream, or of what can be understood
		}
		resp, err := s.answer(ctx, in, req)
		if err != nil {
			resp = failed(err)
		}
		if err := write(st, resp); err != nil {
			return
		}
	}
}

func (s *Server) answer(ctx context.Context, in *incoming, req *wire.Request) (*wire.Response, error) {
	if h := req.GetHello(); h != nil {
		in.set(identityOf(h))
		return &wire.Response{Body: &wire.Response_Hello{Hello: s.us.hello()}}, nil
	}
	return s.handler.ServePeer(ctx, in.get(), req)
}

// incoming is what is known of the other end of an accepted session.
type incoming struct {
	mu   sync.Mutex
	them Identity
}

func (i *incoming) set(id Identity) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.them = id
}

func (i *incoming) get() Identity {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.them
}

// watched is a connection that must bring something now and then.
type watched struct {
	net.Conn
	idle time.Duration
}

// Read fails once nothing has come for the idle time.
func (w *watched) Read(b []byte) (int, error) {
	if err := w.SetReadDeadline(time.Now().Add(w.idle)); err != nil {
		return 0, err
	}
	return w.Conn.Read(b)
}
