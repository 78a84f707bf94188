package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestSilentSessionsEnd opens connections whose other end has vanished without a word: they must
// not hold the server's room for sessions for good.
func TestSilentSessionsEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(Identity{Instance: "b"}, &echo{}, zap.NewNop(), WithIdle(50*time.Millisecond))
	done := make(chan struct{})
	go func() { _ = s.Serve(ctx, l); close(done) }()
	const silent = 5
	for range silent {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
	}
	open := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns)
	}
	require.Eventually(t, func() bool { return open() == silent }, patience, time.Millisecond)
	require.Eventually(t, func() bool { return open() == 0 }, patience, time.Millisecond)
	cancel()
	<-done
}
