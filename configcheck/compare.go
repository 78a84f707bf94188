package configcheck

import (
	"fmt"
	"slices"

	"gypsumlead/platform"
)

// Effect is what a difference changes for callers.
type Effect string

// Effects of differences, in the order in which groups are reported.
const (
	Refusals   Effect = "refused"  // requests that were served are refused
	Admissions Effect = "admitted" // requests that were refused are served
	Handling   Effect = "handled"  // requests are handled differently
	Capacity   Effect = "capacity" // caps, weights and services
)

// Group is the differences with one effect.
type Group struct {
	Effect   Effect    `json:"effect"`
	Findings []Finding `json:"findings"`
}

// CheckVersion returns an error if the configuration would be ignored because its version isn't higher than the current one.
func CheckVersion(current, next platform.Config) []Finding {
	if next.Version > current.Version {
		return nil
	}
	return []Finding{{
		Error, "version", fmt.Sprintf("version %d isn't higher than the current version %d, so daemons ignore it", next.Version, current.Version),
		fmt.Sprintf("Set it to %d or higher.", current.Version+1),
	}}
}

// Compare returns what the next configuration changes, grouped by the effect on callers.
func Compare(current, next platform.Config) []Group {
	d := differences{}
	d.compareRoutes(current.Routes, next.Routes)
	d.compareNeedForKeys(current, next)
	d.compareWorkspaces(current.Workspaces, next.Workspaces)
	d.compareServices(current.Services, next.Services)
	d.changed(Handling, "limits: body", current.Limits.Body, next.Limits.Body, "")
	groups := []Group{}
	for _, e := range []Effect{Refusals, Admissions, Handling, Capacity} {
		if len(d[e]) > 0 {
			groups = append(groups, Group{e, d[e]})
		}
	}
	return groups
}

type differences map[Effect][]Finding

func (d differences) add(e Effect, path, problem, advice string) {
	d[e] = append(d[e], Finding{Change, path, problem, advice})
}

// changed adds a finding if a value differs.
func (d differences) changed(e Effect, path string, from, to any, advice string) {
	if from != to {
		d.add(e, path, fmt.Sprintf("changed from %v to %v", from, to), advice)
	}
}

// indexed is an entry of a list with its index in the file.
type indexed[T any] struct {
	index int
	entry T
}

// pairs calls both, gone and added for the entries of two lists. Entries with the same key are paired; of several with one
// key, the first ones are.
func pairs[T any, K comparable](current, next []T, key func(T) K, both func(old, new indexed[T]), gone, added func(indexed[T])) {
	remaining := map[K][]indexed[T]{}
	for i, e := range next {
		remaining[key(e)] = append(remaining[key(e)], indexed[T]{i, e})
	}
	matched := map[int]struct{}{}
	for i, e := range current {
		candidates := remaining[key(e)]
		if len(candidates) == 0 {
			gone(indexed[T]{i, e})
			continue
		}
		remaining[key(e)] = candidates[1:]
		matched[candidates[0].index] = struct{}{}
		both(indexed[T]{i, e}, candidates[0])
	}
	for i, e := range next {
		if _, ok := matched[i]; !ok {
			added(indexed[T]{i, e})
		}
	}
}

// identity is by what a route is recognised in another version.
type identity struct{ queue, host string }

func identify(r platform.Route) identity { return identity{r.Queue.Name, r.Host} }

func (d differences) compareRoutes(current, next []platform.Route) {
	describe := func(r platform.Route) string {
		return fmt.Sprintf("%s%s, service %s", r.Host, r.Prefix, r.Queue.Service)
	}
	pairs(current, next, identify, d.compareRoute, func(r indexed[platform.Route]) {
		d.add(Refusals, routePath(r.index, r.entry, "")+" of the current version", "route gone: "+describe(r.entry),
			"Requests that no other route matches get 404.")
	}, func(r indexed[platform.Route]) {
		d.add(Admissions, routePath(r.index, r.entry, ""), "route added: "+describe(r.entry), "")
	})
}

func (d differences) compareRoute(old, next indexed[platform.Route]) {
	from, to := old.entry, next.entry
	path := func(field string) string { return routePath(next.index, to, field) }
	d.changed(Refusals, path("prefix"), from.Prefix, to.Prefix, "Requests with the old prefix that no other route matches get 404.")
	d.changed(Handling, path("service"), from.Queue.Service, to.Queue.Service, "Let earlier jobs end first: requests about them go to the new service.")
	d.changed(Handling, path("timeout"), from.Timeout, to.Timeout, "")
	d.changed(Handling, path("objective"), from.Queue.Aim, to.Queue.Aim, "")
	d.changed(Handling, path("slack"), from.Queue.Slack, to.Queue.Slack, "")
	d.changed(Handling, path("priority"), from.Queue.Priority, to.Queue.Priority, "")
	d.changed(Handling, path("attempts"), from.Queue.Attempts, to.Queue.Attempts, "")
	d.changed(Handling, path("approvals"), approvals(from), approvals(to), "")
}

