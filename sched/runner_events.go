package sched

import (
	"time"

	"gypsumlead/work"
)

// InheritRunner names a runner that an earlier holder may have given work to; over is when that has ended at
// the latest, where an earlier holder found the runner silent, or zero.
func (p *Pool) InheritRunner(w work.Runner, over time.Time) {
	r := p.get(w)
	r.inherited = true
	r.resolve = p.began.Add(p.bounds.InheritedTTL)
	if !over.IsZero() {
		r.marked = true
		if over.Before(r.resolve) {
			r.resolve = over
		}
	}
}

func (p *Pool) get(w work.Runner) *runner {
	r, ok := p.runners[w.ID]
	if !ok {
		r = newRunner(w)
		p.runners[w.ID] = r
	}
	return r
}

// UpdateRunner takes in a runner's entry in the platform's list.
func (p *Pool) UpdateRunner(now time.Time, w work.Runner) {
	r := p.get(w)
	p.replaced(now, w)
	p.bornAs(now, r, w.Born)
	born := max(r.Born, w.Born)
	if w.Draining && !r.Draining {
		r.leavesAt = now.Add(max(0, w.Leaves))
	}
	r.Runner = w
	r.Born = born
	r.listed = true
}

// replaced ends earlier lives of a runner's machine.
func (p *Pool) replaced(now time.Time, w work.Runner) {
	if w.Machine == "" {
		return
	}
	for _, old := range p.runners {
		if old.Machine == w.Machine && old.ID != w.ID && old.Born < w.Born {
			p.ceased(now, old)
		}
	}
}

// ceased takes in that a runner is no more: all that it ran has ended.
func (p *Pool) ceased(now time.Time, r *runner) {
	for x := range r.runs {
		p.giveUp(now, x, "another runner has its place")
	}
	r.lease.Reset()
	r.ends = nil
	r.known = true
	r.listed = false
	p.tidy(now, r)
}

// MarkUnlisted takes in that a runner is no longer in the platform's list; what it runs may go on.
func (p *Pool) MarkUnlisted(now time.Time, id string) {
	r, ok := p.runners[id]
	if !ok {
		return
	}
	r.listed = false
	p.tidy(now, r)
}

// tidy forgets a runner that is not listed, holds nothing and can't surprise us any more.
func (p *Pool) tidy(now time.Time, r *runner) {
	if r.listed || len(r.runs) > 0 || len(r.ends) > 0 || !r.resolved() {
		return
	}
	// Without a run, known or unwanted, it doesn't matter how long its lease lasts.
	if over, ok := r.lease.Expiry(); ok && now.Before(over) && p.hasStray(r) {
		return
	}
	delete(p.runners, r.ID)
}

// hasStray tells whether a run that nobody wants may be left on the runner.
func (p *Pool) hasStray(r *runner) bool {
	for s := range p.strays {
		if s.runner == r.ID {
			return true
		}
	}
	return false
}

// HandleReplacement takes in a runner of any pool: earlier lives of its machine are over.
func (p *Pool) HandleReplacement(now time.Time, w work.Runner) { p.replaced(now, w) }

// bornAs takes in the start of the runner's present life; another one than before means that all of the old is gone.
func (p *Pool) bornAs(now time.Time, r *runner, born int64) {
	if born <= r.Born {
		return
	}
	if r.Born != 0 {
		r.lease.Reset()
		for x := range r.runs {
			if x.listed {
				p.giveUp(now, x, "its runner has started anew")
				continue
			}
			p.carryOver(now, r, x)
		}
		r.seen, r.acked, r.ends = 0, 0, nil
		r.health = health{}
		r.asked, r.missed = time.Time{}, false
		r.doubt = !p.sure
	}
	r.Born = born
}

// carryOver takes in that a runner has started anew since a start was ordered that no look has listed: the
// order may have reached the new life, also where it was answered. A look at that life tells, or a stop forbids it.
func (p *Pool) carryOver(now time.Time, r *runner, x *run) {
	switch x.phase {
	case running:
		x.phase, x.sure = unsure, time.Time{}
	case stopping:
		x.stopped = time.Time{} // the old life's answer forbids nothing in the new one
	case sending, unsure:
	}
	longest := max(p.bounds.MaxTTL, p.bounds.TTL)
	r.lease.KeepUntil(now.Add(time.Duration(float64(longest) / (1 - MaxClockSkew))))
}

// PollSent takes in that a look at a runner was sent; wait is how long its answer may wait for an end.
func (p *Pool) PollSent(sent time.Time, id string, wait time.Duration) {
	if r, ok := p.runners[id]; ok && r.asked.IsZero() {
		r.asked = sent.Add(wait)
	}
}

// ExtendLease returns the deadline of an order that is sent to a runner now, on the runner's clock. A runner
// that doesn't answer gets none, so that the end of its lease stays where it is.
func (p *Pool) ExtendLease(now time.Time, id string) time.Duration {
	r, ok := p.runners[id]
	if !ok || r.missed || r.marked {
		return 0
	}
	return r.lease.Extend(now, p.bounds.TTL)
}

// AckCursor returns up to which number a runner's ends may be forgotten.
func (p *Pool) AckCursor(id string) int64 {
	r, ok := p.runners[id]
	if !ok || r.missed {
		return 0 // it may have started anew, and count its ends from 1 again
	}
	return r.acked
}

// HasUncommittedEnds tells whether ends of the runner are waiting for the store.
func (p *Pool) HasUncommittedEnds(id string) bool {
	r, ok := p.runners[id]
	return ok && len(r.ends) > 0
}

// HandlePollResult takes in the answer to a look that was sent at a time.
func (p *Pool) HandlePollResult(now time.Time, id string, sent time.Time, l work.PollResult) {
	r, ok := p.runners[id]
	if !ok {
		return
	}
	if l.Fenced {
		p.fenced = true
		return
	}
	if l.Replaced {
		p.ceased(now, r)
		return
	}
	if l.Born != 0 && l.Born < r.Born {
		return // an answer of an earlier life that was on its way
	}
	p.bornAs(now, r, l.Born)
	r.lease.ObserveClock(l.Clock, now)
	r.answered = now
	r.asked, r.missed = time.Time{}, false
	r.known = true
	for _, e := range l.Ends {
		p.end(now, r, e)
	}
	listed := make(map[*run]struct{}, len(l.Runs))
	for _, w := range l.Runs {
		if x := p.runs(now, r, w); x != nil {
			listed[x] = struct{}{}
		}
	}
	for x := range r.runs {
		if _, ok := listed[x]; !ok {
			p.absent(now, x, sent)
		}
	}
}

// HandlePollFailure takes in that a look wasn't answered.
func (p *Pool) HandlePollFailure(now time.Time, id string) {
	r, ok := p.runners[id]
	if !ok {
		return
	}
	if r.asked.IsZero() {
		r.asked = now
	}
	r.missed = true
	p.tidy(now, r)
}

// expire frees what ran on runners whose lease has surely run out, and resolves what an earlier holder left on silent ones.
func (p *Pool) expire(now time.Time) {
	for _, r := range p.runners {
		if r.inherited && !r.known && now.After(r.resolve) {
			r.known, r.missed = true, true // it has been silent all along
		}
		over, ok := r.lease.Expiry()
		if !ok || now.Before(over) {
			continue
		}
		for x := range r.runs {
			if x.sent.Before(over) {
				p.giveUp(now, x, "its runner is silent and the lease is over")
			}
		}
		p.tidy(now, r)
	}
}
