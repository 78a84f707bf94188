package upkeep

import (
	"cmp"
	"slices"
	"time"

	"gypsumlead/platform"
)

// Figures of the order in which machines are taken.
const (
	cycle     = 5 * time.Second // for one machine: emptying, maintenance, coming back
	busyCycle = 7 * time.Second // the same in a pool that has work waiting
	margin    = 3 * time.Second // before the wave's end by which all should be over
	poolShare = 4               // at most one in so many machines of a pool is taken at once
	leastPar  = 2               // or this many
)

// Pool is what the decision knows of one pool that this daemon schedules.
type Pool struct {
	Size int  // machines that take work
	Busy bool // work is waiting, or most of its room is taken
	Idle bool // its machines are off
}

// Candidate is a machine of a wave that this daemon looks after and that isn't claimed yet.
type Candidate struct {
	Machine platform.Machine
	Taken   bool // it is being emptied
	Empty   bool
	Lasting int // tasks that last on it
}

// parallel returns how many machines of a pool should be on their way at once, with so many left and so much time.
func parallel(p Pool, left int, remaining time.Duration) int {
	if left == 0 {
		return 0
	}
	if p.Idle {
		return left
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

// next picks the machines to begin emptying: those already being emptied count against the number.
func next(list []Candidate, most int) []Candidate {
	var open []Candidate
	for _, c := range list {
		if c.Taken {
			most--
		} else if c.Machine.State == platform.MachineUp {
			open = append(open, c)
		}
	}
	if most <= 0 {
		return nil
	}
	slices.SortFunc(open, func(a, b Candidate) int {
		if c := cmp.Compare(a.Lasting, b.Lasting); c != 0 {
			return c
		}
		return cmp.Compare(a.Machine.Name, b.Machine.Name)
	})
	return open[:min(most, len(open))]
}
