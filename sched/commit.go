package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// JobProgress is a snapshot of a job's progress.
type JobProgress struct {
	ID       work.ID
	Progress Progress
	seq      int64
}

// UncommittedBatch returns the progress of up to limit jobs with uncommitted changes. Unless all is set, these are only
// the jobs whose changes are due. Jobs with starts that wait for the commit come first.
func (p *Pool) UncommittedBatch(now time.Time, limit int, all bool) []JobProgress {
	var list []JobProgress
	waiting := p.startsWaiting()
	batched := make(map[*job]struct{}, len(waiting))
	for _, j := range slices.Concat(waiting, p.live) {
		if len(list) == limit {
			break
		}
		if _, ok := batched[j]; ok || j.changeSeq == j.committedSeq || j.dirtySince.After(now) {
			continue
		}
		if all || j.commitAt().Compare(now) <= 0 {
			batched[j] = struct{}{}
			p.dropPlacements(j)
			list = append(list, JobProgress{j.id, j.progress(), j.changeSeq})
		}
	}
	return list
}

// startsWaiting returns the jobs with starts that wait for a commit, the most urgent first.
func (p *Pool) startsWaiting() []*job {
	var jobs []*job
	for _, run := range p.planned {
		if j := run.task.step.job; !run.stored() && !slices.Contains(jobs[max(0, len(jobs)-1):], j) {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// StartsWaiting returns the number of jobs with starts that wait for a commit.
func (p *Pool) StartsWaiting() int { return len(p.startsWaiting()) }

// commitAt returns when a job's uncommitted changes are due for commit: immediately if the job has ended or a start
// waits for them.
func (j *job) commitAt() time.Time {
	if j.state.Final() || j.commitNow || j.placements.pending() {
		return j.dirtySince
	}
	return j.dirtySince.Add(commitDelay)
}

// PostponeCommit keeps a job's changes out of the commits until a time, because the store takes none with them.
func (p *Pool) PostponeCommit(id work.ID, until time.Time) {
	if j, ok := p.jobs[id]; ok {
		j.dirtySince = until
	}
}

// MarkCommitted records that a batch is in the store. Ends of runs that depend on it may then be acknowledged.
func (p *Pool) MarkCommitted(now time.Time, batch []JobProgress) {
	for _, b := range batch {
		j, ok := p.jobs[b.ID]
		if !ok {
			continue
		}
		j.committedSeq = b.seq
		j.placements.markStored(b.Progress.Runners)
		j.dirtySince = now
		j.commitNow = j.commitNow && j.changeSeq != j.committedSeq
		if p.idlePlacements(j) {
			p.markChanged(j, now)
		}
		if b.Progress.State.Final() && !j.committedState.Final() {
			j.committedState = b.Progress.State
			p.onJobEnd(p.jobEnd(j))
		}
	}
	for _, r := range p.runners {
		p.advanceAckCursor(r)
	}
	p.prune()
}

// jobEnd describes how a job ended.
func (p *Pool) jobEnd(j *job) JobEnd {
	end := JobEnd{Workspace: j.spec.Workspace, Job: j.id, Queue: j.queue.Name, State: j.committedState, Elapsed: j.ended.Sub(j.accepted)}
	if p.shares.configured {
		end.Class, end.ShedFor = j.class(), j.shedFor
	}
	if !j.firstStart.IsZero() {
		end.QueueTime = j.firstStart.Sub(j.accepted)
	}
	if len(j.occurrences) == 1 {
		end.Objective = p.objective(j.occurrences[0], j).Sub(j.objectiveStart(j.occurrences[0]))
	}
	return end
}

// advanceAckCursor advances the number up to which a runner's ends may be acknowledged.
func (p *Pool) advanceAckCursor(r *runner) {
	n := 0
	for _, e := range r.pendingEnds {
		if e.job != nil && (e.job.committedSeq < e.seq || p.mayStartLate(e.task)) {
			break
		}
		r.ackedEnd = e.number
		n++
	}
	r.pendingEnds = append(r.pendingEnds[:0], r.pendingEnds[n:]...)
}

// NextCommit returns when the next uncommitted progress is due for commit. It returns false if there is none.
func (p *Pool) NextCommit() (time.Time, bool) {
	var first time.Time
	for _, j := range p.live {
		if j.changeSeq == j.committedSeq {
			continue
		}
		at := j.commitAt()
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}
