package jobapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
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

// site is a configuration in force and a dispatcher, which records on whose behalf requests are made, behind a server.
type site struct {
	t       *testing.T
	table   *cache.RouteTable
	age     time.Duration
	old     bool // the copy can't be confirmed
	callers []workspace.Caller
	handler *Handler
	server  *httptest.Server
	logs    *observer.ObservedLogs
	result  leader.Result // of every request
}

func (s *site) Config() *cache.RouteTable    { return s.table }
func (s *site) Age() time.Duration           { return s.age }
func (s *site) Confirm(context.Context) bool { return !s.old }

func (s *site) record(caller workspace.Caller) leader.Result {
	s.callers = append(s.callers, caller)
	return s.result
}

func (s *site) Submit(_ context.Context, _ work.ID, _ work.Queue, job work.Job, _ time.Duration) leader.Result {
	return s.record(workspace.Of(job.Workspace))
}

func (s *site) Cancel(_ context.Context, _ work.ID, _ work.Queue, c workspace.Caller) leader.Result {
	return s.record(c)
}

func (s *site) State(_ context.Context, _ work.ID, _ work.Queue, c workspace.Caller) leader.Result {
	return s.record(c)
}

func (s *site) Pending(context.Context, work.Queue) leader.Result {
	return s.record(workspace.Caller{})
}

// newSite returns a site with the workspace a, whose key is k1.
func newSite(t *testing.T, opts ...Option) *site {
	core, logs := observer.New(zap.DebugLevel)
	s := &site{t: t, logs: logs}
	s.configure(platform.Workspace{Name: "a", Keys: []string{"k1"}})
	s.handler = New(s, s, zap.New(core), opts...)
	s.server = httptest.NewServer(s.handler)
	t.Cleanup(s.server.Close)
	return s
}

func (s *site) configure(workspaces ...platform.Workspace) {
	routes := []platform.Route{{Host: "h", Prefix: "/q/"}, {Host: "h", Prefix: "/p/", Public: true}}
	s.table = cache.NewRouteTable(platform.Config{Version: 1, Routes: routes, Workspaces: workspaces}, workspace.NewSecret())
}

const (
	keyed  = "/q/0123456789abcdef"
	public = "/p/0123456789abcdef"
)

// request sends a request, with an Authorization header unless auth is empty, and checks the status.
func (s *site) request(status int, method, path, auth string) (*http.Response, string) {
	s.t.Helper()
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
	require.Equal(s.t, status, resp.StatusCode)
	return resp, string(body)
}

// A request without a valid key must not reach a job, and the response must not tell keys that nearly fit from others.
func TestRequestsWithoutAValidKeyAreAllRefusedAlike(t *testing.T) {
	s := newSite(t)
	texts := map[string]bool{}
	for _, auth := range []string{"", "k1", "Bearer k2"} {
		for _, method := range []string{"POST", "GET", "DELETE", "PUT"} {
			for _, path := range []string{keyed, "/q/"} {
				resp, body := s.request(http.StatusUnauthorized, method, path, auth)
				texts[fmt.Sprint(resp.Header["Www-Authenticate"], resp.Header["Content-Type"], body)] = true
			}
		}
	}
	require.Equal(t, map[string]bool{"[Bearer] [application/problem+json]" + unauthorized: true}, texts)
	require.Empty(t, s.callers)
	require.Equal(t, map[string]int64{"missing": 8, "malformed": 8, "unknown": 8}, s.handler.KeyRefusals.Snapshot())
	s.request(http.StatusNotFound, "GET", "/unknown/", "")
	for _, entry := range s.logs.All() {
		require.NotContains(t, fmt.Sprint(entry.ContextMap()), "k2")
	}
}

// The key of an open connection is withdrawn while requests go on: what was checked for an earlier request on the same
// connection must not count.
func TestWithdrawnKeyIsRefusedAtTheNextRequestOnTheConnection(t *testing.T) {
	s := newSite(t)
	for _, method := range []string{"POST", "GET", "DELETE"} {
		s.request(http.StatusOK, method, keyed, "Bearer k1")
		require.Equal(t, workspace.Of("a"), s.callers[len(s.callers)-1])
	}
	s.configure(platform.Workspace{Name: "a", Keys: []string{"k2"}})
	s.request(http.StatusUnauthorized, "GET", keyed, "Bearer k1")
	s.request(http.StatusOK, "GET", keyed, "Bearer k2")
}

// A public route must not refuse a caller for its key nor give its job to a workspace, but must not strand the jobs that a
// workspace submitted before. Without workspaces no key is looked at, as before there were any.
func TestRequestsThatNeedNoKey(t *testing.T) {
	s := newSite(t, WithRevocation(true, time.Second))
	for _, auth := range []string{"", "Bearer wrong", "Bearer k1"} {
		s.request(http.StatusOK, "POST", public, auth)
		s.request(http.StatusOK, "GET", public, auth)
	}
	s.configure()
	s.age = time.Hour
	s.request(http.StatusOK, "GET", keyed, "Basic x")
	nobody := workspace.Of("")
	require.Equal(t, []workspace.Caller{nobody, nobody, nobody, nobody, nobody, workspace.Of("a"), workspace.Anyone()}, s.callers)
}

// A daemon that is cut off from the store must not serve by keys that may be withdrawn, where the operator demands that,
// and must not refuse a submission as if no try of it were stored. Elsewhere an outage of the store must not stop callers.
func TestOldConfiguration(t *testing.T) {
	s, lenient := newSite(t, WithRevocation(true, 5*time.Second)), newSite(t, WithRevocation(false, 5*time.Second))
	s.age, lenient.age = 6*time.Second, time.Hour
	for method, want := range map[string]int{"POST": http.StatusGatewayTimeout, "DELETE": http.StatusGatewayTimeout, "GET": http.StatusServiceUnavailable} {
		resp, _ := s.request(want, method, keyed, "Bearer k1")
		require.Equal(t, "1", resp.Header.Get("Retry-After"))
		require.True(t, resp.Close)
		lenient.request(http.StatusOK, method, keyed, "Bearer k1")
	}
	require.Empty(t, s.callers)
	s.request(http.StatusOK, "GET", public, "")
}

// A daemon that can't confirm its copy of the configuration must not refuse a key or a queue for good that was added since.
func TestKeyOrQueueAddedSinceLastConfirmationIsRefused(t *testing.T) {
	s := newSite(t)
	s.old = true
	for method, want := range map[string]int{"POST": http.StatusGatewayTimeout, "DELETE": http.StatusGatewayTimeout, "GET": http.StatusServiceUnavailable} {
		for _, path := range []string{keyed, "/added/0123456789abcdef"} {
			resp, _ := s.request(want, method, path, "Bearer added")
			require.Equal(t, "1", resp.Header.Get("Retry-After"), path)
			require.True(t, resp.Close, "another daemon may know them")
		}
		s.request(http.StatusOK, method, keyed, "Bearer k1")
		s.request(http.StatusUnauthorized, method, keyed, "")
	}
}
