package api

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/api/oas"
	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/journal"
	"gypsumlead/settings"
)

const secret = "a-secret-of-the-test"

// bench is the operators' interface over a stand-in of the platform.
type bench struct {
	t       *testing.T
	url     string
	state   *journal.State
	reader  *journal.Reader
	refused []audit.Entry
}

func newBench(t *testing.T) *bench {
	p := standin.New()
	b := &bench{t: t, state: journal.NewState(), reader: journal.NewReader(p.Table, p.Objects)}
	h := NewHandler(Parts{
		State:  b.state,
		Writer: journal.NewWriter(p.Table),
		Table:  p.Table,
		Config: b,
		Trail:  b,
		Fleet:  b,
		Work: func(context.Context, string) ([]backing.Worker, error) {
			return []backing.Worker{{Total: backing.Size{Cores: 4, Memory: 1 << 30}}}, nil
		},
		Status: func() oas.Status { return oas.Status{Instance: "e1"} },
	})
	server, err := NewServer(h, NewGuard([]settings.Token{{Name: "maria", Secret: secret}}))
	require.NoError(t, err)
	ts := httptest.NewServer(server)
	t.Cleanup(ts.Close)
	b.url = ts.URL
	return b
}

func (b *bench) CatchUp(ctx context.Context) error { return b.reader.CatchUp(ctx, b.state) }

func (b *bench) Accepted(c journal.Change) {
	_, err := b.state.Apply(c)
	require.NoError(b.t, err)
}

func (b *bench) Read(context.Context, audit.Subject, time.Time, time.Time) ([]audit.Entry, error) {
	return b.refused, nil
}

func (b *bench) Refuse(_ context.Context, e audit.Entry) error {
	b.refused = append(b.refused, e)
	return nil
}

func (b *bench) Instances() []backing.Instance { return nil }

// ask sends a request and returns status and body.
func (b *bench) ask(method, path, id, token, body string) (int, string) {
	b.t.Helper()
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	require.NoError(b.t, err)
	req.Header.Set("Content-Type", "application/json")
	if id != "" {
		req.Header.Set("Change-Id", id)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(b.t, err)
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	require.NoError(b.t, err)
	return res.StatusCode, string(out)
}

func TestOperatorsInterface(t *testing.T) {
	b := newBench(t)
	const (
		pool    = "/v1/records/pool/texts"
		service = "/v1/records/service/notices"
		budget1 = `{"schema":2,"body":{"budget":{"out":1}}}`
		budget2 = `{"schema":2,"body":{"budget":{"out":2}}}`
	)
	for _, tc := range []struct {
		name, method, path, id, token, body string
		code                                int
		want                                string
	}{
		{"status needs no token", "GET", "/v1/status", "", "", "", 200, `"instance":"e1"`},
		{"reading needs a token", "GET", "/v1/records/pool", "", "", "", 401, `"unauthorized"`},
		{"a wrong token", "PUT", pool + "?version=0", "change-01", "no-such-token-at-all", budget1, 401, `"unauthorized"`},
		{"a new record", "PUT", pool + "?version=0", "change-01", secret, budget1, 200, `"version":1`},
		{"asked again after a lost answer", "PUT", pool + "?version=0", "change-01", secret, budget1, 200, `"version":1`},
		{"the ID for another change", "PUT", pool + "?version=1", "change-01", secret, budget2, 422, `"reused"`},
		{"on an old version", "PUT", pool + "?version=0", "change-02", secret, budget2, 409, `has version 1, not 0`},
		{"on the present version", "PUT", pool + "?version=1", "change-03", secret, budget2, 200, `"version":2`},
		{"without an ID", "PUT", pool + "?version=2", "", secret, budget2, 400, `"invalid"`},
		{"a bad record", "PUT", pool + "?version=2", "change-04", secret, `{"schema":2,"body":{"budget":{"out":-1}}}`, 400, `can't be negative`},
		{"no JSON", "PUT", pool + "?version=2", "change-05", secret, `{`, 400, `"invalid"`},
		{"too large", "PUT", pool + "?version=2", "change-06", secret, strings.Repeat(" ", bodyLimit+1), 400, `"invalid"`},
		{"no such kind", "GET", "/v1/records/colour", "", secret, "", 400, `"invalid"`},
		{"no such record", "GET", "/v1/records/pool/none", "", secret, "", 404, `"missing"`},
		{"what the system itself writes", "PUT", "/v1/records/member/i1?version=0", "change-07", secret, `{"schema":1,"body":{"pool":"texts"}}`, 400, `by a move`},
		{"a service of no pool", "PUT", service + "?version=0", "change-08", secret, `{"schema":1,"body":{"pool":"none","works":[{"name":"a"}]}}`, 404, `make it first`},
		{"a service", "PUT", service + "?version=0", "change-09", secret, `{"schema":1,"body":{"pool":"texts","works":[{"name":"a"}]}}`, 200, `"version":3`},
		{"a pool in use", "DELETE", pool + "?version=2", "change-10", secret, "", 409, `change or delete that first`},
		{"delete the service", "DELETE", service + "?version=3", "change-11", secret, "", 200, `"seq":4`},
		{"delete the pool", "DELETE", pool + "?version=2", "change-12", secret, "", 200, `"seq":5`},
		{"a pool of workers", "PUT", "/v1/records/pool/batch?version=0", "change-14", secret, budget1, 200, `"version":6`},
		{"a team", "PUT", "/v1/records/team/stock?version=0", "change-15", secret, `{"schema":1,"body":{"quotas":[{"cores":8,"memory":8000000000}]}}`, 200, `"version":7`},
		{"a job of no team", "PUT", "/v1/records/job/a?version=0", "change-16", secret, `{"schema":1,"body":{"team":"none","pool":"batch","count":1,"size":{"cores":1,"memory":1000}}}`, 404, `no team/none`},
		{"a job that can never run", "PUT", "/v1/records/job/a?version=0", "change-17", secret, `{"schema":1,"body":{"team":"stock","pool":"batch","count":1,"size":{"cores":6,"memory":1000}}}`, 422, `"unfit"`},
		{"a job", "PUT", "/v1/records/job/a?version=0", "change-18", secret, `{"schema":1,"body":{"team":"stock","pool":"batch","count":1,"size":{"cores":1,"memory":1000}}}`, 200, `"version":8`},
		{"a wave", "PUT", "/v1/records/wave/kernel?version=0", "change-19", secret, `{"schema":1,"body":{"pools":["batch"]}}`, 200, `"version":9`},
		{"delete the wave", "DELETE", "/v1/records/wave/kernel?version=9", "change-20", secret, "", 200, `"seq":10`},
		{"a wave of a used name", "PUT", "/v1/records/wave/kernel?version=0", "change-21", secret, `{"schema":1,"body":{"pools":["batch"]}}`, 409, `take another name`},
		{"an older schema", "PUT", pool + "?version=0", "change-13", secret, `{"schema":1,"body":{"out":3}}`, 200, `"schema":1`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, body := b.ask(tc.method, tc.path, tc.id, tc.token, tc.body)
			require.Equal(t, tc.code, code, body)
			require.Contains(t, body, tc.want)
		})
	}
	require.Len(t, b.refused, 8, "each decision against a change is noted")
	require.Equal(t, "reused", b.refused[0].Refused)
	require.Equal(t, "maria", b.refused[0].Actor)
}
