package sched

import (
	"time"

	"gypsumlead/work"
)

// InheritRunner adds a runner that an earlier leader may have given work to. If that leader found it silent, expiry is
// when its runs have ended at the latest; otherwise expiry is zero. If it has restarted lately, keep is until when orders for
// earlier incarnations may keep its runs alive.
func (p *Pool) InheritRunner(info work.Runner, expiry, keep time.Time) {
	r := p.getOrAddRunner(info)
	r.lease.KeepUntil(keep)
	r.inherited = true
	r.inheritedExpiry = p.termStart.Add(p.leases.InheritedTTL)
	if !expiry.IsZero() {
		r.storedSilent = true
		if expiry.Before(r.inheritedExpiry) {
			r.inheritedExpiry = expiry
		}
	}
}

// getOrAddRunner returns the runner with the ID of info, and adds it if it is unknown.
func (p *Pool) getOrAddRunner(info work.Runner) *runner {
	r, ok := p.runners[info.ID]
	if !ok {
		r = newRunner(info)
		p.restoreRemoved(r)
		p.runners[info.ID] = r
	}
	return r
}

// UpdateRunner adds or updates a runner from its entry in the platform's list.
func (p *Pool) UpdateRunner(now time.Time, info work.Runner) {
	r := p.getOrAddRunner(info)
	r.succeeds = r.succeeds || p.hasPredecessor(info)
	p.setIncarnation(now, r, info.Born)
	born := max(r.Born, info.Born)
	if info.Draining && !r.Draining {
		r.leavesAt = now.Add(max(0, info.Leaves))
	}
	r.Runner = info
	r.Born = born
	r.listed, r.entryBorn = true, info.Born
}

// hasPredecessor reports whether a runner was started earlier on the same machine. The entry alone doesn't prove that it has ended:
// it may be of another writer. Once its successor has answered a poll, it has.
func (p *Pool) hasPredecessor(info work.Runner) bool {
	for _, old := range p.runners {
		if old.precedes(info) {
			return true
		}
	}
	return false
}

// precedes reports whether the runner was started earlier on the machine of another one.
func (r *runner) precedes(info work.Runner) bool {
	return info.Machine != "" && r.Machine == info.Machine && r.ID != info.ID && r.Born < info.Born
}

// endReplaced drops runners that were started earlier on the same machine. crashed states that they have crashed, unless
// their ends were planned.
func (p *Pool) endReplaced(now time.Time, info work.Runner, crashed bool) {
	for _, old := range p.runners {
		if old.precedes(info) {
			if crashed {
				p.handleCrash(now, old)
			}
			p.runnerGone(now, old)
		}
	}
}

// runnerGone abandons the runs of a runner that no longer exists.
func (p *Pool) runnerGone(now time.Time, r *runner) {
	for run := range r.runs {
		if run.phase == planned {
			run.task.removeRun(run, now)
			continue
		}
		p.abandon(now, run, "another runner has its place")
	}
	r.lease.Reset()
	r.pendingEnds = nil
	r.known = true
	r.listed = false
	p.removeIfUnused(now, r)
}

// RunnerGone handles the proof that a runner no longer exists, for example because its machine is in another pool.
func (p *Pool) RunnerGone(now time.Time, id string) {
	if r, ok := p.runners[id]; ok {
		p.runnerGone(now, r)
	}
}

// MarkUnlisted records that a runner is no longer in the platform's list. Its runs may continue.
func (p *Pool) MarkUnlisted(now time.Time, id string) {
	r, ok := p.runners[id]
	if !ok {
		return
	}
	r.listed = false
	p.removeIfUnused(now, r)
}

// removeIfUnused removes a runner that is not listed, has no runs or unacknowledged ends, and can't have unknown runs.
func (p *Pool) removeIfUnused(now time.Time, r *runner) {
	if r.listed || len(r.runs) > 0 || len(r.pendingEnds) > 0 || !r.resolved() {
		return
	}
	// The lease matters only while orphans may be left on the runner.
	if expiry, ok := r.lease.Expiry(); ok && now.Before(expiry) && p.hasOrphan(r) {
		return
	}
	p.remove(r)
}

// hasOrphan reports whether an orphan run may be left on the runner.
func (p *Pool) hasOrphan(r *runner) bool {
	for o := range p.orphans {
		if o.runner == r.ID {
			return true
		}
	}
	return false
}

// HandleReplacement handles a runner of another pool: earlier runners on the same machine no longer exist, as the machine
// was moved.
func (p *Pool) HandleReplacement(now time.Time, info work.Runner) {
	p.endReplaced(now, info, false)
	for t := range p.lostTrials {
		if info.Machine != "" && t.lostTrial.Machine == info.Machine && t.lostTrial.Born < info.Born {
			p.dropLostTrial(t)
			p.markChanged(t.step.job, now)
		}
	}
}

// PollSent records that a poll was sent to a runner. wait is how long the runner may delay its answer until a run ends.
func (p *Pool) PollSent(sent time.Time, id string, wait time.Duration) {
	if r, ok := p.runners[id]; ok && r.answerDueAt.IsZero() {
		r.answerDueAt = sent.Add(wait)
	}
}

// LimitLeases sets a time beyond which no lease is extended: a later leader may take the runners for free then.
func (p *Pool) LimitLeases(end time.Time) { p.leasesEnd = end }

