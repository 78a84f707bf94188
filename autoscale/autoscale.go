package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumlead/sched"
)

// Figures of the decision.
const (
	fill     = 0.9                     // share of a pool's room that work can fill: tasks don't fit without gaps
	ahead    = 1500 * time.Millisecond // a move takes effect so much later; so far ahead the growth is followed
	reserve  = 1                       // machines beyond what is asked for
	ramp     = time.Second             // that a pool may wait for its machines beyond the time of a move: less than the slack of a short job
	keepMin  = 4                       // machines that a pool keeps without any work
	lastRoom = 0.5                     // share of a machine's room that tasks that last may take where a pool is small
)

// Desired returns how many machines a pool should have whose machines have so much room each.
func Desired(d sched.Demand, room int64) int {
	least := Minimum(d, room)
	if room <= 0 {
		return least
	}
	growth := min(max(0, d.ArrivalRate-d.Before)*ahead.Seconds(), d.ArrivalRate)
	batch := max(float64(d.Used-d.LongRunning+d.Waiting), d.ArrivalRate+growth)
	cores := float64(d.LongRunning) + batch
	return max(least, int(math.Ceil(cores/(fill*float64(room))))+reserve)
}

// Minimum returns how many machines a pool keeps for what lasts.
func Minimum(d sched.Demand, room int64) int {
	if room <= 0 {
		return keepMin
	}
	return max(keepMin, int(math.Ceil(float64(d.LongRunning)/(lastRoom*float64(room)))))
}

// Retain picks the n runners that stay when machines are given back: those with most of what lasts, then those that no wave is to take, spread over racks.
func Retain(list []sched.RunnerStatus, n int) map[string]struct{} {
	order := slices.Clone(list)
	slices.SortFunc(order, func(a, b sched.RunnerStatus) int {
		if c := cmp.Compare(b.LongRunning, a.LongRunning); c != 0 {
			return c
		}
		if a.MaintenanceDue != b.MaintenanceDue {
			return last(a.MaintenanceDue)
		}
		return cmp.Compare(a.Runner, b.Runner)
	})
	kept := map[string]struct{}{}
	racks := map[string]int{}
	for most := 1; len(kept) < n && most <= len(order); most++ {
		for _, m := range order {
			if _, ok := kept[m.Runner]; ok || len(kept) == n || racks[m.Rack] >= most || !m.Schedulable {
				continue
			}
			kept[m.Runner] = struct{}{}
			racks[m.Rack]++
		}
	}
	return kept
}

// Surplus picks up to n machines to give back, those that a wave is to take first, then the emptiest; those that stay and those that hold what lasts aren't among them.
func Surplus(list []sched.RunnerStatus, stay map[string]struct{}, n int) []sched.RunnerStatus {
	var open []sched.RunnerStatus
	for _, m := range list {
		if _, ok := stay[m.Runner]; !ok && m.Schedulable && !m.Evacuating && m.LongRunning == 0 && m.Machine != "" {
			open = append(open, m)
		}
	}
	slices.SortFunc(open, func(a, b sched.RunnerStatus) int {
		if a.MaintenanceDue != b.MaintenanceDue {
			return last(b.MaintenanceDue) // a machine that is off is maintained at no cost to anybody
		}
		if c := cmp.Compare(a.Used, b.Used); c != 0 {
			return c
		}
		return cmp.Compare(a.Runner, b.Runner)
	})
	return open[:max(0, min(n, len(open)))]
}

// last puts what is marked behind.
func last(marked bool) int {
	if marked {
		return 1
	}
	return -1
}

// Pool is a pool as the sharing out sees it.
type Pool struct {
	Service string
	Current int // machines, those on their way to it included
	Desired int
}

// Floor returns how many machines a pool keeps while none is short, out of a fleet of so many: what can't be
// moved to a pool in a short time at the platform's rate is spread over the pools.
func Floor(fleet, pools int, rate float64) int {
	if pools == 0 {
		return 0
	}
	return max(0, int((float64(fleet)-rate*ramp.Seconds())/float64(pools)))
}

// WithFloor returns the pools as they are where each wants to keep floor machines at least.
func WithFloor(pools []Pool, floor int) []Pool {
	list := slices.Clone(pools)
	for i := range list {
		list[i].Desired = max(list[i].Desired, floor)
	}
	return list
}

// Shortage returns how many machines the pools want beyond those that are on their way or about to be sent.
func Shortage(pools []Pool, sent int) int {
	lack := 0
	for _, p := range pools {
		lack += max(0, p.Desired-p.Current)
	}
	return max(0, lack-sent)
}

// Assign says which machine goes to which pool; a machine that nobody wants isn't in it.
func Assign(pools []Pool, free []string) map[string]string {
	left := slices.Clone(pools)
	to := map[string]string{}
	for _, m := range free {
		best := -1
		for i, p := range left {
			if p.Current < p.Desired && (best < 0 || shorter(p, left[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		to[m] = left[best].Service
		left[best].Current++
	}
	return to
}

// shorter tells whether a has a smaller share of what it wants than b.
func shorter(a, b Pool) bool {
	if c := cmp.Compare(a.Current*b.Desired, b.Current*a.Desired); c != 0 {
		return c < 0
	}
	return a.Service < b.Service
}
