package client

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

var anyAddr = netip.MustParseAddrPort("127.0.0.1:1")

// serve returns a client of h over pipes, so that both work on virtual time.
func serve(t *testing.T, h http.Handler) *Client {
	t.Helper()
	l := standin.NewPipes(anyAddr)
	srv := &http.Server{Handler: h}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	c := New(anyAddr, WithDial(l.Dial))
	t.Cleanup(func() {
		c.Close()
		_ = srv.Close()
		<-done
	})
	return c
}

func put(key string, ifVersion int64) backing.Put {
	return backing.Put{Key: key, IfVersion: ifVersion, Value: json.RawMessage(`{"a":1}`)}
}

func TestServicesOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := standin.New()
		c := serve(t, p.Handler())
		require.NoError(t, c.Table.Commit(ctx, backing.Tx{Ops: []backing.Op{put("a", 0), put("b", 0), backing.Check{Key: "c"}}}))
		rows, err := c.Table.Read(ctx, "b", "c")
		require.NoError(t, err)
		require.Equal(t, []backing.Row{{Key: "b", Version: 1, Value: json.RawMessage(`{"a":1}`)}, {Key: "c"}}, rows)
		rows, err = c.Table.Scan(ctx, "", "a", 5)
		require.NoError(t, err)
		require.Len(t, rows, 1)
		require.NoError(t, c.Table.Commit(ctx, backing.Tx{Ops: []backing.Op{backing.Delete{Key: "b", IfVersion: 1}}}))

		require.NoError(t, c.Objects.Put(ctx, "o/1", []byte{0, 255}))
		data, err := c.Objects.Get(ctx, "o/1")
		require.NoError(t, err)
		require.Equal(t, []byte{0, 255}, data)
		names, err := c.Objects.List(ctx, "o/")
		require.NoError(t, err)
		require.Equal(t, []string{"o/1"}, names)

		w := backing.Worker{Instance: backing.Instance{ID: "w1", Addr: anyAddr}, Total: backing.Size{Memory: 9}}
		p.PutWorker(w)
		require.NoError(t, c.Workers.Start(ctx, backing.Task{ID: "t", Worker: "w1", Boot: "w1-1", Until: time.Now().Add(time.Hour)}))
		require.NoError(t, c.Workers.Act(ctx, "t", 0, backing.ActRenew, time.Now().Add(time.Hour)))
		reports, err := c.Workers.Reports(ctx, "w1")
		require.NoError(t, err)
		require.Equal(t, backing.TaskRunning, reports[0].State)
		workers, err := c.Workers.Workers(ctx)
		require.NoError(t, err)
		require.Equal(t, w.Total, workers[0].Total)
		require.NoError(t, c.Instances.Drain(ctx, "w1", "w1-1"))
		require.NoError(t, c.Instances.Reboot(ctx, backing.Reboot{Instance: "w1", Boot: "w1-1"}))
		list, err := c.Instances.List(ctx)
		require.NoError(t, err)
		require.Equal(t, "w1-2", list[0].Boot)
		require.Equal(t, anyAddr, list[0].Addr)
	})
}

func TestFaultsOverHTTP(t *testing.T) {
	for _, tc := range []struct {
		name string
		f    standin.Faults
		do   func(ctx context.Context, c *Client) error
		want fault.Kind
	}{
		{"conflict", standin.Faults{}, func(ctx context.Context, c *Client) error {
			return c.Table.Commit(ctx, backing.Tx{Ops: []backing.Op{put("a", 3)}})
		}, fault.Conflict},
		{"missing object", standin.Faults{}, func(ctx context.Context, c *Client) error {
			_, err := c.Objects.Get(ctx, "none")
			return err
		}, fault.Missing},
		{"fenced reboot", standin.Faults{}, func(ctx context.Context, c *Client) error {
			return c.Instances.Reboot(ctx, backing.Reboot{Instance: "r1", Boot: "old"})
		}, fault.Fenced},
		{"invalid value", standin.Faults{}, func(ctx context.Context, c *Client) error {
			return c.Table.Commit(ctx, backing.Tx{Ops: []backing.Op{put("", 0)}})
		}, fault.Invalid},
		{"down", standin.Faults{Down: true}, readA, fault.StoreDown},
		{"frozen", standin.Faults{Freeze: true}, readA, fault.StoreDown},
		{"too slow", standin.Faults{Slow: time.Minute}, readA, fault.StoreDown},
		{"answer lost", standin.Faults{Lose: 1}, func(ctx context.Context, c *Client) error {
			return c.Table.Commit(ctx, backing.Tx{Ops: []backing.Op{put("a", 0)}})
		}, fault.StoreDown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := standin.New()
				p.PutInstance(backing.Instance{ID: "r1"})
				p.SetFaults(tc.f)
				c := serve(t, p.Handler())
				err := tc.do(t.Context(), c)
				require.Equal(t, tc.want, fault.KindOf(err), "%v", err)
			})
		})
	}
}

func readA(ctx context.Context, c *Client) error {
	_, err := c.Table.Read(ctx, "a")
	return err
}

// TestStrangeAnswersLeaveTheOutcomeOpen answers a commit by what no platform should answer.
func TestStrangeAnswersLeaveTheOutcomeOpen(t *testing.T) {
	for _, tc := range []struct {
		name string
		h    http.HandlerFunc
	}{
		{"404 of another server", func(w http.ResponseWriter, r *http.Request) { http.NotFound(w, r) }},
		{"409 without a kind", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }},
		{"kind that doesn't go with the status", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
			_, _ = w.Write([]byte(`{"kind":"conflict"}`))
		}},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) }},
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{}`))
		}},
		{"no JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`<html>`)) }},
		{"two messages", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}{}`)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := serve(t, tc.h)
				err := c.Table.Commit(t.Context(), backing.Tx{Ops: []backing.Op{put("a", 0)}})
				require.True(t, fault.Is(err, fault.StoreDown), "%v", err)
			})
		})
	}
}

// TestSilentConnectionsCostOneTimeout silences all connections that are open: one call fails, the next works.
func TestSilentConnectionsCostOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		var mu sync.Mutex
		var conns []*silentConn
		l := standin.NewPipes(anyAddr)
		srv := &http.Server{Handler: p.Handler()}
		done := make(chan error, 1)
		go func() { done <- srv.Serve(l) }()
		c := New(anyAddr, WithTimeout(time.Second), WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := l.Dial(ctx, network, addr)
			s := &silentConn{Conn: conn}
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, s)
			return s, err
		}))
		p.SetFaults(standin.Faults{Slow: 100 * time.Millisecond})
		failed := make(chan error, 5)
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() { failed <- readA(t.Context(), c) })
		}
		wg.Wait()
		for range 5 {
			require.NoError(t, <-failed)
		}
		require.Len(t, conns, 5)
		for _, s := range conns {
			s.silent.Store(true)
		}
		began := time.Now()
		require.True(t, fault.Is(readA(t.Context(), c), fault.StoreDown))
		require.NoError(t, readA(t.Context(), c))
		require.Equal(t, 1100*time.Millisecond, time.Since(began))
		c.Close()
		_ = srv.Close()
		<-done
	})
}

// silentConn takes what is written and delivers it nowhere once it is silent.
type silentConn struct {
	net.Conn

	silent atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
