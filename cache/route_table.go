package cache

import (
	"slices"
	"strings"

	"gypsumlead/platform"
	"gypsumlead/workspace"
)

// RouteTable is a configuration whose routes are indexed by host.
type RouteTable struct {
	platform.Config // without the workspaces' keys, which Keys alone looks up
	Keys            *workspace.Directory
	hosts           map[string][]platform.Route // longest prefix first
}

// NewRouteTable returns the table of a configuration, which must not be used afterwards.
func NewRouteTable(config platform.Config, secret workspace.Secret) *RouteTable {
	r := &RouteTable{Config: config, Keys: workspace.NewDirectory(secret, config.Workspaces), hosts: map[string][]platform.Route{}}
	for i := range r.Workspaces {
		r.Workspaces[i].Keys = nil
	}
	for _, route := range config.Routes {
		r.hosts[route.Host] = append(r.hosts[route.Host], route)
	}
	for _, routes := range r.hosts {
		slices.SortStableFunc(routes, func(a, b platform.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return r
}

// Match returns the route with the longest matching prefix for a host and path, and the rest of the path. It returns
// false if no route matches.
func (r *RouteTable) Match(host, path string) (platform.Route, string, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, route := range r.hosts[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route, rest, true
		}
	}
	return platform.Route{}, "", false
}
