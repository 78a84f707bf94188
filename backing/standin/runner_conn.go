package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// runnerListener hands out connections that the runner can reset or silence.
type runnerListener struct {
	net.Listener

	r *Runner
}

// Accept returns the next connection that isn't reset at once.
func (l *runnerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		rc := &runnerConn{Conn: c, r: l.r}
		if l.r.pick(true) == MishapAccept || !l.r.admit(rc) {
			// The other end sees the reset; there is nobody else to tell.
			_ = rc.reset()
			continue
		}
		return rc, nil
	}
}

// admit takes in a connection where there is room.
func (r *Runner) admit(c *runnerConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Off {
		return false
	}
	if len(r.conns) >= r.limit {
		r.shed++
		return false
	}
	c.silent.Store(r.faults.Silent)
	r.conns[c] = struct{}{}
	return true
}

func (r *Runner) forget(c *runnerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// runnerConn is a connection to a runner; a silent one takes every byte and delivers none.
type runnerConn struct {
	net.Conn

	r      *Runner
	silent atomic.Bool
	once   sync.Once
}

// Read delivers nothing on a silent connection until the other end closes it.
func (c *runnerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil || !c.silent.Load() {
		return n, err
	}
	_, err = io.Copy(io.Discard, c.Conn)
	if err == nil {
		err = io.EOF
	}
	return 0, err
}

// Write drops what is written to a silent connection.
func (c *runnerConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection in good order.
func (c *runnerConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.r.forget(c) })
	return err
}

// reset closes the connection with a TCP reset, where it is one of TCP; what was written may be
// lost, and the server takes the connection out of the runner's list when it sees the error.
func (c *runnerConn) reset() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// Where it can't be set the close is an orderly one, which a client must bear too.
		_ = t.SetLinger(0)
	}
	return c.Conn.Close()
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// hijack takes the connection out of the server's hands; whoever does it closes the connection.
func hijack(w http.ResponseWriter, req *http.Request) *runnerConn {
	if h, ok := w.(http.Hijacker); ok {
		// A connection that can't be taken over is being closed by the server.
		_, _, _ = h.Hijack()
	}
	c, _ := req.Context().Value(connKey{}).(*runnerConn)
	return c
}
