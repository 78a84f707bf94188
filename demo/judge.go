package demo

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

// judge compares what callers got with what runners ran.
func judge(s *site, calls []call) Result {
	var accounts []standin.Account
	var r Result
	for _, one := range s.runners {
		a := one.Account()
		r.Cut += a.Total().Cut
		accounts = append(accounts, a)
	}
	for _, c := range calls {
		started, finished := 0, 0
		for _, a := range accounts {
			run := a.Of(c.id)
			started += run.Started
			finished += run.Finished
		}
		r.count(c, started, finished)
	}
	return r
}

// count adds one call to the result.
func (r *Result) count(c call, started, finished int) {
	switch c.outcome {
	case fault.Ran:
		r.Served++
		if finished == 0 {
			r.Lost++
		}
	case fault.NotRun:
		r.NotRun++
		if started > 0 {
			r.Doubled++ // the caller asks again, as it was told to
		}
	default:
		r.Unknown++
	}
	if started > 1 && !c.idempotent {
		r.Doubled++
	}
	if c.mixed {
		r.Mixed++
	}
	if c.broken {
		r.Cut++
	}
}

// reasons counts the calls that weren't served by the daemon's reason, with one text of each.
func reasons(calls []call) string {
	count := map[string]int{}
	text := map[string]string{}
	for _, c := range calls {
		if c.outcome != fault.Ran {
			count[c.kind]++
			text[c.kind] = c.text
		}
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%d %s (such as %s)", count[k], k, strings.TrimSpace(text[k])))
	}
	return strings.Join(parts, "; ")
}
