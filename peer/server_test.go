package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// failingListener fails to accept the first connections, as when the process has no descriptor left.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// An error of Serve ends the daemon.
func TestFailureToAcceptPeerEndsServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	server := NewServer(Identity{Instance: "b"}, &pingHandler{}, zap.NewNop())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, &failingListener{listener, 3}) }()

	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.conns) == 1
	}, 5*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}
