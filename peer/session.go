package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"gypsumlead/clock"
	"gypsumlead/contact"
	"gypsumlead/fault"
	"gypsumlead/peer/wire"
)

// session is an outgoing session, which sends requests and receives responses. Each request has its own stream; pings
// share one.
type session struct {
	mux    *yamux.Session
	remote Identity
	link   *contact.Link
	silent chan struct{} // receives a value when the other end has not answered a probe

	pingMu     sync.Mutex
	pingStream net.Conn
	pingReader *bufio.Reader
}

// openSession starts a session on conn and exchanges identities with the other end.
func openSession(ctx context.Context, conn net.Conn, local Identity, now clock.Clock) (*session, error) {
	mux, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "start session")
	}
	s := &session{mux: mux, silent: make(chan struct{}, 1)}
	s.link = contact.New(s.probe, answerFreshness, now)
	resp, err := s.ask(ctx, &wire.Request{Body: &wire.Request_Hello{Hello: local.hello()}})
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	h := resp.GetHello()
	if h.GetProtocol() != protocolVersion {
		_ = mux.Close()
		return nil, fault.New(fault.Invalid, "peer %s speaks protocol %d, not %d", h.GetInstance(), h.GetProtocol(), protocolVersion)
	}
	s.remote = identityOf(h)
	return s, nil
}

// call sends one request on its own stream and waits for the response. If that takes too long, the other end is probed.
func (s *session) call(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	resp, err := s.ask(ctx, req)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		go func() { _ = s.link.Check(context.WithoutCancel(ctx)) }()
	}
	return resp, err
}

// ask sends one request on its own stream and waits for the response.
func (s *session) ask(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	stream, err := s.mux.Open()
	if err != nil {
		return nil, fault.Wrap(fault.NoUpstream, err, "open stream to %s", s.remote.Instance)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	resp, err := roundTrip(stream, bufio.NewReader(stream), req, s.remote.Instance)
	if err == nil {
		s.link.Heard()
	}
	return resp, err
}

const (
	answerFreshness = 300 * time.Millisecond // a session that has answered within this time is relied upon
	probeTimeout    = 400 * time.Millisecond // allows for many round trips within a region
)

// probe asks the other end for an answer, on a stream of its own, and reports its silence.
func (s *session) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := s.ask(ctx, &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}})
	if err != nil {
		select {
		case s.silent <- struct{}{}:
		default: // reported already
		}
	}
	return err
}

// pingOnce sends one ping on the session's ping stream. After an error the session must be closed.
func (s *session) pingOnce(timeout time.Duration) error {
	s.pingMu.Lock()
	defer s.pingMu.Unlock()
	if s.pingStream == nil {
		stream, err := s.mux.Open()
		if err != nil {
			return err
		}
		s.pingStream = stream
		s.pingReader = bufio.NewReader(stream)
	}
	if err := s.pingStream.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := roundTrip(s.pingStream, s.pingReader, &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}}, s.remote.Instance)
	if err == nil {
		s.link.Heard()
	}
	return err
}

func (s *session) close() {
	_ = s.mux.Close()
}

// roundTrip sends req and reads the response.
func roundTrip(stream net.Conn, r *bufio.Reader, req *wire.Request, instance string) (*wire.Response, error) {
	if err := writeMessage(stream, req); err != nil {
		return nil, fault.Wrap(fault.Interrupted, err, "send request to peer %s", instance)
	}
	resp := &wire.Response{}
	if err := readMessage(r, resp); err != nil {
		return nil, fault.Wrap(fault.Interrupted, err, "read response of peer %s", instance)
	}
	return resp, errorOf(resp)
}
