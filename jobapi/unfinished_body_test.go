package jobapi

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/admission"
)

// Guards against unfinished bodies that are submitted, or refused although an earlier try of the same job may have been stored.
func TestUnfinishedBodyIsNeitherSubmittedNorRefused(t *testing.T) {
	for _, scenario := range []struct {
		name     string
		bodyTime time.Duration
		evict    bool
		why      string
	}{
		{"gives way", time.Minute, true, "memory"},
		{"takes too long", 50 * time.Millisecond, false, "time"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newSite(t, WithBodyTime(scenario.bodyTime))
			budget := admission.NewBudget(1 << 20)
			server := httptest.NewServer(budget.Guard(s.handler, admission.Times{Unread: time.Minute, Answer: time.Minute}))
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, "POST /p/00000000000000aa HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
			require.NoError(t, err)
			if scenario.evict {
				require.Eventually(t, func() bool { return budget.Used() > 0 }, 30*time.Second, time.Millisecond)
				require.True(t, budget.EvictLongest(0))
			}
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
			require.Equal(t, "1", response.Header.Get("Retry-After"))
			require.True(t, response.Close)
			require.Empty(t, s.callers)
			require.EqualValues(t, 1, s.handler.BodyRefusals.Snapshot()[scenario.why])
		})
	}
}

// Guards against connections that are held for good, and can't give way, by a body that is too large and stops short of its end.
func TestTooLargeBodyThatStopsHoldsItsConnection(t *testing.T) {
	for _, scenario := range []struct{ name, head, chunk string }{
		{"announced", "Content-Length: 300000", ""},
		{"in chunks", "Transfer-Encoding: chunked", "493e0\r\n"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newSite(t, WithBodyTime(time.Minute))
			budget := admission.NewBudget(1 << 20)
			server := httptest.NewServer(budget.Guard(s.handler, admission.Times{Unread: time.Minute, Answer: time.Minute}))
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, "POST /p/00000000000000aa HTTP/1.1\r\nHost: h\r\n"+scenario.head+"\r\n\r\n"+scenario.chunk+strings.Repeat(" ", defaultMaxBody+1000))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.handler.Counts.Snapshot()["413"] == 1 }, 30*time.Second, time.Millisecond)
			require.True(t, budget.EvictLongest(0))
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
			require.True(t, response.Close)
		})
	}
}

// Guards against a 200, which means that the job is stored, for a submission whose body is broken.
func TestSubmissionWithBrokenBodyIsAccepted(t *testing.T) {
	for _, scenario := range []struct{ name, head, body string }{
		{"shorter than announced", "Content-Length: 100", "{"},
		{"chunk without a size", "Transfer-Encoding: chunked", "size\r\n"},
		{"chunk that ends early", "Transfer-Encoding: chunked", "9\r\n{"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := newSite(t)
			conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, "POST /p/00000000000000aa HTTP/1.1\r\nHost: h\r\n"+scenario.head+"\r\n\r\n"+scenario.body)
			require.NoError(t, err)
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
			answer, err := io.ReadAll(conn)
			require.NoError(t, err)
			require.Empty(t, string(answer), "the connection is closed without a response")
			require.Empty(t, s.callers)
		})
	}
}