// approvals describes the timing of a route's approvals.
func approvals(r platform.Route) string {
	if r.Queue.Advice == nil {
		return "none"
	}
	return fmt.Sprintf("%+v", *r.Queue.Advice)
}

// compareNeedForKeys compares which requests need a key. None do if there are no workspaces.
func (d differences) compareNeedForKeys(current, next platform.Config) {
	const askCallers = "Make sure that all callers send their keys."
	from, to := len(current.Workspaces) > 0, len(next.Workspaces) > 0
	switch {
	case to && !from:
		d.add(Refusals, "workspaces", "first workspaces: requests need a key, except on public routes", askCallers)
	case from && !to:
		d.add(Admissions, "workspaces", "no workspaces any more: requests need no key", "Keep a workspace, unless everybody may use all routes.")
	}
	pairs(current.Routes, next.Routes, identify, func(old, next indexed[platform.Route]) {
		path := routePath(next.index, next.entry, "public")
		switch {
		case old.entry.Public == next.entry.Public:
		case !from || !to:
			d.changed(Handling, path, old.entry.Public, next.entry.Public, "")
		case next.entry.Public:
			d.add(Admissions, path, "public from now on: keys are ignored, and jobs belong to no workspace", "")
		default:
			d.add(Refusals, path, "no longer public: requests need a key", askCallers)
		}
	}, func(indexed[platform.Route]) {}, func(indexed[platform.Route]) {})
}

func (d differences) compareWorkspaces(current, next []platform.Workspace) {
	pairs(current, next, func(w platform.Workspace) string { return w.Name }, d.compareWorkspace, func(w indexed[platform.Workspace]) {
		d.add(Refusals, workspacePath(w.entry.Name, ""), fmt.Sprintf("workspace gone; its keys: %d", len(keySet(w.entry))), "Its callers can't read or cancel their jobs any more.")
	}, func(w indexed[platform.Workspace]) {
		d.add(Admissions, workspacePath(w.entry.Name, ""), fmt.Sprintf("workspace added; its keys: %d", len(keySet(w.entry))), "")
	})
}

func (d differences) compareWorkspace(old, next indexed[platform.Workspace]) {
	from, to := old.entry, next.entry
	if n := missing(from, to); n > 0 {
		d.add(Refusals, workspacePath(to.Name, "keys"), fmt.Sprintf("keys withdrawn: %d, kept: %d", n, len(keySet(from))-n), "Make sure that no caller uses them any more.")
	}
	if n := missing(to, from); n > 0 {
		d.add(Admissions, workspacePath(to.Name, "keys"), fmt.Sprintf("keys added: %d", n), "")
	}
	for _, a := range amounts() {
		d.compareCap(workspacePath(to.Name, a.field), a.of(from.Cap), a.of(to.Cap))
	}
	d.changed(Capacity, workspacePath(to.Name, "weight"), from.Weight, to.Weight, "")
}

// compareCap compares a limit, where 0 is no limit.
func (d differences) compareCap(path string, from, to int64) {
	switch {
	case from == to:
	case from == 0 || (to != 0 && to < from):
		d.add(Capacity, path, fmt.Sprintf("cap lowered from %s to %s", limitText(from), limitText(to)), "What runs above it goes on; nothing more starts until it is below.")
	default:
		d.add(Capacity, path, fmt.Sprintf("cap raised from %s to %s", limitText(from), limitText(to)), "")
	}
}

func limitText(limit int64) string {
	if limit == 0 {
		return "no limit"
	}
	return fmt.Sprint(limit)
}

// keySet returns the workspace's keys, each once.
func keySet(w platform.Workspace) []string {
	return slices.Compact(slices.Sorted(slices.Values(w.Keys)))
}

// missing returns the number of keys of a that b lacks.
func missing(a, b platform.Workspace) int {
	n := 0
	kept := keySet(b)
	for _, key := range keySet(a) {
		if _, ok := slices.BinarySearch(kept, key); !ok {
			n++
		}
	}
	return n
}

func (d differences) compareServices(current, next []platform.Service) {
	pairs(current, next, func(s platform.Service) string { return s.Name }, func(old, next indexed[platform.Service]) {
		path := func(field string) string { return servicePath(next.index, next.entry, field) }
		d.changed(Capacity, path("standby"), old.entry.Standby, next.entry.Standby, "")
		d.changed(Capacity, path("overload"), old.entry.RejectsOverload, next.entry.RejectsOverload, "")
	}, func(s indexed[platform.Service]) {
		d.add(Capacity, servicePath(s.index, s.entry, "")+" of the current version", "service gone: nobody schedules its jobs any more", "Let its jobs end first.")
	}, func(s indexed[platform.Service]) {
		d.add(Capacity, servicePath(s.index, s.entry, ""), "service added", "")
	})
}
