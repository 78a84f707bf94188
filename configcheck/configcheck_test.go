package configcheck

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
	"gypsumlead/work"
)

// valid returns a configuration without findings.
func valid() platform.Config {
	return platform.Config{
		Version: 7,
		Routes: []platform.Route{
			{Host: "a", Prefix: "/p/", Timeout: 3000, Queue: work.Queue{Name: "q", Service: "s", Aim: 600}},
			{Host: "a", Prefix: "/p/long/", Queue: work.Queue{Name: "r", Service: "s"}},
		},
		Services:   []platform.Service{{Name: "s"}, {Name: "spare", Standby: true}},
		Workspaces: []platform.Workspace{{Name: "w", Keys: []string{"secret1", "secret2"}, Weight: 1, Cap: work.Resources{CPU: 64000, Mem: 64}}},
		Limits:     platform.Limits{Body: 100},
	}
}

// Guards against faults that a daemon accepts silently, and against a finding about a valid configuration, such as one with a
// longer prefix behind a shorter one or a standby service without a route.
func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		name     string
		change   func(c *platform.Config)
		severity Severity
		path     string
	}{
		{"valid", func(*platform.Config) {}, "", ""},
		{"limits at their bounds", func(c *platform.Config) {
			c.Routes[0].Timeout, c.Workspaces[0].Cap = 600, work.Resources{CPU: 64000, Mem: 64, GPU: 1}
		}, "", ""},
		{"same prefix", func(c *platform.Config) { c.Routes[1].Prefix = "/p/" }, Error, "routes[1] r: prefix"},
		{"same prefix on another host", func(c *platform.Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/p/", "b" }, "", ""},
		{"no host", func(c *platform.Config) { c.Routes[0].Host = "" }, Error, "routes[0] q: host"},
		{"host with port", func(c *platform.Config) { c.Routes[0].Host = "a:80" }, Error, "routes[0] q: host"},
		{"IPv6 host", func(c *platform.Config) { c.Routes[0].Host = "[::1]" }, "", ""},
		{"prefix without slash", func(c *platform.Config) { c.Routes[0].Prefix = "p/" }, Error, "routes[0] q: prefix"},
		{"unknown service", func(c *platform.Config) { c.Routes[0].Queue.Service = "x" }, Error, "routes[0] q: service"},
		{"short timeout", func(c *platform.Config) { c.Routes[0].Timeout = 599 }, Note, "routes[0] q: timeout"},
		{"no timeout", func(c *platform.Config) { c.Routes[0].Timeout = 0 }, "", ""},
		{"caps whose sum overflows", func(c *platform.Config) {
			c.Workspaces[0].Cap.CPU = 63000
			c.Workspaces = append(c.Workspaces, platform.Workspace{Name: "x", Keys: []string{"k"}, Weight: 1, Cap: work.Resources{CPU: math.MaxInt64}})
		}, "", ""},
		{"service without route", func(c *platform.Config) { c.Services[1].Standby = false }, Note, "services[1] spare"},
		{"service twice", func(c *platform.Config) { c.Services[1].Name = "s" }, Note, "services[1] s"},
		{"no keys", func(c *platform.Config) { c.Workspaces[0].Keys = nil }, Note, "workspace w: keys"},
		{"weight of 0", func(c *platform.Config) { c.Workspaces[0].Weight = 0 }, Note, "workspace w: weight"},
		{"cap below a core", func(c *platform.Config) {
			c.Workspaces[0].Cap.CPU = 999
			c.Workspaces = append(c.Workspaces, platform.Workspace{Name: "x", Keys: []string{"k"}, Weight: 1})
		}, Note, "workspace w: cap.cpu"},
		{"cap below 64 MB", func(c *platform.Config) { c.Workspaces[0].Cap.Mem = 63 }, Note, "workspace w: cap.mem"},
		{"sum of caps below a machine", func(c *platform.Config) { c.Workspaces[0].Cap.CPU = 63999 }, Note, "workspaces: cap.cpu"},
		{"body larger than a row", func(c *platform.Config) { c.Limits.Body = 101 }, Note, "limits: body"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := valid()
			tc.change(&c)
			got := Check(c, Bounds{Row: 100, Machine: work.Resources{CPU: 64000, GPU: 1}})
			if tc.path == "" {
				require.Empty(t, got)
				return
			}
			require.Len(t, got, 1)
			require.Equal(t, tc.severity, got[0].Severity)
			require.Equal(t, tc.path, got[0].Path)
			require.NotEmpty(t, got[0].Problem+got[0].Advice)
		})
	}
}

