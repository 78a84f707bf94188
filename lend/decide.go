package lend

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
	ahead    = 1800 * time.Millisecond // a move takes effect so much later; so far ahead the growth is followed
	spareOne = 1                       // machines beyond what is asked for
	keepMin  = 4                       // machines that a pool keeps without any work
	lastRoom = 0.5                     // share of a machine's room that tasks that last may take where a pool is small
	rest     = 1200 * time.Millisecond // a pool must have had too many machines for so long before it gives some back
)

// Wish is how many machines a pool should have.
type Wish struct {
	Machines int
	Keep     map[string]struct{} // runners that stay in any case
}

// want returns how many machines the demand asks for, of which each has so much room.
func want(d sched.Demand, room int64) int {
	if room <= 0 {
		return 0
	}
	growth := max(0, d.Rate-d.Before) * ahead.Seconds()
	batch := max(float64(d.Used-d.Lasting+d.Waiting), d.Rate+growth)
	cores := float64(d.Lasting) + batch
	return int(math.Ceil(cores/(fill*float64(room)))) + spareOne
}

// least returns how many machines a pool keeps for what lasts.
func least(d sched.Demand, room int64) int {
	if room <= 0 {
		return keepMin
	}
	return max(keepMin, int(math.Ceil(float64(d.Lasting)/(lastRoom*float64(room)))))
}

// keep picks the runners that stay: those with most of what lasts, spread over racks.
func keep(list []sched.Machine, n int) map[string]struct{} {
	order := slices.Clone(list)
	slices.SortFunc(order, func(a, b sched.Machine) int {
		if c := cmp.Compare(b.Lasting, a.Lasting); c != 0 {
			return c
		}
		return cmp.Compare(a.Runner, b.Runner)
	})
	kept := map[string]struct{}{}
	racks := map[string]int{}
	for most := 1; len(kept) < n && most <= len(order); most++ {
		for _, m := range order {
			if _, ok := kept[m.Runner]; ok || len(kept) == n || racks[m.Rack] >= most || !m.Takes {
				continue
			}
			kept[m.Runner] = struct{}{}
			racks[m.Rack]++
		}
	}
	return kept
}

// surplus picks up to n machines to give back, the emptiest first; those that stay and those that hold what lasts aren't among them.
func surplus(list []sched.Machine, stay map[string]struct{}, n int) []sched.Machine {
	var open []sched.Machine
	for _, m := range list {
		if _, ok := stay[m.Runner]; !ok && m.Takes && !m.Evacuate && m.Lasting == 0 && m.Machine != "" {
			open = append(open, m)
		}
	}
	slices.SortFunc(open, func(a, b sched.Machine) int {
		if c := cmp.Compare(a.Used, b.Used); c != 0 {
			return c
		}
		return cmp.Compare(a.Runner, b.Runner)
	})
	return open[:max(0, min(n, len(open)))]
}
