package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumlead/work"
)

// Limits for speculative copies.
const (
	copyShare     = 20                     // copies use at most this fraction of the pool's CPU
	copyMargin    = 1.5                    // a run is slow if its remaining time is this many times that of a fresh one
	copyOverhead  = 200 * time.Millisecond // from the decision until the copy runs: a commit, an order, and a poll that lists it
	copyCost      = 0.25                   // what a second of CPU for a copy that loses costs, relative to a second that a task ends sooner
	copyMemory    = 0.95                   // weight that earlier copies keep with each new outcome
	probeInterval = 10 * time.Second       // between two copies of a queue whose copies rarely win, to notice a change
)

// Copies counts the speculative copies of tasks.
type Copies struct {
	Started int64
	Won     int64 // ended as done before the earlier run
	Lost    int64 // the earlier run ended as done before
}

// copyRecord is how a queue's copies have done lately. A run may be slow because of its runner, which a copy overtakes, or
// because the task is long wherever it runs.
type copyRecord struct {
	won, lost float64
	startedAt time.Time
}

// odds returns how likely a copy wins; without outcomes it is as likely as not.
func (c *copyRecord) odds() float64 {
	if c == nil {
		return 0.5
	}
	return (c.won + 1) / (c.won + c.lost + 2)
}

// record adds an outcome.
func (c *copyRecord) record(won bool) {
	c.won, c.lost = c.won*copyMemory, c.lost*copyMemory
	if won {
		c.won++
	} else {
		c.lost++
	}
}

// copyPays reports whether a copy is expected to pay off that wins with the given odds: what the task gains if the copy
// wins exceeds the CPU time that is wasted if it loses.
func copyPays(remaining, fresh time.Duration, odds float64) bool {
	if float64(remaining) < copyMargin*float64(fresh)+float64(copyOverhead) {
		return false
	}
	return odds*float64(remaining-fresh-copyOverhead) > copyCost*(1-odds)*float64(remaining)
}

// makesCopies reports whether copies of slow tasks may be made.
func (p *Pool) makesCopies() bool {
	return p.strategy != SingleRuns && p.strategy != FIFO && p.strategy != LatestStart
}

// copiesApply reports whether copies replace the stopping of stragglers for a task. Both runs of a task may fail, which
// must not exceed the allowed failures. A run that continues from a checkpoint has less to do than a fresh one is expected to.
func (p *Pool) copiesApply(t *task) bool {
	s := t.step
	return s.spec.Speculative && !s.spec.Gang && !s.spec.LongRunning && !s.spec.BestEffort && p.makesCopies() &&
		t.checkpoint == "" && len(t.failedRuns)+2 <= s.job.queue.Attempts
}

// mayHaveCopy reports whether a second run of the task may start.
func (p *Pool) mayHaveCopy(t *task) bool {
	return !t.done && !t.held && len(t.runs) == 1 && t.runs[0].phase == running && !t.runs[0].trial && !t.isSuspect() && t.lostTrial == nil && p.copiesApply(t)
}

// isCopy reports whether the run was started while an earlier run of its task was in progress, and still is.
func (r *taskRun) isCopy() bool {
	return slices.ContainsFunc(r.task.runs, func(other *taskRun) bool { return other.number < r.number })
}

// hasCopy reports whether a later run of the task is in progress beside this one.
func (r *taskRun) hasCopy() bool {
	return r.task.step.spec.Speculative && slices.ContainsFunc(r.task.runs, func(other *taskRun) bool { return other.number > r.number })
}

// blockage is what candidates that found no room keep from copies.
type blockage struct {
	first candidate            // the most urgent one without room; its step is nil if there is none
	racks map[string]candidate // the most urgent one that waits for each rack
}

// note records a candidate after its placement. One that wasn't placed and isn't placeable in time keeps nothing from copies.
func (b *blockage) note(c candidate, placed bool, placeable func() bool) {
	if !placed && b.first.step == nil && placeable() {
		b.first = c
	}
	if c.step.awaiting == 0 {
		return
	}
	for _, t := range c.step.tasks {
		if t.rackWait == nil || t.rackWait.ended || len(t.runs) > 0 {
			continue
		}
		if b.racks == nil {
			b.racks = map[string]candidate{}
		}
		if _, ok := b.racks[t.rackWait.rack]; !ok {
			b.racks[t.rackWait.rack] = c
		}
	}
}

// precedes reports whether a blocked candidate has equal or higher precedence than one with a run that may get a copy.
func precedes(blocked, c candidate) bool {
	if blocked.step == nil {
		return false
	}
	return cmp.Or(cmp.Compare(blocked.step.job.queue.Priority, c.step.job.queue.Priority), cmp.Compare(rank(blocked), rank(c))) <= 0
}

