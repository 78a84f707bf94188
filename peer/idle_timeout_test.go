package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// A client that vanishes without closing its connection must not permanently occupy one of the limited number of
// sessions.
func TestServerClosesIdleSessions(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(Identity{Instance: "b"}, &pingHandler{}, zap.NewNop(), WithIdle(50*time.Millisecond))
	done := make(chan struct{})
	go func() { _ = server.Serve(ctx, listener); close(done) }()
	const clients = 5
	for range clients {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
	}
	openConns := func() int {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.conns)
	}
	require.Eventually(t, func() bool { return openConns() == clients }, waitTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return openConns() == 0 }, waitTimeout, time.Millisecond)
	cancel()
	<-done
}
