package sched

import (
	"time"

	"gypsumlead/budget"
	"gypsumlead/work"
)

// measureWorkspaces updates what the capped workspaces use besides runs of known tasks.
func (p *Pool) measureWorkspaces() {
	if len(p.caps) == 0 {
		return
	}
	for _, w := range p.workspaces {
		w.orphaned, w.unseen = work.Resources{}, work.Resources{}
	}
	unresolved := false
	for _, r := range p.runners {
		unresolved = unresolved || !r.resolved()
		for w, amount := range r.orphanedBy {
			w.orphaned = w.orphaned.Add(amount)
		}
	}
	if unresolved {
		p.measureUnseen()
	}
}

// measureUnseen bounds what earlier leaders' runs may use that no runner has listed yet: all tasks without a known run of
// the jobs that may be running on runners that have not answered, but for each workspace no more than the room of those.
func (p *Pool) measureUnseen() {
	for _, j := range p.live {
		if j.inherited && j.workspace != nil && j.workspace.capped && p.mayRunUnseen(j) {
			j.countUnseen()
		}
	}
	for _, j := range p.endedInherited {
		if j.workspace != nil && j.workspace.capped && p.mayRunUnseen(j) {
			j.countUnseen()
		}
	}
	room, known := p.unresolvedRoom()
	if !known {
		return
	}
	for _, w := range p.workspaces {
		w.unseen = work.Resources{CPU: min(w.unseen.CPU, room.CPU), Mem: min(w.unseen.Mem, room.Mem), GPU: min(w.unseen.GPU, room.GPU)}
	}
}

// countUnseen adds the tasks of a job that may have unknown runs to what its workspace may use unseen. The stored progress
// may lag behind, so tasks of later steps count as well. Of steps without gangs and copies, a task that is done has no run.
func (j *job) countUnseen() {
	j.eachTask(func(t *task) {
		if s := t.step.spec; len(t.runs) == 0 && (!t.done || s.Gang || s.Speculative) {
			j.workspace.unseen = j.workspace.unseen.Add(s.Resources)
		}
	})
}

// unresolvedRoom returns the room of the runners whose runs of earlier leaders aren't known. It returns false if a runner's
// room is unknown, or if best-effort tasks, whose CPU takes no room, may run there.
func (p *Pool) unresolvedRoom() (work.Resources, bool) {
	var room work.Resources
	for _, r := range p.runners {
		if r.resolved() {
			continue
		}
		if r.Room == (work.Resources{}) {
			return room, false
		}
		room = room.Add(r.Room)
	}
	for _, j := range p.live {
		if j.inherited && j.hasBestEffort() {
			return room, false
		}
	}
	return room, true
}

// hasBestEffort reports whether the job has a best-effort step.
func (j *job) hasBestEffort() bool {
	for i := range j.spec.Steps {
		if j.spec.Steps[i].BestEffort {
			return true
		}
	}
	return false
}

// beginHoldUps starts a plan's record of what is held up and waits.
func (p *Pool) beginHoldUps() {
	for _, w := range p.workspaces {
		w.heldBefore, w.heldUp = w.heldUp, false
		w.waiting, w.next = work.Resources{}, work.Resources{}
	}
}

// noteWaiting records what the candidates that a plan has left waiting need. What is larger than its workspace's cap doesn't
// count, as it can never start.
func (p *Pool) noteWaiting(list []candidate) {
	if len(p.caps) == 0 {
		return
	}
	for _, c := range list {
		w, unit := c.step.job.workspace, c.step.unit()
		if w == nil || !w.capped || c.step.waiting == 0 || c.step.partlyRunning() || !unit.Fits(budget.Limit(w.maximum, w.maximum)) {
			continue
		}
		if w.next == (work.Resources{}) {
			w.next = unit
		}
		w.waiting = w.waiting.Add(multiply(c.step.spec.Resources, int64(c.step.waiting)))
	}
}

// WorkspaceUsage returns what each workspace uses and needs, for the report to the granter. What waits counts only as far as
// the runners have room, as it couldn't start otherwise; but at least the most urgent task or gang does.
func (p *Pool) WorkspaceUsage(now time.Time) map[string]budget.Usage {
	p.measureWorkspaces()
	free := p.freeRoom(now)
	list := map[string]budget.Usage{}
	for name, w := range p.workspaces {
		u := budget.Usage{Arrivals: w.arrivals(now)}
		if u.Arrivals < minReportedRate {
			u.Arrivals = 0
		}
		if w.capped {
			u.Used, u.Unseen, u.Next = w.used.Add(w.orphaned), w.unseen, w.next
			u.Waiting = work.Resources{
				CPU: min(w.waiting.CPU, max(free.CPU, w.next.CPU)),
				Mem: min(w.waiting.Mem, max(free.Mem, w.next.Mem)),
				GPU: min(w.waiting.GPU, max(free.GPU, w.next.GPU)),
			}
		}
		if u != (budget.Usage{}) {
			list[name] = u
		}
	}
	return list
}

// minReportedRate is the rate of a workspace's jobs per second below which it counts as zero.
const minReportedRate = 0.01

// freeRoom returns the room of schedulable runners that isn't in use.
func (p *Pool) freeRoom(now time.Time) work.Resources {
	var free work.Resources
	for _, r := range p.runners {
		if r.schedulable(now) && !r.overfull() {
			free = free.Add(r.free())
		}
	}
	return free
}

// resetRooms prepares for counting the tasks that the caps leave room for, see takeRoom and countStartable.
func (p *Pool) resetRooms() {
	if len(p.caps) == 0 {
		return
	}
	for _, w := range p.workspaces {
		w.room = w.allowance.Sub(w.inUse())
	}
}

// countStartable returns how many of the step's waiting tasks the cap of its workspace leaves room for, after those counted
// before.
func (p *Pool) countStartable(s *step) int64 {
	n, w := int64(s.waiting), s.job.workspace
	if w == nil || !w.capped {
		return n
	}
	if s.spec.Gang && !s.unit().Fits(w.room) {
		return 0
	}
	need := s.spec.Resources
	if !need.Fits(w.room) {
		return 0
	}
	if need.CPU > 0 {
		n = min(n, w.room.CPU/need.CPU)
	}
	if need.Mem > 0 {
		n = min(n, w.room.Mem/need.Mem)
	}
	if need.GPU > 0 {
		n = min(n, w.room.GPU/need.GPU)
	}
	w.room = w.room.Sub(multiply(need, n))
	return n
}

// capsAllow reports whether the caps leave room for any ready task of the occurrence, after those counted before.
func (p *Pool) capsAllow(wall time.Time, occ *occurrence) bool {
	if w := occ.steps[0].job.workspace; w == nil || !w.capped {
		return true
	}
	startable := int64(0)
	for _, s := range occ.steps {
		if s.waiting > 0 && s.ready(wall) {
			startable += p.countStartable(s)
		}
	}
	return startable > 0
}