// slowRun is a run that a copy is expected to overtake.
type slowRun struct {
	run       *taskRun
	candidate candidate
	remaining time.Duration
	fresh     time.Duration // expected time of a fresh run in its place
}

// startCopies starts copies of slow runs in room that no waiting task of equal or higher precedence needs, those first that
// are expected to gain most.
func (p *Pool) startCopies(now time.Time, blocked blockage) {
	if !p.makesCopies() || !p.storeAvailable || now.Sub(p.copiesAssessedAt) < assessInterval {
		return
	}
	if blocked.first.step != nil && !blocked.first.stale {
		return // the pool is crowded: a copy's room would be missing for work that is still of use to its caller
	}
	p.copiesAssessedAt = now
	slow, used := p.slowRuns(now)
	left := p.schedulableCPU/copyShare - used
	for _, c := range slow {
		s := c.run.task.step
		if s.spec.Resources.CPU > left || precedes(blocked.first, c.candidate) || p.heldByCap(s) {
			continue
		}
		r := p.chooseCopyRunner(now, c, blocked)
		if r == nil || !p.mayStartCopy(now, c, r) {
			continue
		}
		p.planRun(now, c.run.task, r, p.nextRunNumber(c.run.task.lastRun))
		p.copyRecordOf(s).startedAt = now
		p.counts.copies.Started++
		left -= s.spec.Resources.CPU
	}
}

// slowRuns returns the runs that are slow enough for a copy, and the CPU that copies use.
func (p *Pool) slowRuns(now time.Time) ([]slowRun, int64) {
	var list []slowRun
	used := int64(0)
	unresolved := p.unresolved()
	for _, j := range p.live {
		for _, occ := range j.occurrences {
			for _, s := range occ.steps {
				if !s.spec.Speculative {
					continue
				}
				used += s.copyCPU()
				if s.remaining > s.waiting && !j.state.Final() && !(unresolved && j.inherited && p.mayRunUnseen(j)) {
					list = append(list, p.slowRunsOf(now, s)...)
				}
			}
		}
	}
	slices.SortStableFunc(list, func(a, b slowRun) int {
		return cmp.Or(cmp.Compare(a.candidate.step.job.queue.Priority, b.candidate.step.job.queue.Priority), cmp.Compare(rank(a.candidate), rank(b.candidate)), cmp.Compare(b.remaining-b.fresh, a.remaining-a.fresh))
	})
	return list, used
}

// copyCPU returns the CPU that the step's tasks use beyond one run each, and that of done tasks whose last run is still
// ending.
func (s *step) copyCPU() int64 {
	n := 0
	for _, t := range s.tasks {
		n += max(0, len(t.runs)-1)
		if t.done && len(t.runs) > 0 {
			n++
		}
	}
	return int64(n) * s.spec.Resources.CPU
}

// slowRunsOf returns the slow runs of a step.
func (p *Pool) slowRunsOf(now time.Time, s *step) []slowRun {
	var list []slowRun
	var times []time.Duration
	for _, t := range s.tasks {
		if !p.mayHaveCopy(t) {
			continue
		}
		run := t.runs[0]
		remaining, ok := run.remainingByProgress()
		elapsed := run.runner.polledAt.Sub(run.confirmedAt)
		if !ok || run.runner.silent(now) || elapsed < minRunAge || run.percent >= 100 {
			continue
		}
		if times == nil {
			times = p.runTimes(s)
		}
		fresh := p.freshRunTime(s, times, p.localTime(run, elapsed+remaining))
		if copyPays(remaining, fresh, 1) {
			list = append(list, slowRun{run, p.candidateOf(now, s), remaining, fresh})
		}
	}
	return list
}

// runTimes returns the run times of the step's tasks in their place, sorted: of those that were timed, and by their own
// rates of those in progress.
func (p *Pool) runTimes(s *step) []time.Duration {
	var times []time.Duration
	for range s.timedTasks {
		times = append(times, s.totalRunTime/time.Duration(s.timedTasks))
	}
	for _, t := range s.tasks {
		for _, run := range t.runs {
			elapsed := run.runner.polledAt.Sub(run.confirmedAt)
			if remaining, ok := run.remainingByProgress(); ok && elapsed >= minRunAge {
				times = append(times, p.localTime(run, elapsed+remaining))
			}
		}
	}
	slices.Sort(times)
	return times
}

// freshRunTime returns the expected time of a fresh run: the median of the step's other tasks, else the declared time by
// the queue's ratio. own is the run's own entry in times.
func (p *Pool) freshRunTime(s *step, times []time.Duration, own time.Duration) time.Duration {
	i := slices.Index(times, own)
	if i >= 0 {
		times = slices.Delete(slices.Clone(times), i, i+1)
	}
	if len(times) == 0 {
		return p.expectedRunTime(s)
	}
	return times[(len(times)-1)/2]
}

