package wave

import (
	"cmp"
	"slices"
	"time"

	"gypsumlead/fault"
	"gypsumlead/pool"
	"gypsumlead/record"
)

// takeLimit bounds the takes of one transaction, each of which writes a drain and an audit entry.
const takeLimit = 32

// candidate is a queued instance with how much of the wave is left in its failure domains.
type candidate struct {
	member pool.Member
	rack   int
	centre int
}

// Pick takes as many queued instances as the budget, the pace and the order allow now. The error
// says what forbids a further one; it is nil when nothing is queued.
func (p Part) Pick(rec record.Wave, b record.Budget, s pool.State, v pool.View, now time.Time) (pool.State, []pool.Take, error) {
	var takes []pool.Take
	lost := pool.Losses(s, v, now)
	out := s.Count(lost)
	var refused *pool.Member
	for _, c := range p.candidates(rec, s) {
		if len(takes) == takeLimit {
			return s, takes, nil // the next step goes on
		}
		if err := p.paced(rec, len(takes)); err != nil {
			return s, takes, err
		}
		if isLost(lost, c.member.ID) || !out.Fits(b, c.member) {
			refused = &c.member
			continue
		}
		next, t, err := s.Take(pool.Ask{Instance: c.member.ID, Cause: pool.CauseWave, By: p.Wave}, b, v, now)
		if fault.Is(err, fault.Breach) {
			return s, nil, err
		}
		if err != nil {
			refused = &c.member
			continue
		}
		s = next
		out = s.Count(lost)
		takes = append(takes, t)
	}
	if refused == nil {
		return s, takes, nil
	}
	_, _, err := s.Take(pool.Ask{Instance: refused.ID, Cause: pool.CauseWave, By: p.Wave}, b, v, now)
	return s, takes, err
}

func isLost(lost []pool.Loss, id string) bool {
	return slices.ContainsFunc(lost, func(l pool.Loss) bool { return l.Instance == id })
}

// paced says whether the operator's pace forbids a further instance.
func (p Part) paced(rec record.Wave, picked int) error {
	pace := rec.Pace
	if rec.Order == record.OrderSerial {
		pace = 1
	}
	if out := p.Out() + picked; pace > 0 && out >= pace {
		return fault.New(fault.Budget, "the wave's pace is %d and it has %d out", pace, out)
	}
	return nil
}

// candidates returns the queued instances in the order in which they should go.
func (p Part) candidates(rec record.Wave, s pool.State) []candidate {
	racks, centres := map[string]int{}, map[string]int{}
	var cs []candidate
	for _, it := range p.Items {
		m, ok := s.Member(it.Instance)
		if it.State != Queued || !ok {
			continue
		}
		racks[m.Rack]++
		centres[m.Centre]++
		cs = append(cs, candidate{member: m})
	}
	for i, c := range cs {
		cs[i].rack = racks[c.member.Rack]
		cs[i].centre = centres[c.member.Centre]
	}
	if rec.Order == record.OrderRack {
		return p.oneRack(cs, s)
	}
	if rec.Order == record.OrderSerial {
		return cs
	}
	return spread(cs)
}

// spread orders by what is left in each failure domain: where most is left, the bounds of
// that domain make the wave longest. Each pick lowers its domain's rest.
func spread(cs []candidate) []candidate {
	byID := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rack, a.rack), cmp.Compare(b.centre, a.centre), cmp.Compare(a.member.ID, b.member.ID))
	}
	slices.SortFunc(cs, byID)
	// Rank within the rack: the k-th of each rack goes after every rack's first k-1, so that
	// one pass touches all racks before any a second time.
	seen := map[string]int{}
	rank := make(map[string]int, len(cs))
	for _, c := range cs {
		rank[c.member.ID] = c.rack - seen[c.member.Rack]
		seen[c.member.Rack]++
	}
	slices.SortStableFunc(cs, func(a, b candidate) int {
		return cmp.Compare(rank[b.member.ID], rank[a.member.ID])
	})
	return cs
}

// oneRack keeps the candidates of the rack at work, or of the first one where none is.
func (p Part) oneRack(cs []candidate, s pool.State) []candidate {
	rack := ""
	for _, it := range p.Items {
		if m, ok := s.Member(it.Instance); ok && it.State.IsOut() {
			rack = m.Rack
		}
	}
	if rack == "" && len(cs) > 0 {
		rack = slices.MinFunc(cs, func(a, b candidate) int { return cmp.Compare(a.member.Rack, b.member.Rack) }).member.Rack
	}
	return slices.DeleteFunc(cs, func(c candidate) bool { return c.member.Rack != rack })
}
