package admission

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exchange sends text on a connection and returns the response and whether the connection is closed after it.
func exchange(t *testing.T, conn net.Conn, text string) (status int, closes bool) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode, response.Close
}

// Guards against connections that are held for good by a body that no handler reads and that stops short of its end.
func TestUnreadBodyThatStopsHoldsItsConnection(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		within  time.Duration // for the rest of the body
		evict   bool
		head    string
		body    string
		closes  bool
		hasBody bool
	}{
		{"whole body", time.Minute, false, "Content-Length: 9", "123456789", false, true},
		{"no body", time.Minute, false, "X: y", "", false, false},
		{"stops", 50 * time.Millisecond, false, "Content-Length: 9", "12345678", true, true},
		{"stops in a chunk", 50 * time.Millisecond, false, "Transfer-Encoding: chunked", "2\r\n1", true, true},
		{"stops and gives way", time.Minute, true, "Content-Length: 9", "12345678", true, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			b := NewBudget(100)
			notFound := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, scenario.hasBody, b.arriving.Len() == 1)
				w.WriteHeader(http.StatusNotFound)
			})
			server := httptest.NewServer(b.Guard(notFound, Times{Unread: scenario.within, Answer: time.Minute}))
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			if scenario.evict {
				go func() {
					for !b.EvictLongest(0) {
						time.Sleep(time.Millisecond)
					}
				}()
			}
			status, closes := exchange(t, conn, fmt.Sprintf("DELETE / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s", scenario.head, scenario.body))
			require.Equal(t, http.StatusNotFound, status)
			require.Equal(t, scenario.closes, closes)
			require.Zero(t, b.Used())
		})
	}
}

// Guards against interruptions of requests whose bodies are complete.
func TestCompleteBodyIsNotInterrupted(t *testing.T) {
	b := NewBudget(100)
	server := httptest.NewServer(b.Guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.NoError(t, BodyOf(r.Context()).Complete())
		require.False(t, b.EvictLongest(0))
		require.NoError(t, r.Context().Err())
	}), Times{Unread: time.Minute, Answer: time.Minute}))
	t.Cleanup(server.Close)
	response, err := http.Post(server.URL, "text/plain", strings.NewReader("whole"))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}
