package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/record"
	"gypsumlead/runner"
)

// oneService routes the service "texts" to the pool "p".
type oneService struct{}

func (oneService) Route(service string) (record.Service, string, bool) {
	svc := record.Service{Pool: "p", Works: []record.Work{{Name: "notice"}, {Name: "lookup", Idempotent: true}}}
	return svc, "p", service == "texts"
}

// serveTCP starts an entry in front of h on loopback and returns its URL.
func serveTCP(t testing.TB, h http.Handler, opts ...Option) string {
	up := httptest.NewServer(h)
	t.Cleanup(up.Close)
	fleet := runner.NewFleet(runner.WithZone("c1", "r1"))
	t.Cleanup(fleet.Close)
	addr := netip.MustParseAddrPort(up.Listener.Addr().String())
	fleet.Update([]runner.Target{{Pool: "p", Instance: backing.Instance{ID: "u1", Boot: "b1", Addr: addr, Centre: "c1"}}})
	opts = append(opts, WithBreach(func(err error) { t.Error(err) }))
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = NewServer(New(oneService{}, fleet, opts...))
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.URL
}

func TestRequestsPassThroughWhole(t *testing.T) {
	url := serveTCP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Method", r.Method)
		w.Header().Set("X-Connection", r.Header.Get("Connection")+r.Header.Get("X-Hop"))
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(body)
	}))
	for _, tc := range []struct {
		name   string
		method string
		size   int
	}{
		{"no body", "GET", 0},
		{"small", "POST", 10},
		{"exactly the buffer", "POST", bufferDefault},
		{"one more", "POST", bufferDefault + 1},
		{"streamed", "PUT", 3 << 20},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				body := strings.Repeat("x", tc.size)
				req, err := http.NewRequestWithContext(t.Context(), tc.method, url+"/texts/a?b=c", strings.NewReader(body))
				require.NoError(t, err)
				if chunked {
					req.ContentLength = -1
				}
				req.Header.Set("Connection", "X-Hop")
				req.Header.Set("X-Hop", "1")
				resp, err := http.DefaultClient.Do(req)
				require.NoError(t, err)
				defer resp.Body.Close()
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, http.StatusAccepted, resp.StatusCode, "%.300s", got)
				require.Equal(t, tc.method, resp.Header.Get("X-Method"))
				require.Empty(t, resp.Header.Get("X-Connection"))
				require.Equal(t, "ran", resp.Header.Get(fault.HeaderOutcome))
				require.Equal(t, len(body), len(got))
				require.Equal(t, body, string(got))
			})
		}
	}
}

func TestFaultsBeforeSending(t *testing.T) {
	ran := 0
	url := serveTCP(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }), WithBodyLimit(100), WithKeyedLimit(10))
	for _, tc := range []struct {
		name   string
		path   string
		header http.Header
		body   string
		kind   fault.Kind
	}{
		{"no such service", "/mail/", nil, "", fault.Missing},
		{"no such work", "/texts/", http.Header{HeaderWork: {"x"}}, "", fault.Invalid},
		{"bad timeout", "/texts/", http.Header{HeaderTimeout: {"-1"}}, "", fault.Invalid},
		{"too large", "/texts/", nil, strings.Repeat("x", 101), fault.TooLarge},
		{"keyed without a caller", "/texts/", http.Header{HeaderKey: {"k"}}, "", fault.Unauthorized},
		{"keyed and too large", "/texts/", http.Header{HeaderKey: {"k"}, HeaderCaller: {"c"}}, "12345678901", fault.TooLarge},
		{"keyed without a table", "/texts/", http.Header{HeaderKey: {"k"}, HeaderCaller: {"c"}}, "", fault.StoreDown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), "POST", url+tc.path, strings.NewReader(tc.body))
			require.NoError(t, err)
			req.Header = tc.header.Clone()
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, tc.kind.String(), resp.Header.Get(fault.HeaderKind))
			require.Equal(t, "notrun", resp.Header.Get(fault.HeaderOutcome))
		})
	}
	require.Zero(t, ran)
}

func TestNoRunnerMeansNotRun(t *testing.T) {
	fleet := runner.NewFleet(runner.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
		return nil, io.ErrClosedPipe
	}))
	defer fleet.Close()
	e := New(oneService{}, fleet)
	fleet.Update([]runner.Target{{Pool: "p", Instance: backing.Instance{ID: "u1", Boot: "b1", Addr: netip.MustParseAddrPort("10.0.0.1:80")}}})
	req := httptest.NewRequest("POST", "/texts/", strings.NewReader("a"))
	req.Header.Set(HeaderTimeout, "50")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, req)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "notrun", w.Header().Get(fault.HeaderOutcome))
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}
