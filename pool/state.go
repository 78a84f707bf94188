package pool

import (
	"cmp"
	"slices"
	"time"

	"gypsumlead/fault"
)

// State is a pool's row in the table; an instance is a member once at most, and only members are taken, each once at most.
type State struct {
	Members []Member `json:"members,omitempty"` // sorted by ID
	Takes   []Take   `json:"takes,omitempty"`   // sorted by instance
}

// Member is an instance of the pool with its failure domains.
type Member struct {
	ID     string    `json:"id"`
	Rack   string    `json:"rack"`
	Centre string    `json:"centre"`
	Boot   string    `json:"boot,omitempty"` // newest boot that a return was decided on
	Seen   time.Time `json:"seen,omitzero"`  // when the platform heard from that boot
	Done   string    `json:"done,omitempty"` // last wave that rebooted it
}

// Cause says what kind of work takes an instance.
type Cause string

// The causes of planned takes.
const (
	CauseWave   Cause = "wave"
	CauseReboot Cause = "reboot" // an operator takes one instance out by hand
	CauseMove   Cause = "move"
	CauseLend   Cause = "lend"
)

// Take is a planned take: the instance counts as out until it is seen well under another boot.
type Take struct {
	Instance string    `json:"instance"`
	Boot     string    `json:"boot"`
	Cause    Cause     `json:"cause"`
	By       string    `json:"by"` // name of the wave or operator
	Since    time.Time `json:"since"`
	Seen     time.Time `json:"seen"` // when the platform had heard from Boot as the take was decided
}

// Key is the table key of the pool's row.
func Key(name string) string {
	return "pool/" + name + "/takes"
}

// Member returns the member of that ID.
func (s State) Member(id string) (Member, bool) {
	i, ok := s.member(id)
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// Taken returns the take of an instance.
func (s State) Taken(id string) (Take, bool) {
	i, ok := s.take(id)
	if !ok {
		return Take{}, false
	}
	return s.Takes[i], true
}

// Add returns the state with m as a further member.
func (s State) Add(m Member) (State, error) {
	i, ok := s.member(m.ID)
	if ok {
		return s, fault.New(fault.Conflict, "instance %s is a member already", m.ID)
	}
	s.Members = slices.Insert(slices.Clone(s.Members), i, m)
	return s, s.Check()
}

// Remove returns the state without the member and its take.
func (s State) Remove(id string) (State, error) {
	i, ok := s.member(id)
	if !ok {
		return s, fault.New(fault.Missing, "instance %s is no member", id)
	}
	s.Members = slices.Delete(slices.Clone(s.Members), i, i+1)
	if j, taken := s.take(id); taken {
		s.Takes = slices.Delete(slices.Clone(s.Takes), j, j+1)
	}
	return s, s.Check()
}

// Check is the aggregate's invariant; an error of kind fault.Breach means a defect of the program.
func (s State) Check() error {
	for i := 1; i < len(s.Members); i++ {
		if s.Members[i-1].ID >= s.Members[i].ID {
			return fault.New(fault.Breach, "members %s and %s are out of order or the same", s.Members[i-1].ID, s.Members[i].ID)
		}
	}
	for i, t := range s.Takes {
		if i > 0 && s.Takes[i-1].Instance >= t.Instance {
			return fault.New(fault.Breach, "takes of %s and %s are out of order or the same", s.Takes[i-1].Instance, t.Instance)
		}
		if _, ok := s.member(t.Instance); !ok {
			return fault.New(fault.Breach, "instance %s is taken but no member", t.Instance)
		}
	}
	return nil
}

func (s State) member(id string) (int, bool) {
	return slices.BinarySearchFunc(s.Members, id, func(m Member, id string) int { return cmp.Compare(m.ID, id) })
}

func (s State) take(id string) (int, bool) {
	return slices.BinarySearchFunc(s.Takes, id, func(t Take, id string) int { return cmp.Compare(t.Instance, id) })
}
