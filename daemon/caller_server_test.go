package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/admission"
	"gypsumlead/settings"
)

// testTimes are the times of a shutdown, in the proportions of those of a daemon.
var testTimes = shutdownTimes{drained: 500 * time.Millisecond, ended: 800 * time.Millisecond, closed: 1200 * time.Millisecond}

// startCallerServer returns a callerServer on a real listener. Its requests take as long as their path says, or until they are
// ended.
func startCallerServer(t *testing.T) *callerServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		takes, _ := time.ParseDuration(r.URL.Path[1:])
		select {
		case <-time.After(takes):
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}), listener, admission.NewConnections(100, admission.NewBudget(0)), zap.NewNop())
	go func() { _ = s.serve() }()
	return s
}

// Guards against requests that are sent to a daemon after its signal to shut down, on connections that it has accepted, and
// get neither an answer nor a refusal.
func TestEveryRequestOfADaemonThatShutsDownIsAnswered(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		used   bool          // the connection has been used before
		sentAt time.Duration // after the signal
		takes  time.Duration
		want   int
	}{
		{"served while the daemon drains", true, 100 * time.Millisecond, 50 * time.Millisecond, http.StatusOK},
		{"served after that", true, 400 * time.Millisecond, 300 * time.Millisecond, http.StatusOK},
		{"sent early, takes too long", true, 50 * time.Millisecond, time.Minute, http.StatusGatewayTimeout},
		{"sent last, takes too long", true, 450 * time.Millisecond, time.Minute, http.StatusGatewayTimeout},
		{"sent on a connection that was only opened, takes too long", false, 480 * time.Millisecond, time.Minute, http.StatusGatewayTimeout},
		{"sent late on a connection that was only opened", false, 700 * time.Millisecond, time.Minute, http.StatusGatewayTimeout},
		{"sent after the requests were ended", false, 900 * time.Millisecond, time.Minute, http.StatusGatewayTimeout},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			s := startCallerServer(t)
			conn, err := net.Dial("tcp", s.listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			if scenario.used {
				require.Equal(t, http.StatusOK, exchange(t, conn, 0))
			} else {
				// Until the server has accepted it: another connection, accepted later, is served.
				other, err := net.Dial("tcp", s.listener.Addr().String())
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, exchange(t, other, 0))
				require.NoError(t, other.Close())
			}
			begun := time.Now()
			var wg sync.WaitGroup
			wg.Go(func() { s.shutDown(begun, testTimes) })
			time.Sleep(scenario.sentAt)
			require.Equal(t, scenario.want, exchange(t, conn, scenario.takes))
			wg.Wait()
			require.Less(t, time.Since(begun), testTimes.closed+time.Second)
		})
	}
}

// exchange sends a request and returns the status of its answer.
func exchange(t *testing.T, conn net.Conn, takes time.Duration) int {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET /%v HTTP/1.1\r\nHost: h\r\n\r\n", takes)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against steps of the shutdown that come in another order, or after the time for shutting down.
func TestShutdownTimesFitIntoTheTimeForShuttingDown(t *testing.T) {
	for _, grace := range []time.Duration{5 * time.Second, 6 * time.Second, 30 * time.Second} {
		conf := settings.Defaults()
		conf.Bounds.ShutdownTime = grace
		times := shutdownTimesOf(conf)
		require.Less(t, times.drained, times.ended)
		require.Less(t, times.ended, times.closed)
		require.Less(t, times.closed, grace-time.Second)
	}
}
