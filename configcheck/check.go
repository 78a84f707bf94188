package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"gypsumlead/platform"
	"gypsumlead/work"
)

// Caps below these are noted: tasks usually need more.
const (
	smallCPU = 1000 // thousandths of a core
	smallMem = 64   // MB
)

// Check returns the faults and notes of a decoded configuration, in the order of routes, services, workspaces and limits.
func Check(c platform.Config, b Bounds) []Finding {
	return slices.Concat(checkRoutes(c), checkServices(c), checkWorkspaces(c), checkLimits(c, b))
}

func checkRoutes(c platform.Config) []Finding {
	type target struct{ host, prefix string }
	var findings []Finding
	first := map[target]int{}
	for i, r := range c.Routes {
		key := target{r.Host, r.Prefix}
		if j, ok := first[key]; ok {
			findings = append(findings, Finding{
				Error, routePath(i, r, "prefix"),
				fmt.Sprintf("never matches: %s has the same host and prefix and comes first", routePath(j, c.Routes[j], "")),
				"Remove one of the two routes, or change its prefix.",
			})
		} else {
			first[key] = i
		}
		findings = append(findings, checkRoute(i, r, c.Services)...)
	}
	return findings
}

func checkRoute(i int, r platform.Route, services []platform.Service) []Finding {
	var findings []Finding
	add := func(s Severity, field, problem, advice string) {
		findings = append(findings, Finding{s, routePath(i, r, field), problem, advice})
	}
	switch {
	case r.Host == "":
		add(Error, "host", "never matches: the host is empty", "Name the host that callers use.")
	case strings.Contains(r.Host, ":") && !strings.HasSuffix(r.Host, "]"):
		add(Error, "host", "never matches: requests are compared without their port", "Remove the port.")
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		add(Error, "prefix", "can't be used: the path of each request begins with /", "Begin the prefix with /.")
	}
	if !slices.ContainsFunc(services, func(s platform.Service) bool { return s.Name == r.Queue.Service }) {
		add(Error, "service", fmt.Sprintf("service %q isn't configured, so nobody schedules the route's jobs", r.Queue.Service), "Add the service or name another.")
	}
	if r.Timeout > 0 && r.Timeout < r.Queue.Aim {
		add(Note, "timeout", fmt.Sprintf("the timeout of %v is shorter than the objective of %v", r.Timeout, r.Queue.Aim), "Raise the timeout or lower the objective.")
	}
	return findings
}

func checkServices(c platform.Config) []Finding {
	var findings []Finding
	first := map[string]int{}
	for i, s := range c.Services {
		if j, ok := first[s.Name]; ok {
			findings = append(findings, Finding{Note, servicePath(i, s, ""), fmt.Sprintf("services[%d] has the same name", j), "Remove one of the two."})
			continue
		}
		first[s.Name] = i
		if s.Standby || slices.ContainsFunc(c.Routes, func(r platform.Route) bool { return r.Queue.Service == s.Name }) {
			continue
		}
		findings = append(findings, Finding{Note, servicePath(i, s, ""), "no route leads to the service, so callers can't use it", "Add a route or remove the service."})
	}
	return findings
}

func checkWorkspaces(c platform.Config) []Finding {
	var findings []Finding
	for _, w := range c.Workspaces {
		add := func(field, problem, advice string) {
			findings = append(findings, Finding{Note, workspacePath(w.Name, field), problem, advice})
		}
		if len(w.Keys) == 0 {
			add("keys", "it has no keys, so no request is served as its own", "Add a key, unless it is suspended.")
		}
		if w.Weight == 0 {
			add("weight", "the weight is 0: it has no guaranteed rate and gets what others leave unused", "Set a weight, unless this is wanted.")
		}
		if w.Cap.CPU > 0 && w.Cap.CPU < smallCPU {
			add("cap.cpu", fmt.Sprintf("%d thousandths are less than one core, which few tasks fit", w.Cap.CPU), "Check the unit: thousandths of a core; 0 is no limit.")
		}
		if w.Cap.Mem > 0 && w.Cap.Mem < smallMem {
			add("cap.mem", fmt.Sprintf("%d MB are less than %d MB, which few tasks fit", w.Cap.Mem, smallMem), "Check the unit: MB; 0 is no limit.")
		}
	}
	return findings
}

func checkLimits(c platform.Config, b Bounds) []Finding {
	var findings []Finding
	if c.Limits.Body > b.Row {
		findings = append(findings, Finding{
			Note, "limits: body", fmt.Sprintf("bodies of up to %d bytes are read, but a stored job takes at most %d", c.Limits.Body, b.Row),
			"Lower the limit, or expect 413 for jobs that are too large to be stored.",
		})
	}
	for _, amount := range amounts() {
		size := amount.of(b.Machine)
		if sum, limited := sumOfCaps(c.Workspaces, amount, size); size > 0 && limited && sum < size {
			findings = append(findings, Finding{
				Note, "workspaces: " + amount.field,
				fmt.Sprintf("the caps of all workspaces sum to %d, less than the %d of the smallest machine", sum, size), "Check the unit, or raise the caps.",
			})
		}
	}
	return findings
}

// amount is one limited resource of a cap.
type amount struct {
	field string
	of    func(work.Resources) int64
}

func amounts() []amount {
	return []amount{
		{"cap.cpu", func(r work.Resources) int64 { return r.CPU }},
		{"cap.mem", func(r work.Resources) int64 { return r.Mem }},
		{"cap.gpus", func(r work.Resources) int64 { return r.GPU }},
	}
}

// sumOfCaps returns the sum of the workspaces' caps, or enough if it is at least that. It returns false if a workspace
// has no limit or there is no workspace.
func sumOfCaps(workspaces []platform.Workspace, a amount, enough int64) (int64, bool) {
	sum := int64(0)
	for _, w := range workspaces {
		limit := a.of(w.Cap)
		if limit == 0 {
			return 0, false
		}
		if limit >= enough-sum { // compared before adding, as sums of caps may overflow
			return enough, true
		}
		sum += limit
	}
	return sum, sum > 0
}
