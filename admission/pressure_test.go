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

// Guards against a new connection that is closed for the next one before its request can arrive.
func TestNewConnectionIsClosedForAnother(t *testing.T) {
	release := make(chan struct{})
	_, dial := startServer(t, 2, Times{Unread: minute, Answer: minute}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	t.Cleanup(func() { close(release) })
	busy := dial()
	_, err := io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	second := dial()
	time.Sleep(20 * time.Millisecond)
	_ = dial()
	time.Sleep(20 * time.Millisecond)
	status, _ := exchange(t, second, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, http.StatusOK, status)
}

// Guards against a body that has just been sent and gives way to a new connection before its handler reads it.
func TestFreshBodyGivesWayToAConnection(t *testing.T) {
	_, dial := startServer(t, 1, Times{Unread: minute, Answer: minute}, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond) // as when the configuration is confirmed by the store
		readAll(w, r)
	})
	conn := dial()
	time.AfterFunc(20*time.Millisecond, func() { dial() })
	status, _ := exchange(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	require.Equal(t, http.StatusOK, status)
}

// Guards against one new connection for which several others give way.
func TestOneConnectionEvictsMany(t *testing.T) {
	const stalled, busy = 10, 4
	conns, dial := startServer(t, stalled+busy, Times{Unread: minute, Answer: minute}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			time.Sleep(50 * time.Millisecond)
			return
		}
		_ = BodyOf(r.Context()).Complete()
	})
	for range stalled {
		_, err := io.WriteString(dial(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1")
		require.NoError(t, err)
	}
	for range busy {
		conn := dial()
		go func() {
			response := make([]byte, 4096)
			for {
				if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					return
				}
				if _, err := conn.Read(response); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	require.Eventually(t, func() bool { return conns.bodies.unfinished() == stalled && conns.Len() == stalled+busy }, minute, time.Millisecond)
	time.Sleep(2 * timeToBegin) // the bodies are old enough to give way
	_ = dial()
	time.Sleep(500 * time.Millisecond)
	require.LessOrEqual(t, conns.Evicted(), int64(2))
}

// Guards against a refusal that a client which waits for 100 Continue gets only after the time for unread bodies.
func TestRefusalWaitsForABodyThatIsNotSent(t *testing.T) {
	_, dial := startServer(t, 2, Times{Unread: 2 * minute, Answer: minute}, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no", http.StatusUnauthorized)
	})
	conn := dial()
	_ = conn.SetDeadline(time.Now().Add(minute))
	status, _ := exchange(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n")
	require.Equal(t, http.StatusUnauthorized, status)
}
