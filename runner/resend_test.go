package runner

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// TestNetHTTPSendsAgainAndFleetDoesNot shows why the fleet owns its connections: an upstream
// that takes a request on a reused connection and closes it has got the request, perhaps run it.
func TestNetHTTPSendsAgainAndFleetDoesNot(t *testing.T) {
	for _, tc := range []struct {
		name string
		body string
	}{{"keyed, no body", ""}, {"keyed, with GetBody", "text"}} {
		t.Run(tc.name, func(t *testing.T) {
			var ran atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/kill" {
					return
				}
				ran.Add(1)
				c, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_ = c.Close()
				}
			}))
			defer srv.Close()

			client := &http.Client{Transport: &http.Transport{}}
			resp, err := client.Get(srv.URL)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			req, err := http.NewRequest("POST", srv.URL+"/kill", bytes.NewReader([]byte(tc.body)))
			require.NoError(t, err)
			req.Header.Set("Idempotency-Key", "k")
			_, err = client.Do(req)
			require.Error(t, err)
			require.EqualValues(t, 2, ran.Swap(0), "sent by net/http's pool")

			f := NewFleet()
			defer f.Close()
			addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
			f.Update([]Target{{Pool: "p", Instance: backing.Instance{ID: "u", Boot: "b", Addr: addr}}})
			_, err = exchangeAll(t.Context(), f, request("", 0))
			require.NoError(t, err)
			_, err = exchangeAll(t.Context(), f, &Request{
				Method: "POST",
				URL:    &url.URL{Path: "/kill"},
				Header: http.Header{"Idempotency-Key": {"k"}},
				Body:   []byte(tc.body),
				Length: int64(len(tc.body)),
			})
			require.True(t, fault.Is(err, fault.Broken), "%v", err)
			require.EqualValues(t, 1, f.Stats().Reuses)
			require.EqualValues(t, 1, ran.Load(), "sent by the fleet")
		})
	}
}
