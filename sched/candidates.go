package sched

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a step with tasks that can start.
type candidate struct {
	step    *step
	late    bool      // it can't end on time
	shed    bool      // it can't end on time without delaying too many others
	startBy time.Time // latest start less fullPoolDuration; candidates are ordered by it
	stale   bool      // even the late objective has passed, see lateFactor
}

// candidates returns the steps with tasks that can start, most urgent first.
func (p *Pool) candidates(now, wall time.Time) []candidate {
	p.measureSchedulableCPU(now)
	return p.orderedCandidates(now, wall)
}

// candidatesWith returns the candidates as they would be if schedulable runners had cpu millicores for tasks that end.
func (p *Pool) candidatesWith(now, wall time.Time, cpu int64) []candidate {
	measured := p.schedulableCPU
	p.schedulableCPU = cpu
	defer func() { p.schedulableCPU = measured }()
	return p.orderedCandidates(now, wall)
}

// orderedCandidates returns the steps with tasks that can start, most urgent first.
func (p *Pool) orderedCandidates(now, wall time.Time) []candidate {
	unresolved := p.unresolved()
	var shed map[*occurrence]struct{}
	if p.strategy.shedsLoad() {
		shed = p.overload(now, wall)
	}
	var list []candidate
	for _, j := range p.live {
		if j.state.Final() || (unresolved && j.inherited && p.mayRunUnseen(j)) {
			continue
		}
		for _, occ := range j.occurrences {
			list = append(list, p.candidatesOf(now, wall, occ, shed)...)
		}
	}
	if p.strategy == FIFO {
		slices.SortStableFunc(list, compareFIFO)
		return list
	}
	slices.SortStableFunc(list, compareUrgency)
	return list
}

// candidatesOf returns the candidates of one occurrence. They differ only in their steps.
func (p *Pool) candidatesOf(now, wall time.Time, occ *occurrence, shedSet map[*occurrence]struct{}) []candidate {
	var ready []*step
	for _, s := range occ.steps {
		if s.waiting > 0 && s.ready(wall) {
			ready = append(ready, s)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	j := ready[0].job
	latest := p.latestStart(occ, j)
	late, startBy, stale := now.After(latest), latest.Add(-p.fullPoolDuration(occ, j)), p.stale(now, occ, j)
	_, shed := shedSet[occ]
	list := make([]candidate, len(ready))
	for i, s := range ready {
		list[i] = candidate{s, late, shed, startBy, stale}
	}
	return list
}

// compareUrgency orders candidates by priority, then by rank, then by startBy.
func compareUrgency(a, b candidate) int {
	jobA, jobB := a.step.job, b.step.job
	if c := cmp.Compare(jobA.queue.Priority, jobB.queue.Priority); c != 0 {
		return c
	}
	if c := cmp.Compare(rank(a), rank(b)); c != 0 {
		return c
	}
	return a.startBy.Compare(b.startBy)
}

// Ranks of candidates of equal priority, most urgent first; docs/design/76-shares.md has the reasons. Excess jobs come after
// all guaranteed ones that may still end on time, and before those that can't, which have lost what the rate entitles to.
const (
	rankLongRunning = iota
	rankOnTime
	rankShed // may still end on time, if others end early or machines come
	rankExcessOnTime
	rankExcessShed
	rankLate // worth a fraction
	rankExcessLate
	rankStale // of little use to the caller
	rankExcessStale
	rankBestEffort
)

// rank returns the rank of a candidate.
func rank(c candidate) int {
	guaranteed, excess := rankOnTime, rankExcessOnTime
	switch {
	case c.step.spec.BestEffort:
		return rankBestEffort
	case c.step.spec.LongRunning:
		return rankLongRunning
	case c.stale:
		guaranteed, excess = rankStale, rankExcessStale
	case c.late:
		guaranteed, excess = rankLate, rankExcessLate
	case c.shed:
		guaranteed, excess = rankShed, rankExcessShed
	}
	if c.step.job.excess {
		return excess
	}
	return guaranteed
}

// unresolved reports whether unknown runs of an earlier leader may still be in progress.
func (p *Pool) unresolved() bool {
	for _, r := range p.runners {
		if !r.resolved() {
			return true
		}
	}
	return false
}

// latestStart returns when the rest of an occurrence has to start to end within the job's objective.
func (p *Pool) latestStart(occ *occurrence, j *job) time.Time {
	return p.objective(occ, j).Add(-p.estimateRatios[j.queue.Name].expected(occ.remainingCriticalPath()))
}

// fullPoolDuration returns the time that the remaining work of an occurrence would take with the whole pool to itself.
// A wide job has to start that much earlier than a narrow one with the same critical path.
func (p *Pool) fullPoolDuration(occ *occurrence, j *job) time.Duration {
	if p.schedulableCPU == 0 {
		return 0
	}
	remaining := 0.0
	for _, s := range occ.steps {
		remaining += s.cpuTime(s.remaining)
	}
	return p.durationOf(remaining, float64(p.schedulableCPU), j)
}

// cpuTime returns the declared CPU time of the given number of the step's tasks, in millicore-seconds.
func (s *step) cpuTime(tasks int) float64 {
	return float64(tasks) * float64(s.spec.Resources.CPU) * s.spec.Estimate.Seconds()
}

// durationOf returns the expected time for cpuTime millicore-seconds of a job's work on cpu millicores.
func (p *Pool) durationOf(cpuTime, cpu float64, j *job) time.Duration {
	return p.estimateRatios[j.queue.Name].expected(time.Duration(cpuTime / cpu * float64(time.Second)))
}

// measureSchedulableCPU updates schedulableCPU: what schedulable runners have for tasks that end.
func (p *Pool) measureSchedulableCPU(now time.Time) {
	p.schedulableCPU = 0
	for _, r := range p.runners {
		if !r.schedulable(now) {
			continue
		}
		p.schedulableCPU += max(0, r.Room.CPU-r.longRunningCPU) // a room may have shrunk below what runs there
	}
}

// objectiveStart returns when the objective of an occurrence starts to count: at its acceptance or when it is due,
// whichever is later.
func (j *job) objectiveStart(occ *occurrence) time.Time { return later(j.accepted, occ.due) }

// objective returns the time until which an occurrence's end is on time.
func (p *Pool) objective(occ *occurrence, j *job) time.Time {
	from := j.objectiveStart(occ)
	criticalPath := p.estimateRatios[j.queue.Name].expected(j.spec.CriticalPath())
	return from.Add(time.Duration(j.queue.Slack*float64(criticalPath)) + j.queue.Aim)
}

// lateFactor times a job's objective is the late objective: by the callers' terms a later result is of little use.
const lateFactor = 3

// stale reports whether even the late objective of an occurrence has passed.
func (p *Pool) stale(now time.Time, occ *occurrence, j *job) bool {
	from := j.objectiveStart(occ)
	return now.Sub(from) > lateFactor*p.objective(occ, j).Sub(from)
}