// candidateOf returns the step as a candidate, by which its precedence is compared with that of waiting ones.
func (p *Pool) candidateOf(now time.Time, s *step) candidate {
	latest := p.latestStart(s.occurrence, s.job)
	return candidate{step: s, late: now.After(latest), startBy: latest, stale: p.stale(now, s.occurrence, s.job)}
}

// chooseCopyRunner returns the runner for a copy, or nil: another one than that of the slow run, in a rack for which no
// task of equal or higher precedence waits.
func (p *Pool) chooseCopyRunner(now time.Time, c slowRun, blocked blockage) *runner {
	t := c.run.task
	rack := t.step.spec.PreferredRack
	var best *runner
	var bestCost [5]int64
	for _, r := range p.runners {
		if r == c.run.runner || r.health.suspect() || r.health.slowdown > copyMargin || t.hasFailedOn(r) || !p.fits(now, r, t) {
			continue
		}
		if t.step.spec.SameRack && r.rack() != c.run.runner.rack() {
			continue // it would slow the step's other tasks
		}
		if precedes(blocked.racks[r.rack()], c.candidate) {
			continue
		}
		cost := cost(r, t, rack)
		if best == nil || slices.Compare(cost[:], bestCost[:]) < 0 || (cost == bestCost && r.ID < best.ID) {
			best, bestCost = r, cost
		}
	}
	return best
}

// mayStartCopy reports whether a copy on the runner is expected to pay off. A queue whose copies rarely win gets one from
// time to time.
func (p *Pool) mayStartCopy(now time.Time, c slowRun, r *runner) bool {
	s := c.run.task.step
	fresh := c.fresh
	if rack := s.spec.PreferredRack; p.remoteFactor > 1 && rack != "" && rack != r.rack() {
		fresh = scale(fresh, p.remoteFactor)
	}
	record := p.copyRecordOf(s)
	if copyPays(c.remaining, fresh, record.odds()) {
		return true
	}
	return now.Sub(record.startedAt) >= probeInterval && copyPays(c.remaining, fresh, new(copyRecord).odds())
}

// copyRecordOf returns the record of the copies of the step's queue.
func (p *Pool) copyRecordOf(s *step) *copyRecord {
	record, ok := p.copyRecords[s.job.queue.Name]
	if !ok {
		record = &copyRecord{}
		p.copyRecords[s.job.queue.Name] = record
	}
	return record
}

// recordCopy records which of a task's two runs has ended as done first. The runner of a run that a copy has overtaken
// counts as slow; the loss of a run is no failure of its task or its runner.
func (p *Pool) recordCopy(winner *taskRun) {
	t := winner.task
	if len(t.runs) != 2 || t.done || !t.step.spec.Speculative {
		return
	}
	won := winner.isCopy()
	p.copyRecordOf(t.step).record(won)
	if !won {
		p.counts.copies.Lost++
		return
	}
	p.counts.copies.Won++
	for _, loser := range t.runs {
		if remaining, ok := loser.remainingByProgress(); ok && loser != winner {
			total := loser.runner.polledAt.Sub(loser.confirmedAt) + remaining
			loser.runner.health.recordRunTime(p.localTime(loser, total), p.expectedRunTime(t.step))
		}
	}
}

// mayStartLate reports whether an ordered run of a done task, which may be nil, may not have started yet, but still will: its
// start wasn't answered, or an earlier leader ordered it. The end as done isn't acknowledged until then, as a task may not
// start after that.
func (p *Pool) mayStartLate(t *task) bool {
	if t == nil {
		return false
	}
	if t.step.job.inherited && p.unresolved() && p.mayRunUnseen(t.step.job) {
		return true
	}
	return slices.ContainsFunc(t.runs, func(run *taskRun) bool {
		return run.phase != planned && run.confirmedAt.IsZero() && run.stopAckedAt.IsZero()
	})
}

// releaseAcks allows the acknowledgement of ends that no longer wait for another run.
func (p *Pool) releaseAcks() {
	for _, r := range p.runners {
		if len(r.pendingEnds) > 0 {
			p.advanceAckCursor(r)
		}
	}
}

// duplicateRunner returns the runner that was given more than one run of the task, or nil.
func (t *task) duplicateRunner() *runner {
	for i, run := range t.runs {
		if !run.adopted && slices.ContainsFunc(t.runs[:i], func(other *taskRun) bool { return other.runner == run.runner && !other.adopted }) {
			return run.runner
		}
	}
	return nil
}

// endsAfterDone reports whether the end of a run says nothing about its task or runner: another run of the task was first.
func endsAfterDone(t *task, reason work.EndReason) bool {
	return t.done && t.step.spec.Speculative && reason != work.EndDone
}
