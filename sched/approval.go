package sched

import (
	"cmp"
	"slices"
	"time"
)

// Limits for requests to the policy service.
const (
	spareApprovals      = 4                      // runners asked for beyond those for the waiting tasks, as some won't be approved; also the minimum to ask for
	approvalFactor      = 4                      // maximum number of runners to ask for, as a multiple of the waiting tasks
	placeFactor         = 2                      // places that the runners to ask for have, as a multiple of the waiting tasks
	maxApprovalRunners  = 100                    // runners that one request may name, as stated by the service's interface
	maxApprovalRequests = 2                      // unanswered requests of a pool: one at the service, and one that follows it at once
	shortAnswer         = time.Second            // an answer that takes longer than this, and twice its fixed part, is asked for in parts
	refusalValid        = 30 * time.Second       // a step's policy doesn't change, so that a refused runner isn't asked about again for this long
	maxStartDelay       = 200 * time.Millisecond // from the decision to start a task until its ticket is checked
	maxDoublings        = 4                      // of the number of runners to ask for, after answers that approved too few
)

// ensureApproved reports whether enough runners with room are approved for the step, so that placing it can be tried. If not,
// it orders an approval request unless one is pending.
func (p *Pool) ensureApproved(now time.Time, s *step) bool {
	if s.job.queue.Advice == nil || s.endsAsGang() {
		return true
	}
	if p.countPlaces(s, func(r *runner) bool { return r.schedulable(now) && s.approvedOn(now, r) }) >= s.placesNeeded() {
		return true
	}
	name := s.tasks[0].name.StepName()
	if _, pending := p.approvalRequests[name]; pending || len(p.approvalRequests) >= maxApprovalRequests {
		return false
	}
	ids := p.approvalCandidates(now, s)
	if len(ids) > 0 {
		p.approvalRequests[name] = struct{}{}
		p.orders = append(p.orders, ApprovalRequest{name, s.tasks[0].name, ids, *s.job.queue.Advice, s.job.queue.Priority})
	}
	return false
}

// endsAsGang reports whether the step is a gang of which some runs are left, which has to be stopped before it starts again.
func (s *step) endsAsGang() bool {
	return s.spec.Gang && slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.runs) > 0 })
}

// placesNeeded returns for how many of the step's tasks there must be approved room before any of them starts.
func (s *step) placesNeeded() int {
	if s.spec.Gang {
		return len(s.tasks)
	}
	return 1
}

// countPlaces returns how many tasks of the step the runners have room for that may is true of, up to what the step needs.
func (p *Pool) countPlaces(s *step, may func(*runner) bool) int {
	places := 0
	for _, r := range p.runners {
		if places >= s.placesNeeded() {
			break
		}
		if may(r) {
			places += r.countPlaces(s)
		}
	}
	return places
}

// countPlaces returns how many more tasks of the step the runner has room for, up to the number of its tasks.
func (r *runner) countPlaces(s *step) int { return int(placesIn(r.free(), r, s, len(s.tasks))) }

// approvalCandidates returns the runners to ask about: of those without a valid answer of the policy service, the best for the
// step. The service's policy doesn't change, so those that it approved before come first if they are enough; otherwise those
// that it was never asked about, and those that it refused last.
func (p *Pool) approvalCandidates(now time.Time, s *step) []string {
	var list []*runner
	for _, r := range p.runners {
		a, answered := s.approvals[r.ID]
		if answered && a.born == r.Born && now.Before(a.validUntil) {
			continue
		}
		if r.schedulable(now) && r.hasLabel(s.spec.RequiredLabel) && r.countPlaces(s) > 0 {
			list = append(list, r)
		}
	}
	enough := p.countPlaces(s, func(r *runner) bool { return r.schedulable(now) && s.approvals[r.ID].ticket != "" }) >= s.placesNeeded()
	rack := s.spec.PreferredRack
	slices.SortFunc(list, func(a, b *runner) int {
		if c := cmp.Compare(s.askingOrder(a, enough), s.askingOrder(b, enough)); c != 0 {
			return c
		}
		if c := slices.Compare(costForStep(a, s, rack), costForStep(b, s, rack)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	ids := make([]string, s.runnersToAsk(list))
	for i := range ids {
		ids[i] = list[i].ID
	}
	return ids
}

// runnersToAsk returns how many of the listed runners to ask about: those with room for the waiting tasks and some more, but no more
// than can be answered soon. A gang starts with all its members or none, and the approvals of an answer are valid for the same
// time, so that it asks about enough runners at once, however long that takes.
func (s *step) runnersToAsk(list []*runner) int {
	enough, places := 0, 0
	for enough < len(list) && places < placeFactor*s.waiting {
		places += list[enough].countPlaces(s)
		enough++
	}
	n := min(enough+spareApprovals, s.waiting*placeFactor+spareApprovals, s.waiting*approvalFactor)
	n = max(spareApprovals, n<<min(s.fewApproved, maxDoublings))
	if terms := s.job.queue.Advice; terms.Each > 0 {
		soon := max(1, int(max(shortAnswer-terms.Base, terms.Base)/terms.Each))
		if s.spec.Gang {
			soon = max(soon, enough+spareApprovals)
		}
		n = min(n, soon)
	}
	return min(n, len(list), maxApprovalRunners)
}

// askingOrder returns the place of a runner among those to ask about, by the last answer; enough states that the approved ones
// suffice for the step.
func (s *step) askingOrder(r *runner, enough bool) int {
	a, answered := s.approvals[r.ID]
	switch {
	case answered && a.ticket != "" && enough:
		return 0
	case !answered:
		return 1
	case a.ticket != "":
		return 2
	}
	return 3
}

// costForStep returns the cost of placing a task of the step on a runner.
func costForStep(r *runner, s *step, rack string) []int64 {
	c := cost(r, s.tasks[0], rack)
	return c[:]
}
