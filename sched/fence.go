package sched

import "time"

// Fence identifies the incarnation of a runner that an order is for.
type Fence struct {
	Born  int64 // start of the incarnation in Unix milliseconds; 0 if unknown
	Token int64 // fencing token of the order
}

// fencing keeps orders for earlier incarnations of a runner from a new one. The runner's ID is the same in all of them, and
// a new one has seen no token. So the store records it first, and its orders have the version of that commit as their
// token: it is higher than this leader's tokens before, and lower than those of later leaders.
type fencing struct {
	leased   bool  // this leader has extended the runner's lease, in any incarnation
	pending  bool  // it has restarted since, and may carry out orders for earlier incarnations until one with token is answered
	recorded int64 // incarnation that the store recorded last; 0 before the first restart
	token    int64 // version of that commit; 0 before the first restart
	// until when later leaders wait for runs that orders for earlier incarnations keep alive
	recordedKeepUntil time.Time
}

// WithToken sets the fencing token of the leader's term.
func WithToken(token int64) Option {
	return func(p *Pool) { p.token = token }
}

// fence returns the fence of orders for a runner's present incarnation.
func (p *Pool) fence(r *runner) Fence { return Fence{r.Born, max(p.token, r.fencing.token)} }

// target returns the runner's present incarnation as the target of an order.
func (p *Pool) target(r *runner) Target { return Target{r.ID, r.Addr, p.fence(r)} }

// Fence returns the fence of orders that are sent to a runner now.
func (p *Pool) Fence(id string) Fence {
	if r, ok := p.runners[id]; ok {
		return p.fence(r)
	}
	if f, ok := p.removed[id]; ok {
		return Fence{f.born, max(p.token, f.fencing.token)}
	}
	return Fence{Token: p.token}
}

// AwaitsRecord reports whether a runner has restarted and gets no work before the store has recorded its new incarnation.
func (p *Pool) AwaitsRecord(id string) bool {
	r, ok := p.runners[id]
	return ok && r.fencing.pending && r.fencing.recorded != r.Born
}

// AwaitsRecords reports whether any runner waits until the store has recorded its new incarnation.
func (p *Pool) AwaitsRecords() bool {
	for id := range p.runners {
		if p.AwaitsRecord(id) {
			return true
		}
	}
	return false
}

// IncarnationRecorded records that a commit of the given version has recorded an incarnation of a runner, and until when
// orders for earlier ones may keep its runs alive: the time that RestartedRunners returned for it, or zero.
func (p *Pool) IncarnationRecorded(now time.Time, id string, born, version int64, keep time.Time) {
	r, ok := p.runners[id]
	if !ok || born != r.Born || !p.AwaitsRecord(id) {
		return
	}
	keep = later(keep, now.Add(p.ordinaryLease()))
	if keep.Before(r.lease.keepUntil) {
		return // the commit tells later leaders too little
	}
	r.fencing.recorded, r.fencing.token, r.fencing.recordedKeepUntil = born, version, keep
}

// RestartedRunners returns the runners on which orders for earlier incarnations may keep runs alive, with the time until which
// they may.
func (p *Pool) RestartedRunners(now time.Time) map[string]time.Time {
	list := map[string]time.Time{}
	for id, r := range p.runners {
		if r.lease.keepUntil.After(now) {
			list[id] = r.lease.keepUntil
		}
	}
	return list
}

// startFencing handles a restart of a runner. The new incarnation may carry out orders for earlier ones, whose deadlines mean
// nothing on its clock, as late as any order.
func (p *Pool) startFencing(now time.Time, r *runner) {
	r.fencing.pending = r.fencing.pending || r.fencing.leased || r.inherited
	last := now // when the last such order is carried out
	switch {
	case !r.resolved():
		last = later(r.inheritedExpiry, now.Add(p.leases.LateOrders))
	case r.fencing.pending:
		last = now.Add(p.leases.LateOrders)
	}
	r.lease.KeepUntil(last.Add(p.longestLease()))
}

// confirmFence handles the answer of a runner's present incarnation to a poll. Once that incarnation has seen its own token, it
// refuses the orders for earlier ones; those that it carried out before count from now.
func (p *Pool) confirmFence(now time.Time, r *runner, fence Fence) {
	keep := now.Add(p.longestLease())
	if !r.fencing.pending && !r.resolved() && r.lease.keepUntil.After(keep) {
		r.lease.KeepOnlyUntil(keep) // it has seen the token of this term, which is higher than those of earlier leaders
	}
	if !r.fencing.pending || r.fencing.recorded != r.Born || fence != p.fence(r) {
		return
	}
	if keep.After(later(r.fencing.recordedKeepUntil, now.Add(p.ordinaryLease()))) {
		r.fencing.recorded = 0 // later leaders wouldn't wait for so long: it is recorded once more
		r.lease.KeepUntil(keep.Add(p.leases.LateOrders))
		return
	}
	r.fencing.pending = false
	r.lease.KeepOnlyUntil(keep)
}

// longestLease returns how long a runner may keep runs alive after an order that it carries out, whatever the order's deadline.
func (p *Pool) longestLease() time.Duration { return onSlowClock(max(p.leases.MaxTTL, p.leases.TTL)) }

// ordinaryLease returns how long a runner may keep runs alive after an order for its present incarnation.
func (p *Pool) ordinaryLease() time.Duration { return onSlowClock(p.leases.TTL) }

// onSlowClock returns how long a time on a runner's clock may take.
func onSlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - MaxClockSkew))
}

// superseded reports whether an order with the given fence was refused because the runner has seen a later token of this
// leader.
func (p *Pool) superseded(r *runner, fence Fence) bool { return fence.Token < p.fence(r).Token }

// removedRunner is what is kept of a removed runner, in case it comes back.
type removedRunner struct {
	born      int64
	fencing   fencing
	keepUntil time.Time // as of RunnerLease
}

// remove removes a runner. If this leader has extended its lease, orders for it may still be on their way.
func (p *Pool) remove(r *runner) {
	delete(p.runners, r.ID)
	if r.fencing.leased {
		p.removed[r.ID] = removedRunner{r.Born, r.fencing, r.lease.keepUntil}
	}
}

// restoreRemoved restores what is kept of a removed runner that comes back.
func (p *Pool) restoreRemoved(r *runner) {
	if f, ok := p.removed[r.ID]; ok {
		r.Born, r.fencing = f.born, f.fencing
		r.lease.KeepUntil(f.keepUntil)
		delete(p.removed, r.ID)
	}
}
