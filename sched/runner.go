package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// runner is a runner of the pool with the runs placed on it.
type runner struct {
	work.Runner
	lease           RunnerLease
	listed          bool          // in the platform's list
	entryBorn       int64         // incarnation whose entry was last in that list; 0 if it didn't say
	inherited       bool          // an earlier leader may have given it work
	known           bool          // it has listed its runs under this leader's fencing token
	polledAt        time.Time     // when a poll was last answered
	listedClock     time.Duration // its clock in that answer
	answerDueAt     time.Time     // by when the oldest unanswered poll should have been answered; zero if there is none
	pollFailed      bool          // the last poll wasn't answered; its lease isn't extended until one is
	succeeds        bool          // by its entry, another runner was started on its machine before; a poll is to confirm it
	held            bool          // restarted while leadership wasn't confirmed: no work until it is
	storedSilent    bool          // the store may list it as silent; its lease isn't extended until that is corrected
	inheritedExpiry time.Time     // if inherited: when everything an earlier leader ordered has certainly ended
	lastEnd         int64         // highest end number handled
	ackedEnd        int64         // ends up to this number may be acknowledged
	droppedEnd      int64         // ends up to this number are no longer listed
	pendingEnds     []pendingEnd
	runs            map[*taskRun]struct{}
	trials          int       // runs that are trials
	keptFor         *job      // only runs of this job may start, so that its suspects soon can
	keptUntil       time.Time // of keptFor
	fencing         fencing
	used            work.Resources
	lasting         work.Resources                // part of used: by runs that don't end by themselves
	longRunningCPU  int64                         // part of used: by long-running tasks
	orphaned        work.Resources                // by listed runs that belong to no task, until a poll no longer lists them
	orphanedBy      map[*workspace]work.Resources // the same by workspace, of tasks that have one
	unknownRuns     bool                          // it lists runs of unknown jobs, whose resources are unknown
	bestEffortRuns  int
	evacuating      bool
	endPlanned      bool // an order may end its present incarnation
	retained        bool // it stays when the pool releases machines
	maintenanceDue  bool // it has to be evacuated for maintenance soon
	health          health
	leavesAt        time.Time // while draining: the earliest time at which it leaves
	turnedAway      turnAway
	unreservedUntil time.Time // before which it isn't reserved
}

// pendingEnd is the end of a run that isn't acknowledged to the runner until the job's change is in the store.
type pendingEnd struct {
	number int64
	job    *job  // nil for an unknown job, whose end needs no commit
	seq    int64 // sequence number of the job's change
	task   *task // of an end as done whose acknowledgement has to wait for the task's other run; usually nil
}

func newRunner(info work.Runner) *runner {
	return &runner{Runner: info, runs: map[*taskRun]struct{}{}}
}

// addRun adds a run and takes up its resources.
func (r *runner) addRun(run *taskRun) {
	r.runs[run] = struct{}{}
	if run.trial {
		r.trials++
	}
	r.account(run, 1)
}

// account adds a run to what the runner has in use, or with a sign of -1 takes it off.
func (r *runner) account(run *taskRun, sign int64) {
	s := run.task.step.spec
	if sign > 0 {
		r.used = r.used.Add(s.Occupied())
	} else {
		r.used = r.used.Sub(s.Occupied())
	}
	if s.BestEffort || s.LongRunning {
		r.lasting = r.lasting.Add(multiply(s.Occupied(), sign))
	}
	switch {
	case s.BestEffort:
		r.bestEffortRuns += int(sign)
	case s.LongRunning:
		r.longRunningCPU += sign * s.Resources.CPU
	}
}

// removeRun removes a run and frees its resources.
func (r *runner) removeRun(run *taskRun) {
	if _, ok := r.runs[run]; !ok {
		return
	}
	delete(r.runs, run)
	r.endTrial(run)
	r.account(run, -1)
}

// free returns the room that isn't in use. Best-effort tasks use no CPU of it.
func (r *runner) free() work.Resources { return r.Room.Sub(r.used).Sub(r.orphaned) }

// addOrphan counts the resources of a listed run that belongs to no task; s is nil if its step is unknown.
func (r *runner) addOrphan(s *step) {
	if s == nil {
		r.unknownRuns = true
		return
	}
	r.orphaned = r.orphaned.Add(s.spec.Occupied())
	if w := s.job.workspace; w != nil {
		if r.orphanedBy == nil {
			r.orphanedBy = map[*workspace]work.Resources{}
		}
		r.orphanedBy[w] = r.orphanedBy[w].Add(s.spec.Resources)
	}
}

// forgetOrphans forgets the orphans of the last poll.
func (r *runner) forgetOrphans() {
	r.orphaned, r.orphanedBy, r.unknownRuns = work.Resources{}, nil, false
}

// overfull reports whether the runs on the runner need more than its room, which may have shrunk, or may do so.
func (r *runner) overfull() bool { return r.unknownRuns || !(work.Resources{}).Fits(r.free()) }

// silent reports whether polls have been unanswered for longer than silentAfter.
func (r *runner) silent(now time.Time) bool {
	return !r.answerDueAt.IsZero() && now.Sub(r.answerDueAt) > silentAfter
}

// schedulable reports whether the runner may get new work.
func (r *runner) schedulable(now time.Time) bool {
	return r.listed && r.known && !r.Draining && !r.evacuating && !r.pollFailed && !r.storedSilent && !r.held && !r.fencing.pending && !r.unknownRuns && r.lease.ClockKnown() && !r.health.excluded(now)
}

// rack returns the runner's rack, which is its last label by convention.
func (r *runner) rack() string {
	if len(r.Labels) == 0 {
		return ""
	}
	return r.Labels[len(r.Labels)-1]
}

// hasLabel reports whether the runner's present incarnation has a label, or none is asked for. It may be of another kind
// than the one whose entry is known.
func (r *runner) hasLabel(label string) bool {
	current := r.entryBorn == 0 || r.entryBorn >= r.Born
	return label == "" || (current && slices.Contains(r.Labels, label))
}

// countRuns returns the number of the step's runs on the runner.
func (r *runner) countRuns(s *step) int {
	n := 0
	for run := range r.runs {
		if run.task.step == s {
			n++
		}
	}
	return n
}

// resolved reports whether it is known which runs of an earlier leader are left on the runner.
func (r *runner) resolved() bool { return !r.inherited || r.known }