// Guards against a difference that isn't reported, or under the wrong effect: a withdrawn key or a limit where there was
// none would surprise callers. No key may be printed.
func TestCompare(t *testing.T) {
	for _, tc := range []struct {
		name    string
		change  func(c *platform.Config)
		effect  Effect
		problem string
	}{
		{"route gone", func(c *platform.Config) { c.Routes = c.Routes[:1] }, Refusals, "route gone: a/p/long/"},
		{"prefix", func(c *platform.Config) { c.Routes[0].Prefix = "/x/" }, Refusals, "changed from /p/ to /x/"},
		{"no longer public", func(c *platform.Config) { c.Routes[0].Public = false }, Refusals, "no longer public"},
		{"public", func(c *platform.Config) { c.Routes[1].Public = true }, Admissions, "public from now on"},
		{"service", func(c *platform.Config) { c.Routes[0].Queue.Service = "x" }, Handling, "changed from s to x"},
		{"timeout", func(c *platform.Config) { c.Routes[0].Timeout = 700 }, Handling, "changed from 3µs to 700ns"},
		{"objective", func(c *platform.Config) { c.Routes[0].Queue.Aim = 0 }, Handling, "changed from 600ns to 0s"},
		{"advice", func(c *platform.Config) { c.Routes[0].Queue.Advice = &work.ApprovalTiming{} }, Handling, "changed from none"},
		{"key replaced and withdrawn", func(c *platform.Config) { c.Workspaces[0].Keys = []string{"secret1", "secret1"} }, Refusals, "keys withdrawn: 1, kept: 1"},
		{"key added", func(c *platform.Config) { c.Workspaces[0].Keys = []string{"secret3", "secret2", "secret1"} }, Admissions, "keys added: 1"},
		{"all workspaces gone", func(c *platform.Config) { c.Workspaces = nil }, Admissions, "no workspaces any more"},
		{"cap lowered", func(c *platform.Config) { c.Workspaces[0].Cap.CPU = 1000 }, Capacity, "cap lowered from 64000 to 1000"},
		{"cap removed", func(c *platform.Config) { c.Workspaces[0].Cap.CPU = 0 }, Capacity, "cap raised from 64000 to no limit"},
		{"first cap", func(c *platform.Config) { c.Workspaces[0].Cap.GPU = 1 }, Capacity, "cap lowered from no limit to 1"},
		{"weight", func(c *platform.Config) { c.Workspaces[0].Weight = 0.5 }, Capacity, "changed from 1 to 0.5"},
		{"service gone", func(c *platform.Config) { c.Services = c.Services[1:] }, Capacity, "service gone"},
		{"order only", func(c *platform.Config) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }, "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			current, next := valid(), valid()
			current.Routes[0].Public, next.Routes[0].Public = true, true
			tc.change(&next)
			got := Compare(current, next)
			if tc.effect == "" {
				require.Empty(t, got)
				return
			}
			text, err := json.Marshal(got)
			require.NoError(t, err)
			require.NotContains(t, string(text), "secret")
			require.Condition(t, func() bool {
				return slices.ContainsFunc(got, func(g Group) bool {
					return g.Effect == tc.effect && slices.ContainsFunc(g.Findings, func(f Finding) bool { return strings.HasPrefix(f.Problem, tc.problem) })
				})
			}, string(text))
		})
	}
	first := Compare(platform.Config{}, platform.Config{Workspaces: valid().Workspaces})
	require.Equal(t, "workspaces", first[0].Findings[0].Path, "with the first workspace, all callers need keys")
	twice := valid()
	twice.Workspaces[0].Keys = append(twice.Workspaces[0].Keys, "secret1")
	require.Contains(t, Compare(twice, platform.Config{})[0].Findings[2].Problem, "its keys: 2", "a key named twice is one key")
	require.Empty(t, CheckVersion(platform.Config{Version: 6}, valid()))
	require.Equal(t, 1, Errors(CheckVersion(valid(), valid())), "a version that isn't higher is ignored")
}
