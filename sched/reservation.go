package sched

import (
	"time"

	"gypsumlead/work"
)

// Limits for reservations.
const (
	maxReservations     = 2               // steps that fit nowhere and reserve a runner in one plan
	reservationPatience = 2 * time.Second // for which a reserved runner turns tasks away that fit nowhere else
	reservationPause    = 6 * time.Second // after that, for which the runner isn't reserved again
)

// reservation is what one plan keeps of a runner for a step that found no room, against less urgent steps.
type reservation struct {
	kept  work.Resources // less urgent tasks leave this much free of each resource that they use
	whole bool           // no other task may start there
}

// turnAway is since when and until when a runner's reservation has turned away tasks that fitted nowhere else.
type turnAway struct {
	since, last time.Time
}

// note records that a task is turned away now.
func (t *turnAway) note(now time.Time) {
	if now.Sub(t.last) > reservationPatience {
		t.since = now
	}
	t.last = now
}

// tooLong reports whether tasks have been turned away for longer than they should wait.
func (t *turnAway) tooLong(now time.Time) bool {
	return t.last.Sub(t.since) >= reservationPatience && now.Sub(t.last) <= reservationPatience
}

// leaves reports whether a task that takes need of the free room leaves what is kept.
func (res reservation) leaves(free, need work.Resources) bool {
	left := free.Sub(need)
	return !res.whole &&
		(need.CPU == 0 || left.CPU >= res.kept.CPU) &&
		(need.Mem == 0 || left.Mem >= res.kept.Mem) &&
		(need.GPU == 0 || left.GPU >= res.kept.GPU)
}

// reservedFrom reports whether the runner's reservation keeps a task of the step off it.
func (p *Pool) reservedFrom(r *runner, s *step) bool {
	res, ok := p.reserved[r]
	return ok && !res.leaves(r.free(), s.spec.Occupied())
}

// allows reports whether a schedulable runner may run a task of the step, whatever room it has.
func (r *runner) allows(now time.Time, s *step) bool {
	return r.hasLabel(s.spec.RequiredLabel) && !r.atRunLimit(s) && s.approvedOn(now, r)
}

// atRunLimit reports whether the runner has as many runs of the step as it may have.
func (r *runner) atRunLimit(s *step) bool {
	return s.spec.MaxPerRunner > 0 && r.countRuns(s) >= s.spec.MaxPerRunner
}

// roomInTime returns the runner's room once all runs have ended that do so by themselves.
func (r *runner) roomInTime() work.Resources { return r.Room.Sub(r.lasting) }

// placesInTime returns how many waiting tasks of the step the runner can take at once, when all its runs have ended that do
// so by themselves.
func (p *Pool) placesInTime(now time.Time, r *runner, s *step) int64 {
	if !r.schedulable(now) || !s.spec.Occupied().Fits(r.roomInTime()) || r.keptFrom(s.job, now) || !r.allows(now, s) {
		return 0
	}
	return countFittingInto(r.roomInTime(), r, s)
}

// placeableInTime reports whether the runners can take a task of the step, or all members of a gang, when all runs have ended
// that do so by themselves. Nothing is kept, and nobody stopped, for a step of which that isn't so.
func (p *Pool) placeableInTime(now time.Time, s *step) bool {
	places, need := int64(0), int64(s.placesNeeded())
	for _, r := range p.runners {
		places += p.placesInTime(now, r, s)
		if places >= need {
			return true
		}
	}
	return false
}

// reserve reserves room for the step on the runner with the most free CPU among those that can take its tasks in time, so that
// less urgent steps don't take it. It returns false if there is none.
func (p *Pool) reserve(now time.Time, s *step) bool {
	if !p.placeableInTime(now, s) {
		return false
	}
	var best *runner
	places := int64(0)
	for _, r := range p.runners {
		if _, taken := p.reserved[r]; taken {
			continue
		}
		if best != nil && (r.free().CPU < best.free().CPU || (r.free().CPU == best.free().CPU && r.ID > best.ID)) {
			continue
		}
		if n := p.placesInTime(now, r, s); n > 0 && p.mayReserve(now, r) {
			best, places = r, n
		}
	}
	if best == nil {
		return false
	}
	p.reserved[best] = reservation{kept: multiply(s.spec.Resources, min(places, int64(s.placesNeeded())))}
	return true
}

// mayReserve reports whether the runner may be reserved. One that has turned tasks away for too long isn't reserved for a
// while: the runs on it may not end soon, and those tasks can use what is free. A busy pool has no room for them elsewhere, so
// that large tasks would never start there without reservations.
func (p *Pool) mayReserve(now time.Time, r *runner) bool {
	if now.Before(r.unreservedUntil) {
		return false
	}
	if !r.turnedAway.tooLong(now) || p.busy(now) {
		return true
	}
	r.unreservedUntil, r.turnedAway = now.Add(reservationPause), turnAway{}
	return false
}

// noteTurnedAway records which reservations keep a step from room that it doesn't find elsewhere.
func (p *Pool) noteTurnedAway(now time.Time, s *step) {
	for r, res := range p.reserved {
		if !res.whole && p.reservedFrom(r, s) && r.schedulable(now) && s.spec.Occupied().Fits(r.free()) && r.allows(now, s) {
			r.turnedAway.note(now)
		}
	}
}
