package sched

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the questions to the policy service.
const (
	askSpare   = 4               // runners asked about for each task beyond those needed: some won't be approved
	askMost    = 100             // runners that one question may name, from the service's interface
	askAgain   = 2 * time.Second // a question that wasn't answered is asked again after this
	askTrouble = 4               // times the tasks: the most runners worth asking about
)

// approved tells whether enough runners are approved for the step to try placing it; where not, it asks.
func (p *Pool) approved(now time.Time, s *step) bool {
	a := s.job.queue.Advice
	if a == nil {
		return true
	}
	usable := 0
	for _, r := range p.runners {
		if r.takes(now) && s.approves(now, r) && s.spec.Resources.Fits(r.free()) {
			usable++
		}
	}
	if usable > 0 {
		return true
	}
	if !s.asked.IsZero() && now.Sub(s.asked) < askAgain {
		return false
	}
	ids := p.worthAsking(now, s)
	if len(ids) > 0 {
		s.asked = now
		p.orders = append(p.orders, ApprovalRequest{s.tasks[0].name.StepName(), s.tasks[0].name, ids})
	}
	return false
}

// worthAsking returns the runners that the step would best run on and that it isn't known of whether they are approved.
func (p *Pool) worthAsking(now time.Time, s *step) []string {
	var list []*runner
	for _, r := range p.runners {
		k, told := s.tickets[r.ID]
		if told && k.born == r.Born && now.Before(k.till) {
			continue
		}
		if r.takes(now) && r.labelled(s.spec.RequiredLabel) && s.spec.Resources.Fits(r.free()) {
			list = append(list, r)
		}
	}
	rack := s.spec.PreferredRack
	slices.SortFunc(list, func(a, b *runner) int {
		if c := slices.Compare(costOf(a, s, rack), costOf(b, s, rack)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	most := min(len(list), askMost, max(askSpare, min(s.wait*2+askSpare, s.wait*askTrouble)))
	ids := make([]string, most)
	for i, r := range list[:most] {
		ids[i] = r.ID
	}
	return ids
}

func costOf(r *runner, s *step, rack string) []int64 {
	c := cost(r, s.tasks[0], rack)
	return c[:]
}
