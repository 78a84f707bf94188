package client

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// deaf takes each second request of a connection and closes the connection without an answer.
type deaf struct {
	srv   *httptest.Server
	asked atomic.Int64
	cut   atomic.Int64
}

func newDeaf(t *testing.T) *deaf {
	d := &deaf{}
	var seen sync.Map
	d.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.asked.Add(1)
		if _, old := seen.LoadOrStore(r.RemoteAddr, true); !old {
			_, _ = w.Write([]byte(`{}`))
			return
		}
		d.cut.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	t.Cleanup(d.srv.Close)
	return d
}

func (d *deaf) addr() netip.AddrPort {
	return netip.MustParseAddrPort(d.srv.Listener.Addr().String())
}

// TestCommitIsNeverSentAgain first shows that net/http does send such a request twice where it can.
func TestCommitIsNeverSentAgain(t *testing.T) {
	const rounds = 50
	base := newDeaf(t)
	h := &http.Client{Transport: &http.Transport{}}
	for range 2 * rounds {
		req, err := http.NewRequest(http.MethodPost, base.srv.URL, bytes.NewReader([]byte(`{}`)))
		require.NoError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		res, err := h.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}
	h.CloseIdleConnections()
	require.Greater(t, base.asked.Load(), int64(2*rounds), "the trial must provoke the second sending")

	d := newDeaf(t)
	c := New(d.addr())
	defer c.Close()
	failed := int64(0)
	for range 2 * rounds {
		err := c.Table.Commit(t.Context(), backing.Tx{Ops: []backing.Op{put("a", 0)}})
		if err != nil {
			require.True(t, fault.Is(err, fault.StoreDown), "%v", err)
			failed++
		}
	}
	require.EqualValues(t, 2*rounds, d.asked.Load())
	require.Equal(t, d.cut.Load(), failed)
	require.Positive(t, failed)
	t.Logf("net/http: %d asked, %d arrived; client: %d asked, %d arrived, %d cut", 2*rounds, base.asked.Load(), 2*rounds, d.asked.Load(), failed)
}
