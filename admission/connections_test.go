package admission

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startBound returns the address of a server with a bound on its connections, which reads all bodies.
func startBound(t *testing.T, limit int) (addr string, conns *Connections) {
	bodies := NewBudget(1 << 20)
	conns = NewConnections(limit, bodies)
	server := httptest.NewUnstartedServer(bodies.Guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			_ = BodyOf(r.Context()).Complete()
		}
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 32<<20)) // more than buffers of connections hold
		}
	}), Times{Unread: time.Minute, Answer: time.Second}))
	server.Config.ConnState = conns.Track
	server.Listener = conns.Listen(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), conns
}

// Guards against connections that are closed before their request can arrive, although others never finish their bodies.
func TestNewConnectionIsClosedInsteadOfUnfinishedBody(t *testing.T) {
	addr, conns := startBound(t, 2)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	stalled := dial()
	_, err := io.WriteString(stalled, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return conns.bodies.unfinished() == 1 }, 30*time.Second, time.Millisecond)
	fresh, newest := dial(), dial()
	status, _ := exchange(t, newest, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, http.StatusOK, status)
	status, _ = exchange(t, fresh, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, http.StatusOK, status)
}

func (b *Budget) unfinished() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arriving.Len()
}

// Guards against clients that take no responses, on all connections that there may be, and keep others out for good.
func TestResponsesThatAreNotTakenKeepOthersOut(t *testing.T) {
	const limit = 3
	addr, _ := startBound(t, limit)
	for range limit {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		_, err = io.ReadFull(conn, make([]byte, 1)) // the response has begun
		require.NoError(t, err)
	}
	last, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = last.Close() })
	status, _ := exchange(t, last, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, http.StatusOK, status)
}

// Guards against connections that send nothing, or bodies without an end, and keep all others out.
func TestConnectionsWithoutRequestsKeepOthersOut(t *testing.T) {
	const limit = 5
	for _, scenario := range []struct{ name, sent string }{
		{"nothing sent", ""},
		{"part of a head", "GET / HTTP/1.1\r\nHo"},
		{"idle after a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"part of a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			addr, conns := startBound(t, limit)
			for range 4 * limit {
				conn, err := net.Dial("tcp", addr)
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				_, err = io.WriteString(conn, scenario.sent)
				require.NoError(t, err)
				require.LessOrEqual(t, conns.Len(), limit)
			}
			last, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			t.Cleanup(func() { _ = last.Close() })
			status, _ := exchange(t, last, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 3, "abc"))
			require.Equal(t, http.StatusOK, status)
			require.LessOrEqual(t, conns.Len(), limit)
			require.Positive(t, conns.Evicted())
		})
	}
}
