package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumlead/work"
)

// gangWaits reports whether a gang waits for a rack that holds all of it, instead of being spread over several now. That is
// so for a gang that has to run in the same rack or that has a preferred one.
func (p *Pool) gangWaits(now time.Time, s *step) bool {
	if !p.mayWait(s) || slices.ContainsFunc(s.tasks, (*task).isSuspect) {
		return false
	}
	fitting := p.fittingByRack(now, s)
	total, best := int64(0), int64(0)
	for rack, n := range fitting {
		total += n
		if s.spec.PreferredRack == "" || rack == s.spec.PreferredRack {
			best = max(best, n)
		}
	}
	// If it fits into one rack it starts there, and if it fits nowhere it doesn't wait by choice.
	if best >= int64(s.waiting) || total < int64(s.waiting) {
		return false
	}
	return p.waitsForWholeRack(now, s, slices.Sorted(maps.Keys(fitting)))
}

// chooseHome chooses the rack of a step whose tasks belong in the same one, before its first run: the one where the last
// task is expected to start first. Tasks that have no room there yet wait for it. If that is expected to take too long, the
// step is spread over several racks now.
func (p *Pool) chooseHome(now time.Time, s *step) {
	if !p.mayWait(s) || !s.spec.SameRack || s.spec.PreferredRack != "" {
		return
	}
	if s.home != "" && len(p.rackOutlook(now, s.home).projections) == 0 {
		s.home = "" // the rack is lost
	}
	if s.waiting < len(s.tasks) {
		return
	}
	s.home, s.spreads = "", false
	c := p.termsOf(now, s)
	c.latest = p.latestWait(s.tasks[0], c)
	fitting := p.fittingByRack(now, s)
	for _, rack := range slices.Sorted(maps.Keys(fitting)) {
		at, ok := p.rackOutlook(now, rack).lastStart(now, p, s, c.local)
		if ok && (s.home == "" || at.Before(c.room)) {
			s.home, c.room = rack, at
		}
	}
	if s.home == "" || (c.room.After(now) && !p.prefersWait(c)) {
		s.home, s.spreads = "", true
	}
}

// lastStart returns when the last of the step's waiting tasks is expected to start if all start in the rack.
func (o *rackOutlook) lastStart(now time.Time, p *Pool, s *step, local time.Duration) (time.Time, bool) {
	var copies []*projection
	for _, pr := range o.projections {
		if p.suitable(now, pr.runner, s.tasks[0]) {
			copies = append(copies, &projection{pr.runner, pr.free, slices.Clone(pr.changes)})
		}
	}
	need := s.spec.Occupied()
	last := now
	for range s.waiting {
		var best *projection
		var bestAt time.Time
		for _, pr := range copies {
			if at, ok := pr.earliest(now, need, local); ok && (best == nil || at.Before(bestAt)) {
				best, bestAt = pr, at
			}
		}
		if best == nil {
			return time.Time{}, false
		}
		best.occupy(now, bestAt, bestAt.Add(local), need)
		last = later(last, bestAt)
	}
	return last, true
}

// fittingByRack returns how many waiting tasks of the step each rack has room for.
func (p *Pool) fittingByRack(now time.Time, s *step) map[string]int64 {
	fitting := map[string]int64{}
	for _, r := range p.runners {
		if !r.schedulable(now) || !r.hasLabel(s.spec.RequiredLabel) || !s.approvedOn(now, r) {
			continue
		}
		if _, reserved := p.reserved[r]; !reserved {
			fitting[r.rack()] += countFitting(r, s)
		}
	}
	return fitting
}

// waitsForWholeRack makes the choice for all tasks of a step that start together.
func (p *Pool) waitsForWholeRack(now time.Time, s *step, racks []string) bool {
	if s.spec.PreferredRack != "" {
		racks = []string{s.spec.PreferredRack}
	}
	c := p.termsOf(now, s)
	var tasks []*task
	for _, t := range s.tasks {
		if !t.done {
			tasks = append(tasks, t)
		}
	}
	c.latest = p.latestWait(tasks[0], c)
	bestRack := ""
	var bestTaken map[*projection]int64
	for _, rack := range racks {
		at, taken := p.wholeRoom(now, p.rackOutlook(now, rack), s, c.latest)
		if taken != nil && (bestTaken == nil || at.Before(c.room)) {
			bestRack, bestTaken, c.room = rack, taken, at
		}
	}
	if bestTaken == nil || !p.prefersWait(c) {
		return false
	}
	for pr, n := range bestTaken {
		for range n {
			pr.occupy(now, c.room, c.room.Add(c.local), s.spec.Occupied())
		}
	}
	for _, t := range tasks {
		p.wait(t, bestRack, c)
	}
	return true
}

// wholeRoom returns when a rack is expected to have room for all waiting tasks of a step at once, and how many go to each
// runner. It returns nil if that isn't expected before latest.
func (p *Pool) wholeRoom(now time.Time, o *rackOutlook, s *step, latest time.Time) (time.Time, map[*projection]int64) {
	type change struct {
		roomChange
		of *projection
	}
	free := map[*projection]work.Resources{}
	var changes []change
	for _, pr := range o.projections {
		if !p.suitable(now, pr.runner, s.tasks[0]) {
			continue
		}
		free[pr] = pr.free
		for _, c := range pr.changes {
			changes = append(changes, change{c, pr})
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.of.runner.ID, b.of.runner.ID))
	})
	for _, c := range changes {
		if c.at.After(latest) {
			return time.Time{}, nil
		}
		free[c.of] = free[c.of].Add(c.change)
		if taken := fillRunners(o, free, s); taken != nil {
			return c.at, taken
		}
	}
	return time.Time{}, nil
}

// fillRunners distributes all waiting tasks of a step over runners with the given free room, or returns nil.
func fillRunners(o *rackOutlook, free map[*projection]work.Resources, s *step) map[*projection]int64 {
	left := int64(s.waiting)
	taken := map[*projection]int64{}
	for _, pr := range o.projections {
		room, ok := free[pr]
		if !ok {
			continue
		}
		n := min(left, countFittingInto(room, pr.runner, s))
		if n > 0 {
			taken[pr] = n
			left -= n
		}
	}
	if left > 0 {
		return nil
	}
	return taken
}
