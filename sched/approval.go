package sched

import (
	"cmp"
	"slices"
	"time"
)

// Limits for requests to the policy service.
const (
	spareApprovals        = 4               // runners asked for beyond twice the waiting tasks, as some won't be approved; also the minimum to ask for
	maxApprovalRunners    = 100             // runners that one request may name, as stated by the service's interface
	approvalRetryInterval = 2 * time.Second // an unanswered request is repeated after this
	approvalFactor        = 4               // maximum number of runners to ask for, as a multiple of the waiting tasks
)

// ensureApproved reports whether a runner with room is approved for the step, so that placing it can be tried. If not,
// it orders an approval request unless one is pending.
func (p *Pool) ensureApproved(now time.Time, s *step) bool {
	a := s.job.queue.Advice
	if a == nil {
		return true
	}
	usable := 0
	for _, r := range p.runners {
		if r.schedulable(now) && s.approvedOn(now, r) && s.spec.Resources.Fits(r.free()) {
			usable++
		}
	}
	if usable > 0 {
		return true
	}
	if !s.approvalSentAt.IsZero() && now.Sub(s.approvalSentAt) < approvalRetryInterval {
		return false
	}
	ids := p.approvalCandidates(now, s)
	if len(ids) > 0 {
		s.approvalSentAt = now
		p.orders = append(p.orders, ApprovalRequest{s.tasks[0].name.StepName(), s.tasks[0].name, ids})
	}
	return false
}

// approvalCandidates returns the best runners for the step among those without a valid answer of the policy service.
func (p *Pool) approvalCandidates(now time.Time, s *step) []string {
	var list []*runner
	for _, r := range p.runners {
		a, answered := s.approvals[r.ID]
		if answered && a.born == r.Born && now.Before(a.validUntil) {
			continue
		}
		if r.schedulable(now) && r.hasLabel(s.spec.RequiredLabel) && s.spec.Resources.Fits(r.free()) {
			list = append(list, r)
		}
	}
	rack := s.spec.PreferredRack
	slices.SortFunc(list, func(a, b *runner) int {
		if c := slices.Compare(costForStep(a, s, rack), costForStep(b, s, rack)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	limit := min(len(list), maxApprovalRunners, max(spareApprovals, min(s.waiting*2+spareApprovals, s.waiting*approvalFactor)))
	ids := make([]string, limit)
	for i, r := range list[:limit] {
		ids[i] = r.ID
	}
	return ids
}

// costForStep returns the cost of placing a task of the step on a runner.
func costForStep(r *runner, s *step, rack string) []int64 {
	c := cost(r, s.tasks[0], rack)
	return c[:]
}
