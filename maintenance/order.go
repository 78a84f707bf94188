package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// Figures of the order in which machines are taken.
const (
	cycle     = 5 * time.Second // for one machine: emptying, maintenance, coming back
	busyCycle = 7 * time.Second // the same in a pool that has work waiting
	margin    = 3 * time.Second // before the wave's end by which all should be over
	poolShare = 4               // at most one in so many machines of a pool is taken at once
	leastPar  = 2               // or this many
)

// Pool is what the decision knows of one pool.
type Pool struct {
	Size int  // machines that take work
	Busy bool // work is waiting, or most of its room is taken
}

// Candidate is a machine of a wave that hasn't been taken down yet.
type Candidate struct {
	Machine     string
	Runner      string
	Evacuating  bool // it is being emptied
	LongRunning int  // tasks that last on it
}

// Next picks the machines of a pool to begin emptying, with so much of the wave's time remaining; those already being emptied count.
func Next(p Pool, list []Candidate, remaining time.Duration) []Candidate {
	most := parallel(p, len(list), remaining)
	var open []Candidate
	for _, c := range list {
		if c.Evacuating {
			most--
		} else {
			open = append(open, c)
		}
	}
	slices.SortFunc(open, func(a, b Candidate) int {
		if c := cmp.Compare(a.LongRunning, b.LongRunning); c != 0 {
			return c
		}
		return cmp.Compare(a.Machine, b.Machine)
	})
	return open[:max(0, min(most, len(open)))]
}

// parallel returns how many machines of a pool should be on their way at once.
func parallel(p Pool, left int, remaining time.Duration) int {
	if left == 0 {
		return 0
	}
	most := max(leastPar, p.Size/poolShare)
	rounds := (left + most - 1) / most
	needed := busyCycle * time.Duration(rounds)
	switch {
	case remaining-margin < cycle:
		return max(most, p.Size/2) // the operator's time is nearly over
	case p.Busy && remaining-margin > needed:
		return 0 // there is time enough once the pool is calm
	}
	return most
}
