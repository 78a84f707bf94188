package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumlead/sched"
)

// Parameters of the decisions.
const (
	maxUtilization      = 0.9                     // share of a pool's room that tasks can fill; they don't fit without gaps
	lookahead           = 1500 * time.Millisecond // time until a move takes effect; growth is extrapolated this far
	reserveMachines     = 1                       // machines beyond those that the demand needs
	rampUpTime          = time.Second             // a pool may wait this long for machines beyond the duration of a move; less than a short job's slack
	minMachines         = 4                       // machines that a pool keeps without any work
	maxLongRunningShare = 0.5                     // share of a machine's room that long-running tasks may take in a small pool
)

// Desired returns how many machines a pool should have; room is the CPU of one machine, in millicores.
func Desired(demand sched.Demand, room int64) int {
	minimum := Minimum(demand, room)
	if room <= 0 {
		return minimum
	}
	growth := min(max(0, demand.ArrivalRate-demand.Before)*lookahead.Seconds(), demand.ArrivalRate)
	batch := max(float64(demand.Used-demand.LongRunning+demand.Waiting), demand.ArrivalRate+growth)
	cpu := float64(demand.LongRunning) + batch
	return max(minimum, int(math.Ceil(cpu/(maxUtilization*float64(room))))+reserveMachines)
}

// Minimum returns how many machines a pool keeps for its long-running tasks; room is as for Desired.
func Minimum(demand sched.Demand, room int64) int {
	if room <= 0 {
		return minMachines
	}
	return max(minMachines, int(math.Ceil(float64(demand.LongRunning)/(maxLongRunningShare*float64(room)))))
}

// Retain picks the n runners that stay when machines are released: those with the most long-running tasks first, then
// those not due for maintenance, spread over racks.
func Retain(runners []sched.RunnerStatus, n int) map[string]struct{} {
	sorted := slices.Clone(runners)
	slices.SortFunc(sorted, func(a, b sched.RunnerStatus) int {
		if c := cmp.Compare(b.LongRunning, a.LongRunning); c != 0 {
			return c
		}
		if a.MaintenanceDue != b.MaintenanceDue {
			return markedLast(a.MaintenanceDue)
		}
		return cmp.Compare(a.Runner, b.Runner)
	})
	retained := map[string]struct{}{}
	perRack := map[string]int{}
	for maxPerRack := 1; len(retained) < n && maxPerRack <= len(sorted); maxPerRack++ {
		for _, runner := range sorted {
			if _, ok := retained[runner.Runner]; ok || len(retained) == n || perRack[runner.Rack] >= maxPerRack || !runner.Schedulable {
				continue
			}
			retained[runner.Runner] = struct{}{}
			perRack[runner.Rack]++
		}
	}
	return retained
}

// Surplus picks up to n machines to release: those due for maintenance first, then the least used. Retained runners
// and runners with long-running tasks are excluded.
func Surplus(runners []sched.RunnerStatus, retained map[string]struct{}, n int) []sched.RunnerStatus {
	var candidates []sched.RunnerStatus
	for _, runner := range runners {
		if _, ok := retained[runner.Runner]; !ok && runner.Schedulable && !runner.Evacuating && runner.LongRunning == 0 && runner.Machine != "" {
			candidates = append(candidates, runner)
		}
	}
	slices.SortFunc(candidates, func(a, b sched.RunnerStatus) int {
		if a.MaintenanceDue != b.MaintenanceDue {
			return markedLast(b.MaintenanceDue) // maintenance of a machine that is powered off disturbs no work
		}
		if c := cmp.Compare(a.Used, b.Used); c != 0 {
			return c
		}
		return cmp.Compare(a.Runner, b.Runner)
	})
	return candidates[:max(0, min(n, len(candidates)))]
}

// markedLast compares two elements of which exactly one is marked, for sorting the marked one last; marked reports
// whether it is the first of the two.
func markedLast(marked bool) int {
	if marked {
		return 1
	}
	return -1
}

// Pool is the current and desired size of a pool.
type Pool struct {
	Service string
	Current int // machines, including those moving to the pool
	Desired int
}

// Floor returns how many machines each pool keeps while no pool is short. The machines of the fleet that cannot be
// moved within rampUpTime, at rate orders per second, are spread over the pools.
func Floor(fleetSize, pools int, rate float64) int {
	if pools == 0 {
		return 0
	}
	return max(0, int((float64(fleetSize)-rate*rampUpTime.Seconds())/float64(pools)))
}

// WithFloor returns a copy of pools in which each desired size is at least floor.
func WithFloor(pools []Pool, floor int) []Pool {
	list := slices.Clone(pools)
	for i := range list {
		list[i].Desired = max(list[i].Desired, floor)
	}
	return list
}

// Shortage returns how many machines the pools need beyond their current ones and the assigned ones.
func Shortage(pools []Pool, assigned int) int {
	missing := 0
	for _, p := range pools {
		missing += max(0, p.Desired-p.Current)
	}
	return max(0, missing-assigned)
}

// Assign assigns free machines to pools, one at a time to the pool with the lowest ratio of current to desired
// machines. It returns services by machine; machines that no pool needs are left out.
func Assign(pools []Pool, free []string) map[string]string {
	remaining := slices.Clone(pools)
	poolOf := map[string]string{}
	for _, machine := range free {
		best := -1
		for i, p := range remaining {
			if p.Current < p.Desired && (best < 0 || lessSupplied(p, remaining[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		poolOf[machine] = remaining[best].Service
		remaining[best].Current++
	}
	return poolOf
}

// lessSupplied reports whether a has a lower ratio of current to desired machines than b.
func lessSupplied(a, b Pool) bool {
	if c := cmp.Compare(a.Current*b.Desired, b.Current*a.Desired); c != 0 {
		return c < 0
	}
	return a.Service < b.Service
}
