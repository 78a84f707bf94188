package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/peer/wire"
)

const waitTimeout = 30 * time.Second

// pingHandler answers pings and rejects other requests.
type pingHandler struct{ pings atomic.Int64 }

func (h *pingHandler) ServePeer(_ context.Context, _ Identity, req *wire.Request) (*wire.Response, error) {
	if p := req.GetPing(); p != nil {
		h.pings.Add(1)
		return &wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{}}}, nil
	}
	return nil, fault.New(fault.Missing, "not found")
}

// lossyConn is a connection that silently discards everything written once lost is set, as when a middlebox has
// dropped its state.
type lossyConn struct {
	net.Conn
	lost *atomic.Bool
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.lost.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func TestMesh(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := &pingHandler{}
	server := NewServer(Identity{Instance: "b", Centre: "c"}, handler, zap.NewNop())
	done := make(chan struct{}, 2)
	go func() { _ = server.Serve(ctx, listener); done <- struct{}{} }()

	var newest atomic.Pointer[atomic.Bool]
	var dials atomic.Int64
	dial := func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		c, err := DialTCP(ctx, addr)
		lost := &atomic.Bool{}
		newest.Store(lost)
		dials.Add(1)
		return &lossyConn{c, lost}, err
	}
	mesh := NewMesh(Identity{Instance: "a", Centre: "c"}, zap.NewNop(), WithPing(10*time.Millisecond), WithDial(dial))
	go func() { _ = mesh.Run(ctx); done <- struct{}{} }()
	mesh.SetTargets([]Target{{Instance: "b", Addr: netip.MustParseAddrPort(listener.Addr().String()), Centre: "c"}})

	connected := func() bool { return len(mesh.Peers()) == 1 }
	require.Eventually(t, connected, waitTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return handler.pings.Load() >= 2 }, waitTimeout, time.Millisecond)
	_, err = mesh.Call(ctx, "b", &wire.Request{Body: &wire.Request_Report{Report: &wire.Report{}}})
	require.True(t, fault.Is(err, fault.Missing), "the error of a peer keeps its kind: %v", err)
	_, err = mesh.Call(ctx, "nobody", &wire.Request{})
	require.True(t, fault.Is(err, fault.NoUpstream), "%v", err)

	// The open connection goes silent while new ones work: the mesh replaces the session.
	newest.Load().Store(true)
	require.Eventually(t, func() bool { return dials.Load() >= 2 && connected() }, waitTimeout, time.Millisecond)

	// The session of a removed target is closed.
	mesh.SetTargets(nil)
	require.Eventually(t, func() bool { return len(mesh.Peers()) == 0 }, waitTimeout, time.Millisecond)
	cancel()
	<-done
	<-done
}

// A session whose connection goes silent while new ones work must not hold up calls until its pings fail.
func TestSilentSessionHoldsUpCallsUntilItsPingsFail(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(Identity{Instance: "b", Centre: "c"}, &pingHandler{}, zap.NewNop())
	done := make(chan struct{}, 2)
	go func() { _ = server.Serve(ctx, listener); done <- struct{}{} }()
	var lost atomic.Bool // of the first connection
	var dials atomic.Int64
	dial := func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		c, err := DialTCP(ctx, addr)
		if dials.Add(1) == 1 {
			c = &lossyConn{c, &lost}
		}
		return c, err
	}
	mesh := NewMesh(Identity{Instance: "a", Centre: "c"}, zap.NewNop(), WithPing(time.Hour), WithDial(dial))
	go func() { _ = mesh.Run(ctx); done <- struct{}{} }()
	mesh.SetTargets([]Target{{Instance: "b", Addr: netip.MustParseAddrPort(listener.Addr().String()), Centre: "c"}})
	answered := func() bool {
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := mesh.Call(ctx, "b", &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}})
		return err == nil
	}
	require.Eventually(t, answered, waitTimeout, time.Millisecond)
	lost.Store(true)
	require.Never(t, answered, 300*time.Millisecond, 50*time.Millisecond)
	require.Eventually(t, answered, waitTimeout, time.Millisecond)
	require.EqualValues(t, 2, dials.Load())
	cancel()
	<-done
	<-done
}
