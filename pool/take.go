package pool

import (
	"slices"
	"time"

	"gypsumlead/fault"
	"gypsumlead/record"
)

// Ask is a wish to take one instance.
type Ask struct {
	Instance string
	Cause    Cause
	By       string
}

// Take returns the state with the instance taken, or says which bound forbids it.
func (s State) Take(a Ask, b record.Budget, v View, now time.Time) (State, Take, error) {
	t, err := s.taking(a, b, v, now)
	if err != nil {
		return s, t, err
	}
	i, _ := s.take(a.Instance)
	s.Takes = slices.Insert(slices.Clone(s.Takes), i, t)
	if err := s.Check(); err != nil {
		return s, t, err
	}
	m, _ := s.Member(a.Instance)
	return s, t, s.within(b, m)
}

// taking checks that the instance may be taken now.
func (s State) taking(a Ask, b record.Budget, v View, now time.Time) (Take, error) {
	m, ok := s.Member(a.Instance)
	if !ok {
		return Take{}, fault.New(fault.Missing, "instance %s is no member of the pool", a.Instance)
	}
	if t, taken := s.Taken(a.Instance); taken {
		return Take{}, fault.New(fault.Conflict, "instance %s is taken by %s %s since %s", a.Instance, t.Cause, t.By, t.Since.UTC().Format(time.RFC3339))
	}
	lost := Losses(s, v, now)
	if err := s.Count(lost).Room(b, m); err != nil {
		return Take{}, err
	}
	if why := unwell(m, v, now); why != "" {
		return Take{}, fault.New(fault.Conflict, "instance %s is out without a plan: %s", a.Instance, why)
	}
	in, ok := v.Find(a.Instance)
	if !ok || m.Seen.After(in.Seen) && m.Boot != in.Boot {
		return Take{}, fault.New(fault.Conflict, "the list doesn't show the present boot of instance %s yet", a.Instance)
	}
	return Take{Instance: a.Instance, Boot: in.Boot, Cause: a.Cause, By: a.By, Since: now, Seen: in.Seen}, nil
}

// Return returns the state without the take of by, if the instance is seen well under another boot.
func (s State) Return(id, by string, v View, now time.Time) (State, error) {
	i, ok := s.take(id)
	if !ok {
		return s, fault.New(fault.Missing, "instance %s isn't taken", id)
	}
	t := s.Takes[i]
	if t.By != by {
		return s, fault.New(fault.Conflict, "instance %s is taken by %s %s, not by %s", id, t.Cause, t.By, by)
	}
	in, back := Back(t, v, now)
	if !back {
		return s, fault.New(fault.Conflict, "instance %s isn't seen well under another boot than %s yet", id, t.Boot)
	}
	s.Takes = slices.Delete(slices.Clone(s.Takes), i, i+1)
	s.Members = slices.Clone(s.Members)
	j, _ := s.member(id)
	s.Members[j].Boot = in.Boot
	s.Members[j].Seen = in.Seen
	if t.Cause == CauseWave {
		s.Members[j].Done = by
	}
	return s, s.Check()
}