// ExtendLease extends a runner's lease by an order that is sent now, and returns the order's deadline on the runner's
// clock. It returns 0 for a runner that doesn't answer, so that its lease expires.
func (p *Pool) ExtendLease(now time.Time, id string) time.Duration {
	r, ok := p.runners[id]
	if !ok || r.pollFailed || r.storedSilent {
		return 0
	}
	ttl := p.leases.TTL
	if !p.leasesEnd.IsZero() {
		ttl = min(ttl, p.leasesEnd.Sub(now))
	}
	if ttl <= 0 {
		return 0
	}
	deadline := r.lease.Extend(now, ttl)
	r.fencing.leased = r.fencing.leased || deadline > 0
	return deadline
}

// AckCursor returns the number up to which a runner's ends are committed, so that the runner may drop them. It returns 0 once the runner
// lists none of them any more: a poll that reaches its next incarnation, which numbers its ends from 1 again, must drop none there.
func (p *Pool) AckCursor(id string) int64 {
	r, ok := p.runners[id]
	if !ok || r.pollFailed || r.ackedEnd <= r.droppedEnd {
		return 0
	}
	return r.ackedEnd
}

// noteDropped records which ends the runner has dropped, by the list in its answer.
func (r *runner) noteDropped(ends []work.RunEnd) {
	r.droppedEnd = r.ackedEnd
	if len(ends) > 0 {
		r.droppedEnd = min(r.droppedEnd, ends[0].N-1)
	}
}

// HasUncommittedEnds reports whether ends of the runner's runs wait for a commit.
func (p *Pool) HasUncommittedEnds(id string) bool {
	r, ok := p.runners[id]
	return ok && len(r.pendingEnds) > 0
}

// HandlePollResult handles the result of a poll that was sent at the given time with the given fence.
func (p *Pool) HandlePollResult(now time.Time, id string, sent time.Time, fence Fence, result work.PollResult) {
	r, ok := p.runners[id]
	if !ok {
		return
	}
	if result.Fenced {
		p.fenced = p.fenced || !p.superseded(r, fence)
		return
	}
	if result.Replaced && fence.Born != r.Born {
		return // the earlier incarnation may have had another address
	}
	if result.Replaced {
		p.handleCrash(now, r)
		p.runnerGone(now, r)
		return
	}
	if result.Born != 0 && result.Born < r.Born {
		return // a delayed answer of an earlier incarnation
	}
	p.setIncarnation(now, r, result.Born)
	if result.Born == r.Born {
		p.confirmFence(now, r, fence)
	}
	if r.succeeds {
		r.succeeds = false
		p.endReplaced(now, r.Runner, true)
	}
	r.lease.ObserveClock(result.Clock, now)
	r.polledAt, r.listedClock = now, result.Clock
	r.answerDueAt, r.pollFailed = time.Time{}, false
	r.noteDropped(result.Ends)
	for _, e := range result.Ends {
		p.handleEnd(now, r, e)
	}
	r.forgetOrphans()
	listed := make(map[*taskRun]struct{}, len(result.Runs))
	for _, reported := range result.Runs {
		if run := p.recordRun(now, r, reported); run != nil {
			listed[run] = struct{}{}
		}
	}
	if !result.MoreEnds { // otherwise a run that isn't listed may have an end that isn't either
		r.known = true
		for run := range r.runs {
			if _, ok := listed[run]; !ok {
				p.handleUnlistedRun(now, run, sent)
			}
		}
	}
	p.dropAnsweredTrials(now, r)
	p.clearSettled(now, r)
}

// HandlePollFailure handles a poll that wasn't answered.
func (p *Pool) HandlePollFailure(now time.Time, id string) {
	r, ok := p.runners[id]
	if !ok {
		return
	}
	if r.answerDueAt.IsZero() {
		r.answerDueAt = now
	}
	r.pollFailed = true
	p.removeIfUnused(now, r)
}

// mayStartLater reports whether the start of a run that nobody answered may still be carried out, by the incarnation of its runner
// that it was meant for or by a later one, which hasn't been fenced. Tasks that last don't wait for that: they would be away for
// longer than callers are promised.
func (p *Pool) mayStartLater(now time.Time, run *taskRun) bool {
	return !run.begun() && !run.listed && !run.task.step.spec.LongRunning && now.Before(run.sentAt.Add(p.leases.LateOrders))
}

// expire abandons the runs on runners whose lease has certainly expired. An inherited runner that has not listed all its
// runs and ends counts as known once everything that an earlier leader ordered on it has certainly ended, unless this
// leader's lease keeps its unlisted ends valid.
func (p *Pool) expire(now time.Time) {
	for _, r := range p.runners {
		expiry, ok := r.lease.Expiry()
		held := ok && now.Before(expiry)
		if r.inherited && !r.known && !held && now.After(r.inheritedExpiry) {
			r.known, r.pollFailed = true, true
		}
		if !ok || held {
			continue
		}
		p.suspendBlame(r)
		for run := range r.runs {
			if run.phase != planned && run.sentAt.Before(expiry) && !p.mayStartLater(now, run) {
				p.abandon(now, run, "its runner is silent and the lease is over")
			}
		}
		p.removeIfUnused(now, r)
	}
}
