package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// Limits for tasks that crash the runners that start them.
const (
	settleTime        = 500 * time.Millisecond // a run that has lasted this long isn't blamed for a crash while newer ones are on its runner
	maxCertainCrashes = 2                      // crashes that only the task's own job can have caused, after which it is given up
	maxCrashes        = 5                      // crashes of any kind after which it is given up
	keepInterval      = 300 * time.Millisecond // for which a runner is kept for a suspect that waits; longer than the time between two plans
)

// Crash is the crash of a runner for which a run of a task is blamed.
type Crash struct {
	Run     int  `json:"run"`
	Certain bool `json:"certain,omitempty"` // the run was known to have begun, and no run of another job can be to blame
	shared  *sharedBlame
	unbegun bool // the run wasn't known to have begun; such a crash never becomes certain
}

// sharedBlame is the blame for one crash on the tasks of several jobs. It becomes certain for the last job of which no
// task has been cleared.
type sharedBlame struct {
	tasks []*task
}

// clear takes a task out of the blame and returns the tasks that are certainly to blame now, if any.
func (b *sharedBlame) clear(t *task) []*task {
	b.tasks = slices.DeleteFunc(b.tasks, func(blamed *task) bool { return blamed == t })
	if len(b.tasks) == 0 || slices.ContainsFunc(b.tasks, func(blamed *task) bool { return blamed.step.job != b.tasks[0].step.job }) {
		return nil
	}
	return b.tasks
}

// Trial is a run that will be blamed if its runner turns out to have crashed. The trial of a suspect is stored before its
// start, so that the crash counts under a later leader, too.
type Trial struct {
	Run     int    `json:"run"`
	Runner  string `json:"runner"`
	Machine string `json:"machine,omitempty"`
	Born    int64  `json:"born,omitempty"`   // the runner's incarnation
	Shared  bool   `json:"shared,omitempty"` // runs of other jobs may be to blame as well, or the run isn't known to have begun
}

func newTrial(run *taskRun, shared bool) *Trial {
	return &Trial{run.number, run.runner.ID, run.runner.Machine, run.runner.Born, shared}
}

// isSuspect reports whether a runner has crashed under the task, or under a member of its gang, and no run of it has
// lasted since.
func (t *task) isSuspect() bool {
	if !t.step.spec.Gang {
		return t.suspect
	}
	return slices.ContainsFunc(t.step.tasks, func(m *task) bool { return m.suspect })
}

// begun reports whether the run is known to have begun: its start was answered or a poll has listed it. A start that
// wasn't answered may never have arrived, so that its runner crashed for another reason.
func (r *taskRun) begun() bool { return !r.confirmedAt.IsZero() }

// startedAnew reports whether the answer to a start shows that the runner has restarted since its last poll: its clock has
// gone back. A poll after the start in the same incarnation would have listed the run.
func (r *runner) startedAnew(clock time.Duration) bool { return clock > 0 && clock < r.listedClock }

// settled reports whether a run is known to have lasted for settleTime.
func (r *taskRun) settled() bool {
	return !r.confirmedAt.IsZero() && r.runner.polledAt.Sub(r.confirmedAt) >= settleTime
}

// keepsTrialsApart reports whether the runner can take a run of the task without having a suspect's run beside
// unsettled runs of another job: a crash would leave open which of the jobs is to blame.
func (r *runner) keepsTrialsApart(t *task) bool {
	suspect := t.isSuspect()
	if !suspect && r.trials == 0 {
		return true
	}
	for run := range r.runs {
		if run.task.step.job != t.step.job && (run.trial || (suspect && !run.settled())) {
			return false
		}
	}
	return true
}

// keptFrom reports whether the runner is kept for a suspect of another job.
func (r *runner) keptFrom(j *job, now time.Time) bool {
	return r.keptFor != nil && r.keptFor != j && now.Before(r.keptUntil)
}

