package sched

import (
	"maps"
	"slices"
	"time"

	"gypsumlead/work"
)

// maxPlannedAge is how long a planned run keeps its room while the store takes no commits.
const maxPlannedAge = 600 * time.Millisecond

// placements holds the runners that may have runs of a job. A start is ordered only on a runner that the store has among
// them, so that a later leader knows which jobs a silent runner may be running, and delays only those.
type placements struct {
	byRunner map[string]bool // by runner: whether the store has it
	unstored int             // runners that the store doesn't have yet
}

// add adds a runner and reports whether it is new.
func (l *placements) add(id string) bool {
	if _, ok := l.byRunner[id]; ok {
		return false
	}
	if l.byRunner == nil {
		l.byRunner = map[string]bool{}
	}
	l.byRunner[id] = false
	l.unstored++
	return true
}

// markStored records that the store has the runners.
func (l *placements) markStored(ids []string) {
	for _, id := range ids {
		l.add(id)
		if !l.byRunner[id] {
			l.byRunner[id] = true
			l.unstored--
		}
	}
}

// remove removes a runner that certainly has no runs of the job.
func (l *placements) remove(id string) {
	if stored, ok := l.byRunner[id]; ok && !stored {
		l.unstored--
	}
	delete(l.byRunner, id)
}

// stored reports whether the store has the runner.
func (l *placements) stored(id string) bool { return l.byRunner[id] }

// pending reports whether there are runners that the store doesn't have yet.
func (l *placements) pending() bool { return l.unstored > 0 }

// list returns the runners, sorted.
func (l *placements) list() []string { return slices.Sorted(maps.Keys(l.byRunner)) }

// place adds a runner to a job's placements.
func (p *Pool) place(now time.Time, j *job, id string) {
	if j.placements.add(id) {
		p.markChanged(j, now)
	}
}

// forgetPlacements removes the runners that the pool no longer has: nothing can run there. The others stay, as a start
// may arrive late.
func (p *Pool) forgetPlacements(j *job) {
	for id := range j.placements.byRunner {
		if _, ok := p.runners[id]; !ok {
			j.placements.remove(id)
		}
	}
}

// mayRunUnseen reports whether an earlier leader's runs of a job may be in progress on a runner that hasn't listed its
// runs yet.
func (p *Pool) mayRunUnseen(j *job) bool {
	if !p.leases.InheritedPlacements {
		return true
	}
	for id := range j.placements.byRunner {
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
	p.planned = slices.DeleteFunc(p.planned, func(run *taskRun) bool { return !slices.Contains(run.task.runs, run) })
}

// unwanted reports whether a planned run is to be dropped.
func (p *Pool) unwanted(now time.Time, run *taskRun) bool {
	stuck := !p.storeAvailable && now.Sub(run.sentAt) > maxPlannedAge && !run.task.step.job.placements.stored(run.runner.ID)
	return run.withdrawn || stuck || run.task.held || !run.runner.schedulable(now)
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

// orderable reports whether the store has the placements of a planned run, and of its gang's members.
func (r *taskRun) orderable() bool {
	for _, member := range r.withGang() {
		if member.withdrawn || !member.task.step.job.placements.stored(member.runner.ID) {
			return false
		}
	}
	return true
}
