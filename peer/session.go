package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"gypsumlead/fault"
	"gypsumlead/peer/wire"
)

// session is an outgoing session: requests go out, answers come back. Each request has a
// stream of its own, but for the pings, which share one.
type session struct {
	mux  *yamux.Session
	them Identity

	pingMu sync.Mutex
	ping   net.Conn
	pingIn *bufio.Reader
}

// open starts a session on conn and learns who is at the other end.
func open(ctx context.Context, conn net.Conn, us Identity) (*session, error) {
	mux, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "start session")
	}
	s := &session{mux: mux}
	resp, err := s.call(ctx, &wire.Request{Body: &wire.Request_Hello{Hello: us.hello()}})
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	h := resp.GetHello()
	if h.GetProtocol() != protocol {
		_ = mux.Close()
		return nil, fault.New(fault.Invalid, "peer %s speaks protocol %d, not %d", h.GetInstance(), h.GetProtocol(), protocol)
	}
	s.them = identityOf(h)
	return s, nil
}

// call sends one request on a stream of its own and waits for its answer.
func (s *session) call(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	st, err := s.mux.Open()
	if err != nil {
		return nil, fault.Wrap(fault.NoUpstream, err, "open stream to %s", s.them.Instance)
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	return exchange(st, bufio.NewReader(st), req, s.them.Instance)
}

// pingOnce asks on the session's ping stream; an error condemns the session.
func (s *session) pingOnce(wait time.Duration) error {
	s.pingMu.Lock()
	defer s.pingMu.Unlock()
	if s.ping == nil {
		st, err := s.mux.Open()
		if err != nil {
			return err
		}
		s.ping = st
		s.pingIn = bufio.NewReader(st)
	}
	if err := s.ping.SetDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := exchange(s.ping, s.pingIn, &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}}, s.them.Instance)
	return err
}

func (s *session) close() {
	_ = s.mux.Close()
}

// exchange sends req and reads its answer.
func exchange(st net.Conn, in *bufio.Reader, req *wire.Request, whom string) (*wire.Response, error) {
	if err := write(st, req); err != nil {
		return nil, fault.Wrap(fault.Interrupted, err, "send to peer %s", whom)
	}
	resp := &wire.Response{}
	if err := read(in, resp); err != nil {
		return nil, fault.Wrap(fault.Interrupted, err, "answer of peer %s", whom)
	}
	return resp, errorOf(resp)
}