// reserveForTrial keeps other jobs off the runner on which a suspect can soon start, until then or until the suspect no
// longer asks. It returns false if no runner has room for the suspect.
func (p *Pool) reserveForTrial(now time.Time, t *task) bool {
	var best *runner
	fewest, found := 0, false
	for _, r := range p.sortedRunners() {
		if !p.hasRoom(now, r, t) {
			continue
		}
		found = true
		n := r.countUnsettled()
		if r.keptFor == t.step.job && now.Before(r.keptUntil) {
			n = -1
		}
		if !r.keptFrom(t.step.job, now) && (best == nil || n < fewest) {
			best, fewest = r, n
		}
	}
	if best != nil {
		p.reserved[best] = reservation{whole: true}
		best.keptFor, best.keptUntil = t.step.job, now.Add(keepInterval)
	}
	return found
}

// reserveGangForTrial is like reserveForTrial for each member of a gang, if there is room for all of them.
func (p *Pool) reserveGangForTrial(now time.Time, s *step) bool {
	if p.countPlaces(s, func(r *runner) bool { return p.hasRoom(now, r, s.tasks[0]) }) < s.placesNeeded() {
		return false
	}
	for _, t := range s.tasks {
		if !p.reserveForTrial(now, t) {
			return false
		}
	}
	return true
}

// countUnsettled returns the number of the runner's runs that aren't settled.
func (r *runner) countUnsettled() int {
	n := 0
	for run := range r.runs {
		if !run.settled() {
			n++
		}
	}
	return n
}

// handleCrash counts the crash of a runner against the runs to blame, unless its end was planned.
func (p *Pool) handleCrash(now time.Time, r *runner) {
	if r.endIsPlanned() {
		return
	}
	blamed, certain := r.blamedRuns()
	shared := &sharedBlame{}
	for _, run := range blamed {
		if !run.settled() {
			shared.tasks = append(shared.tasks, run.task)
		}
	}
	for _, run := range blamed {
		p.recordCrash(now, run.task, Crash{Run: run.number, Certain: certain && run.begun(), shared: shared, unbegun: !run.begun()})
	}
}

// blamedRuns returns the runs that may have crashed the runner: those that aren't settled, or all if there are none. It
// reports whether they are unsettled runs of a single job.
func (r *runner) blamedRuns() ([]*taskRun, bool) {
	var ordered, unsettled []*taskRun
	for _, run := range r.sortedRuns() {
		if run.phase == planned {
			continue
		}
		ordered = append(ordered, run)
		if !run.settled() {
			unsettled = append(unsettled, run)
		}
	}
	if len(unsettled) == 0 {
		return ordered, false
	}
	first, last := unsettled[0], unsettled[len(unsettled)-1]
	return unsettled, first.task.step.job == last.task.step.job // they are sorted by job
}

// recordCrash counts a crash against a task, unless it was counted before, and fails the job if the task is to be given
// up.
func (p *Pool) recordCrash(now time.Time, t *task, crash Crash) {
	j := t.step.job
	if t.done || j.state.Final() || slices.ContainsFunc(t.crashes, func(c Crash) bool { return c.Run == crash.Run }) {
		return
	}
	t.crashes = append(t.crashes, crash)
	t.suspect = true
	p.markChanged(j, now)
	j.commitNow = true
	p.giveUpCrashing(now, t)
}

// giveUpCrashing fails the job of a task that is to be given up.
func (p *Pool) giveUpCrashing(now time.Time, t *task) {
	if j := t.step.job; !j.state.Final() && t.crashesTooOften() {
		p.close(j, work.Failed, now)
	}
}

// crashesTooOften reports whether the task is to be given up. Against long-running tasks and gangs only certain crashes
// count: they are there for long or on many runners, and so see many crashes that they haven't caused.
func (t *task) crashesTooOften() bool {
	certain := 0
	for _, c := range t.crashes {
		if c.Certain {
			certain++
		}
	}
	if certain >= maxCertainCrashes {
		return true
	}
	return len(t.crashes) >= maxCrashes && !t.step.spec.LongRunning && !t.step.spec.Gang
}

// suspendBlame remembers the unsettled runs on a silent runner whose lease has expired. They are blamed once it is known
// that the runner has crashed. The end of a runner that was planned isn't a crash.
func (p *Pool) suspendBlame(r *runner) {
	if r.endIsPlanned() {
		return
	}
	blamed, certain := r.blamedRuns()
	for _, run := range blamed {
		if !run.settled() {
			p.addLostTrial(run.task, newTrial(run, !certain || !run.begun()))
		}
	}
}

