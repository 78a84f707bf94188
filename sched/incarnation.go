package sched

import (
	"time"

	"gypsumlead/work"
)

// Restart describes a runner that has started again under its ID.
type Restart struct {
	Runner   string
	Born     int64 // start of the new incarnation in Unix milliseconds
	Earlier  int64 // start of the incarnation before
	Listed   int   // runs that polls of the earlier incarnation have listed, which ended with it
	Unlisted int   // ordered runs that no poll has listed, which may be in progress in the new incarnation
}

// WithRestartHook sets the function that is called for each runner that has started again under its ID.
func WithRestartHook(hook func(Restart)) Option {
	return func(p *Pool) { p.onRestart = hook }
}

// noteRestart reports that a runner has started again.
func (p *Pool) noteRestart(r *runner, born int64) {
	p.counts.restarts++
	restart := Restart{Runner: r.ID, Born: born, Earlier: r.Born}
	for run := range r.runs {
		switch {
		case run.phase == planned:
		case run.listed:
			restart.Listed++
		default:
			restart.Unlisted++
		}
	}
	p.onRestart(restart)
}

// OrphanRun describes a run that a runner lists and that nobody wants, for example because it was given up.
type OrphanRun struct {
	Task   work.Task
	Run    int
	Runner string
}

// WithOrphanHook sets the function that is called when a runner first lists an orphan run.
func WithOrphanHook(hook func(OrphanRun)) Option {
	return func(p *Pool) { p.onOrphan = hook }
}

// setIncarnation sets the start time of the runner's present incarnation. A later one than before means that the
// runner has restarted and the runs of the earlier incarnation are gone.
func (p *Pool) setIncarnation(now time.Time, r *runner, born int64) {
	p.resolveLostTrials(now, r.Runner, born)
	if born <= r.Born {
		return
	}
	if r.Born != 0 {
		p.noteRestart(r, born)
		p.handleCrash(now, r)
		r.lease.Reset()
		p.startFencing(now, r)
		for run := range r.runs {
			switch {
			case run.phase == planned && run.trial:
				run.withdrawn = true // the stored trial names the old incarnation
			case run.phase == planned:
			case run.listed:
				p.abandon(now, run, "its runner has started anew")
			default:
				run.carryOver()
			}
		}
		r.lastEnd, r.ackedEnd, r.droppedEnd, r.pendingEnds = 0, 0, 0, nil
		r.health = health{}
		r.forgetOrphans()
		r.answerDueAt, r.pollFailed = time.Time{}, false
		r.held = !p.leadershipConfirmed
		r.endPlanned = false
	}
	r.Born = born
}

// carryOver handles a run that no poll has listed before its runner restarted. Its start order may have reached the
// new incarnation, even if it was answered. A poll of the new incarnation decides, or a stop prevents the run.
func (r *taskRun) carryOver() {
	switch r.phase {
	case running:
		r.phase, r.confirmedAt = unconfirmed, time.Time{}
	case stopping:
		r.stopAckedAt = time.Time{} // a stop answered by the old incarnation prevents nothing in the new one
	case planned, sending, unconfirmed:
	}
}
