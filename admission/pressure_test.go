package admission

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startServer returns the address of a server with a bound on its connections, and a function that connects to it.
func startServer(t *testing.T, limit int, times Times, handle http.HandlerFunc) (conns *Connections, dial func() net.Conn) {
	bodies := NewBudget(1 << 20)
	conns = NewConnections(limit, bodies)
	server := httptest.NewUnstartedServer(bodies.Guard(handle, times))
	server.Config.ConnState = conns.Track
	server.Config.ReadHeaderTimeout, server.Config.IdleTimeout = time.Second, 2*time.Second
	server.Listener = conns.Listen(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return conns, func() net.Conn {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}

// readAll reads a request's body as the handler of submissions does.
func readAll(w http.ResponseWriter, r *http.Request) {
	if BodyOf(r.Context()).Grow(512) != nil {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if _, err := io.ReadAll(r.Body); err == nil {
		_ = BodyOf(r.Context()).Complete()
		return
	}
	w.WriteHeader(http.StatusGatewayTimeout)
}

const minute = time.Minute

// Guards against clients that read nothing, not even a 100 Continue, and so hold their connections for good.
func TestContinueThatIsNotTakenHoldsItsConnection(t *testing.T) {
	const clients = 20 // any of them may be stopped in a response instead
	conns, dial := startServer(t, clients, Times{Unread: time.Second, Answer: time.Second}, readAll)
	requests := strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n1", 20)
	for range clients {
		conn := dial()
		require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
		go func() {
			for {
				if _, err := io.WriteString(conn, requests); err != nil {
					return
				}
			}
		}()
	}
	time.Sleep(time.Second)
	require.Eventually(t, func() bool { return conns.Len() == 0 }, 30*time.Second, 10*time.Millisecond)
}