// addLostTrial remembers a trial whose outcome isn't known.
func (p *Pool) addLostTrial(t *task, trial *Trial) {
	t.lostTrial = trial
	p.lostTrials[t] = struct{}{}
}

// dropLostTrial forgets the task's lost trial.
func (p *Pool) dropLostTrial(t *task) {
	t.lostTrial = nil
	delete(p.lostTrials, t)
}

// resolveLostTrials counts the crashes that a runner's incarnation proves: it, or the runner that its machine had
// before, has started anew since a trial.
func (p *Pool) resolveLostTrials(now time.Time, info work.Runner, born int64) {
	for t := range p.lostTrials {
		lost := t.lostTrial
		if born > lost.Born && (lost.Runner == info.ID || (lost.Machine != "" && lost.Machine == info.Machine)) {
			p.dropLostTrial(t)
			p.recordCrash(now, t, Crash{Run: lost.Run, Certain: !lost.Shared})
		}
	}
}

// dropAnsweredTrials drops the lost trials on a runner that has answered: it hasn't crashed.
func (p *Pool) dropAnsweredTrials(now time.Time, r *runner) {
	for t := range p.lostTrials {
		if t.lostTrial.Runner == r.ID && t.lostTrial.Born == r.Born {
			p.dropLostTrial(t)
			p.markChanged(t.step.job, now)
		}
	}
}

// clearSettled clears the suspicion against the tasks whose trials on the runner have settled.
func (p *Pool) clearSettled(now time.Time, r *runner) {
	if r.trials == 0 {
		return
	}
	for run := range r.runs {
		if run.trial && run.settled() {
			r.endTrial(run)
			p.clearSuspect(now, run.task)
		}
	}
}

// PollWait returns how long a runner may delay its answer to a poll: at most longest, and not beyond the time at which
// one of its trials has settled.
func (p *Pool) PollWait(now time.Time, id string, longest time.Duration) time.Duration {
	r, ok := p.runners[id]
	if !ok {
		return longest
	}
	if r.fencing.pending {
		return 0 // it gets no work before it has answered a poll with its own token
	}
	for run := range r.runs {
		if run.trial && !run.confirmedAt.IsZero() {
			longest = min(longest, max(0, run.confirmedAt.Add(settleTime).Sub(now)))
		}
	}
	return longest.Round(time.Millisecond)
}

// clearSuspect clears a task of which a run has settled or ended: it didn't crash its earlier runners. Who else was blamed
// for their crashes is more likely to have caused them.
func (p *Pool) clearSuspect(now time.Time, t *task) {
	if !t.suspect {
		return
	}
	t.suspect = false
	p.markChanged(t.step.job, now)
	for i := range t.crashes {
		crash := &t.crashes[i]
		crash.Certain = false
		if crash.shared == nil {
			continue
		}
		for _, blamed := range crash.shared.clear(t) {
			p.makeCertain(now, blamed, crash.shared)
		}
		crash.shared = nil
	}
}

// makeCertain marks a crash as certainly caused by a task's job.
func (p *Pool) makeCertain(now time.Time, t *task, shared *sharedBlame) {
	for i := range t.crashes {
		if t.crashes[i].shared == shared && !t.crashes[i].unbegun {
			t.crashes[i].Certain = true
			p.markChanged(t.step.job, now)
		}
	}
	p.giveUpCrashing(now, t)
}

// endTrial ends the trial of a run, so that runs of other jobs may start beside it.
func (r *runner) endTrial(run *taskRun) {
	if run.trial {
		run.trial = false
		r.trials--
	}
}

// trialToStore returns the trial of which a later leader has to know, or nil.
func (t *task) trialToStore() *Trial {
	for _, run := range t.runs {
		if run.trial {
			return newTrial(run, !run.begun())
		}
	}
	return t.lostTrial
}

// dropLostTrials forgets the lost trials of a job.
func (p *Pool) dropLostTrials(j *job) {
	for t := range p.lostTrials {
		if t.step.job == j {
			p.dropLostTrial(t)
		}
	}
}
