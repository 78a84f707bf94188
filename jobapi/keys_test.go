package jobapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gypsumlead/cache"
	"gypsumlead/leader"
	"gypsumlead/platform"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// configured is a configuration in force, with its age.
type configured struct {
	table atomic.Pointer[cache.RouteTable]
	age   time.Duration
}

func (c *configured) Config() *cache.RouteTable { return c.table.Load() }
func (c *configured) Age() time.Duration        { return c.age }
func (c *configured) Confirm(context.Context)   {}

// set puts a configuration into force whose workspace a has the keys.
func (c *configured) set(keys ...string) {
	c.table.Store(cache.NewRouteTable(platform.Config{
		Version:    1,
		Routes:     []platform.Route{{Host: "h", Prefix: "/q/"}, {Host: "h", Prefix: "/p/", Public: true}},
		Workspaces: []platform.Workspace{{Name: "a", Keys: keys}},
	}, workspace.NewSecret()))
}

// dispatched records on whose behalf requests were made.
type dispatched struct{ callers []workspace.Caller }

func (d *dispatched) Submit(_ context.Context, _ work.ID, _ work.Queue, job work.Job) leader.Result {
	d.callers = append(d.callers, workspace.Of(job.Workspace))
	return leader.Result{}
}

func (d *dispatched) Cancel(_ context.Context, _ work.ID, _ work.Queue, caller workspace.Caller) leader.Result {
	d.callers = append(d.callers, caller)
	return leader.Result{}
}

func (d *dispatched) State(_ context.Context, _ work.ID, _ work.Queue, caller workspace.Caller) leader.Result {
	d.callers = append(d.callers, caller)
	return leader.Result{}
}

func (d *dispatched) Pending(context.Context, work.Queue) leader.Result {
	d.callers = append(d.callers, workspace.Caller{})
	return leader.Result{}
}

// site is a handler behind a server to which one connection is open.
type site struct {
	t       *testing.T
	config  configured
	done    dispatched
	server  *httptest.Server
	handler *Handler
	logs    *observer.ObservedLogs
}

func newSite(t *testing.T, opts ...Option) *site {
	s := &site{t: t}
	core, logs := observer.New(zap.DebugLevel)
	s.logs = logs
	s.config.set("k1")
	s.handler = New(&s.config, &s.done, zap.New(core), opts...)
	s.server = httptest.NewServer(s.handler)
	t.Cleanup(s.server.Close)
	return s
}

const path = "/q/0123456789abcdef"

// request sends a request, with an Authorization header unless auth is empty.
func (s *site) request(method, path, auth string) (*http.Response, string) {
	req, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(`{"JobSteps":[{"Count":1}]}`))
	require.NoError(s.t, err)
	req.Host = "h"
	if auth != "" {
		req.Header.Set("Authorization", auth)
	}
	resp, err := s.server.Client().Do(req)
	require.NoError(s.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	require.NoError(s.t, resp.Body.Close())
	return resp, string(body)
}

// A request without a valid key must not reach a job, and the response must not tell keys that nearly fit from others.
func TestRequestsWithoutAValidKeyAreAllRefusedAlike(t *testing.T) {
	s := newSite(t)
	texts := map[string]bool{}
	for _, auth := range []string{"", "k1", "Bearer k2"} {
		for _, method := range []string{"POST", "GET", "DELETE", "PUT"} {
			for _, at := range []string{path, "/q/"} {
				resp, body := s.request(method, at, auth)
				require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
				require.Equal(t, "Bearer", resp.Header.Get("WWW-Authenticate"))
				require.Equal(t, "application/problem+json", resp.Header.Get("Content-Type"))
				texts[body] = true
			}
		}
	}
	require.Len(t, texts, 1)
	require.Empty(t, s.done.callers)
	require.Equal(t, map[string]int64{"missing": 8, "malformed": 8, "unknown": 8}, s.handler.KeyRefusals.Snapshot())
	resp, _ := s.request("GET", "/unknown/", "")
	require.Equal(t, http.StatusNotFound, resp.StatusCode, "an unknown route is found out before the key")
	for _, entry := range s.logs.All() {
		for _, value := range entry.ContextMap() {
			require.NotContains(t, value, "k2")
		}
	}
}

// The key of an open connection is withdrawn while requests go on: what was checked for an earlier request on the same
// connection must not count.
func TestWithdrawnKeyIsRefusedAtTheNextRequestOnTheConnection(t *testing.T) {
	s := newSite(t)
	for _, method := range []string{"POST", "GET", "DELETE"} {
		resp, _ := s.request(method, path, "Bearer k1")
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.Equal(t, []workspace.Caller{workspace.Of("a"), workspace.Of("a"), workspace.Of("a")}, s.done.callers)
	s.config.set("k2")
	resp, _ := s.request("GET", path, "Bearer k1")
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	resp, _ = s.request("GET", path, "Bearer k2")
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// A public route must not refuse a caller for its key nor give its job to a workspace, but must not strand the jobs that a
// workspace submitted before the route became public.
func TestPublicRoute(t *testing.T) {
	s := newSite(t)
	for _, auth := range []string{"", "Bearer wrong", "Bearer k1"} {
		for _, method := range []string{"POST", "GET"} {
			resp, _ := s.request(method, "/p/0123456789abcdef", auth)
			require.Equal(t, http.StatusOK, resp.StatusCode)
		}
	}
	nobody := workspace.Of("")
	require.Equal(t, []workspace.Caller{nobody, nobody, nobody, nobody, nobody, workspace.Of("a")}, s.done.callers)
}

// A daemon that is cut off from the store must not serve by keys that may be withdrawn, where the operator demands that,
// and must not refuse a submission as if no try of it were stored.
func TestOldConfigurationWithStrictRevocation(t *testing.T) {
	s := newSite(t, WithRevocation(true, 5*time.Second))
	s.config.age = 6 * time.Second
	for method, want := range map[string]int{"POST": http.StatusGatewayTimeout, "DELETE": http.StatusGatewayTimeout, "GET": http.StatusServiceUnavailable} {
		resp, _ := s.request(method, path, "Bearer k1")
		require.Equal(t, want, resp.StatusCode)
		require.Equal(t, "1", resp.Header.Get("Retry-After"))
		require.True(t, resp.Close)
	}
	resp, _ := s.request("GET", "/p/0123456789abcdef", "")
	require.Equal(t, http.StatusOK, resp.StatusCode, "a public route needs no key")
	require.Len(t, s.done.callers, 1)
	lenient := newSite(t, WithRevocation(false, 5*time.Second))
	lenient.config.age = time.Hour
	resp, _ = lenient.request("GET", path, "Bearer k1")
	require.Equal(t, http.StatusOK, resp.StatusCode, "an outage of the store must not stop callers")
}

// Callers of a site whose configuration has no workspaces may send any Authorization header, as before.
func TestNoKeyIsLookedAtWithoutWorkspaces(t *testing.T) {
	s := newSite(t, WithRevocation(true, time.Second))
	s.config.table.Store(cache.NewRouteTable(platform.Config{Routes: []platform.Route{{Host: "h", Prefix: "/q/"}}}, workspace.NewSecret()))
	s.config.age = time.Hour
	resp, _ := s.request("GET", path, "Basic x")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, []workspace.Caller{workspace.Anyone()}, s.done.callers)
}
