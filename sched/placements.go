package sched

import (
	"maps"
	"slices"
	"time"

	"gypsumlead/work"
)

// maxPlannedAge is how long a planned run keeps its room while the store takes no commits.
const maxPlannedAge = 600 * time.Millisecond

// placements holds the runners that may have runs of a job, by ID. A start is ordered only on a runner that the store has
// among them, so that a later leader knows which jobs a silent runner may be running, and delays only those.
type placements map[string]*placement

// placement is one runner that may have runs of a job.
type placement struct {
	runs   int   // runs on it
	stored bool  // the store has it, whichever of the commits in flight takes effect
	endSeq int64 // sequence number of the job's change from which on the end of its last run is stored
}

// addRun counts a run of the job on a runner.
func (l placements) addRun(id string) {
	if l[id] == nil {
		l[id] = &placement{}
	}
	l[id].runs++
}

// removeRun counts the end of a run of the job on a runner; endSeq is the sequence number of the job's next change.
func (l placements) removeRun(id string, endSeq int64) {
	if pl := l[id]; pl != nil {
		pl.runs--
		pl.endSeq = endSeq
	}
}

// stored reports whether the store has a runner.
func (l placements) stored(id string) bool { return l[id] != nil && l[id].stored }

// pending reports whether runs wait until the store has their runners.
func (l placements) pending() bool {
	for _, pl := range l {
		if pl.runs > 0 && !pl.stored {
			return true
		}
	}
	return false
}

// list returns the runners, sorted.
func (l placements) list() []string { return slices.Sorted(maps.Keys(l)) }

// markStored records that the store has the runners.
func (l placements) markStored(ids []string) {
	for _, id := range ids {
		if l[id] != nil {
			l[id].stored = true
		}
	}
}

// restorePlacements sets the runners that an earlier leader stored for a job.
func (j *job) restorePlacements(ids []string) {
	for _, id := range ids {
		j.placements[id] = &placement{stored: true}
	}
}

// dropPlacements drops the runners on which the job certainly has no runs, if the store has their ends: a commit
// without them is about to be sent. A runner whose runs have ended since the last commit stays, so that the job can go on
// there while the store takes no commits.
func (p *Pool) dropPlacements(j *job) {
	for id, pl := range j.placements {
		r, known := p.runners[id]
		if pl.runs == 0 && pl.endSeq <= j.committedSeq && (!known || r.resolved()) {
			delete(j.placements, id)
		}
	}
}

// idlePlacements reports whether a job without runs has runners that a commit would drop. They would delay the job after a
// change of leader.
func (p *Pool) idlePlacements(j *job) bool {
	if len(j.placements) == 0 || j.state.Final() {
		return false
	}
	for id, pl := range j.placements {
		if r, known := p.runners[id]; pl.runs > 0 || pl.endSeq > j.committedSeq || (known && !r.resolved()) {
			return false
		}
	}
	return true
}

// mayRunUnseen reports whether an earlier leader's runs of a job may be in progress on a runner that hasn't listed its
// runs yet.
func (p *Pool) mayRunUnseen(j *job) bool {
	if !p.leases.InheritedPlacements {
		return true
	}
	for id := range j.placements {
		if r, ok := p.runners[id]; ok && !r.resolved() {
			return true
		}
	}
	return false
}

// Unresolved returns the runners, sorted by ID, on which an earlier leader's runs may still be in progress unseen, and the
// number of jobs that wait for them.
func (p *Pool) Unresolved() (runners []work.Runner, jobs int) {
	for _, r := range p.sortedRunners() {
		if !r.resolved() {
			runners = append(runners, r.Runner)
		}
	}
	if len(runners) == 0 {
		return nil, 0
	}
	for _, j := range p.live {
		if j.inherited && !j.state.Final() && p.mayRunUnseen(j) {
			jobs++
		}
	}
	return runners, jobs
}

// PlacementsStored reports whether the store has the placements of all runs: those that earlier leaders ordered without
// storing them are known and stored.
func (p *Pool) PlacementsStored() bool {
	if p.leases.InheritedPlacements {
		return true
	}
	if p.unresolved() {
		return false
	}
	for _, j := range p.live {
		if j.inherited && j.placements.pending() {
			return false
		}
	}
	p.leases.InheritedPlacements = true
	return true
}

// SetStoreAvailable sets whether the store takes commits. While it doesn't, jobs start on the runners that the store has
// among their placements.
func (p *Pool) SetStoreAvailable(available bool) { p.storeAvailable = available }

// AllowStarts sets whether runs may be planned and started. Runs in progress go on in any case.
func (p *Pool) AllowStarts(allowed bool) { p.startsAllowed = allowed }

// withdrawPlanned drops the planned runs that are no longer wanted or whose runner can't take them any more, and frees
// their room. While the store takes no commits, they don't keep it for longer than maxPlannedAge.
func (p *Pool) withdrawPlanned(now time.Time) {
	var unwanted []*taskRun
	for _, run := range p.planned {
		if run.phase == planned && p.unwanted(now, run) {
			unwanted = append(unwanted, run.withGang()...)
		}
	}
	for _, run := range unwanted {
		run.task.removeRun(run, now)
	}
	p.withdrawOverfull(now)
	p.planned = slices.DeleteFunc(p.planned, func(run *taskRun) bool { return !slices.Contains(run.task.runs, run) })
}

// withdrawOverfull drops planned runs, the least urgent first, from runners whose room has shrunk below what they need.
func (p *Pool) withdrawOverfull(now time.Time) {
	for _, run := range slices.Backward(p.planned) {
		if run.phase != planned || !run.runner.overfull() {
			continue
		}
		for _, member := range run.withGang() {
			member.task.removeRun(member, now)
		}
	}
}

// unwanted reports whether a planned run is to be dropped.
func (p *Pool) unwanted(now time.Time, run *taskRun) bool {
	stuck := !p.storeAvailable && now.Sub(run.sentAt) > maxPlannedAge && !run.stored()
	s, r := run.task.step, run.runner
	return run.withdrawn || stuck || p.overAllowance(run) || !p.startsAllowed || run.task.held || !r.schedulable(now) || !r.hasLabel(s.spec.RequiredLabel) || !s.approvedOn(now, r)
}

// withGang returns a planned run with the planned runs of its gang.
func (r *taskRun) withGang() []*taskRun {
	if !r.task.step.spec.Gang {
		return []*taskRun{r}
	}
	var members []*taskRun
	for _, t := range r.task.step.tasks {
		for _, run := range t.runs {
			if run.phase == planned {
				members = append(members, run)
			}
		}
	}
	return members
}

// orderPlanned orders the starts of the planned runs whose placements the store has. Those of a gang are ordered
// together.
func (p *Pool) orderPlanned(now time.Time) {
	p.planned = slices.DeleteFunc(p.planned, func(run *taskRun) bool {
		if !run.orderable() {
			return false
		}
		p.orderStart(now, run)
		return true
	})
}

// stored reports whether the store has what a later leader has to know of a planned run.
func (r *taskRun) stored() bool {
	j := r.task.step.job
	return j.placements.stored(r.runner.ID) && j.committedSeq >= r.needsSeq
}

// orderable reports whether the store has the placements of a planned run, and of its gang's members.
func (r *taskRun) orderable() bool {
	for _, member := range r.withGang() {
		if member.withdrawn || !member.stored() {
			return false
		}
	}
	return true
}
