package wave

import (
	"slices"
)

// State is how far a wave is with one instance.
type State string

// The states of an instance in a wave.
const (
	Queued    State = "queued"    // not touched yet
	Taken     State = "taken"     // counted in the pool's budget, with its drain accepted in the journal
	Draining  State = "draining"  // the platform knows of the drain too; entries finish what is in progress
	Quiet     State = "quiet"     // every entry has the drain in force and nothing in progress
	Rebooting State = "rebooting" // the platform was asked to reboot it
	Late      State = "late"      // not back within the bound; still counted in the budget
	Returned  State = "returned"  // seen well under a new boot and back in service
	Dropped   State = "dropped"   // left the wave without a reboot
)

// next is the state machine: from each state, the states that may follow.
func (s State) next() []State {
	switch s {
	case Queued:
		return []State{Taken, Dropped}
	case Taken:
		return []State{Draining, Returned, Dropped}
	case Draining:
		return []State{Quiet, Returned, Dropped}
	case Quiet:
		return []State{Rebooting, Returned, Dropped}
	case Rebooting:
		return []State{Late, Returned, Dropped}
	case Late:
		return []State{Returned, Dropped}
	case Dropped:
		return []State{Queued} // moved back into the pool
	case Returned:
	}
	return nil
}

// States returns all states in the order of a wave.
func States() []State {
	return []State{Queued, Taken, Draining, Quiet, Rebooting, Late, Returned, Dropped}
}

// CanBecome tells whether to may follow s.
func (s State) CanBecome(to State) bool {
	return slices.Contains(s.next(), to)
}

// IsOut tells whether an instance in the state counts as a planned take.
func (s State) IsOut() bool {
	return s != Queued && !s.IsFinal()
}

// IsFinal tells whether the wave is through with an instance in the state.
func (s State) IsFinal() bool {
	return s == Returned || s == Dropped
}
