package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the decision.
const (
	machineCycle = 5 * time.Second // evacuation, maintenance and return of one machine
	busyCycle    = 7 * time.Second // the same in a pool with waiting work
	endMargin    = 3 * time.Second // all machines should be finished this long before the wave's time limit
	poolDivisor  = 4               // at most one in poolDivisor machines of a pool is in progress at a time
	minParallel  = 2               // or this many, if that is more
)

// Pool is the size and load of a pool.
type Pool struct {
	Size int  // machines that take work
	Busy bool // work is waiting, or most of its room is taken
}

// Candidate is a machine of a wave that hasn't been taken down yet.
type Candidate struct {
	Machine     string
	Runner      string
	Evacuating  bool
	LongRunning int // number of long-running tasks
}

// Next picks the machines of a pool whose evacuation begins now, those with the fewest long-running tasks first.
// remaining is what is left of the wave's time limit. Machines that are being evacuated count towards the limit.
func Next(pool Pool, candidates []Candidate, remaining time.Duration) []Candidate {
	limit := maxParallel(pool, len(candidates), remaining)
	var pending []Candidate
	for _, c := range candidates {
		if c.Evacuating {
			limit--
		} else {
			pending = append(pending, c)
		}
	}
	slices.SortFunc(pending, func(a, b Candidate) int {
		if c := cmp.Compare(a.LongRunning, b.LongRunning); c != 0 {
			return c
		}
		return cmp.Compare(a.Machine, b.Machine)
	})
	return pending[:max(0, min(limit, len(pending)))]
}

// maxParallel returns how many machines of a pool may be evacuating at the same time.
func maxParallel(pool Pool, candidates int, remaining time.Duration) int {
	if candidates == 0 {
		return 0
	}
	limit := max(minParallel, pool.Size/poolDivisor)
	rounds := (candidates + limit - 1) / limit
	needed := busyCycle * time.Duration(rounds)
	switch {
	case remaining-endMargin < machineCycle:
		return max(limit, pool.Size/2) // the operator's time limit is near
	case pool.Busy && remaining-endMargin > needed:
		return 0 // enough time is left to wait until the pool is no longer busy
	}
	return limit
}

// roundOverhead is what one machine's turn in a wave takes beyond its maintenance: the claim, the order and the reading
// of the list that shows the machine as back.
const roundOverhead = time.Second

// pacedShare is the part of a wave's remaining time in which a paced wave is to end: its last machines wait for the pools
// that use them.
const pacedShare = 0.6

// MaxDown returns how many machines of a wave may be down at the same time, at most limit. While pools are short of
// machines, it is only as many as it takes to finish the unfinished ones in time. remaining is what is left of the wave's
// time limit, and duration what the maintenance of one machine takes.
func MaxDown(limit, unfinished int, remaining, duration time.Duration, short bool) int {
	rounds := int(pacedShare * float64(remaining-endMargin) / float64(duration+roundOverhead))
	if !short || rounds < 2 {
		return limit
	}
	return min(limit, max(minParallel, (unfinished+rounds-1)/rounds))
}
