package sched

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// Bounds of the judgement on a run.
const (
	judgeEvery   = 100 * time.Millisecond  // between two passes over all runs
	standsStill  = 1500 * time.Millisecond // a run that makes no progress for so long stands still; a percent of the longest usual task takes far less
	startUp      = 500 * time.Millisecond  // before this a run's rate of progress says nothing
	slowFactor   = 2.5                     // a run that will take this many times what its step's others took is started anew
	slowWeight   = 0.3                     // of a new observation in the average speed of a runner
	slowOnce     = 1                       // how often a task is started anew for slowness: a second time it is the task that is long
	lastsStartUp = 6 * time.Second         // longest that a task that lasts takes to be at work
)

// blame takes in a failure of a task on a runner.
func (p *Pool) blame(now time.Time, r *runner, t *task) {
	if !slices.Contains(t.bad, r.ID) {
		t.bad = append(t.bad, r.ID)
	}
	// A task that lasts may fail at any time; that says nothing of the runner.
	if t.step.spec.LongRunning || p.suspectJob(t.step.job, r.ID) {
		return
	}
	r.health.bad(t.step.job.id, now)
}

// suspectJob tells whether the job's tasks have failed on enough other runners to be at fault themselves.
func (p *Pool) suspectJob(j *job, besides string) bool {
	bad := map[string]struct{}{}
	for _, t := range j.turns {
		for _, s := range t.steps {
			for _, x := range s.tasks {
				for _, id := range x.bad {
					if id != besides {
						bad[id] = struct{}{}
					}
				}
			}
		}
	}
	return len(bad) >= jobsTrusted
}

// measure learns from a run that has ended.
func (p *Pool) measure(now time.Time, x *run, how work.EndReason) {
	s := x.task.step
	if how != work.EndDone || s.spec.LongRunning || x.sure.IsZero() {
		return
	}
	x.r.health.good()
	if x.task.last > x.n || x.pace < 100 {
		return
	}
	l, ok := p.learned[s.job.queue.Name]
	if !ok {
		l = &ratio{}
		p.learned[s.job.queue.Name] = l
	}
	took := now.Sub(x.sure)
	x.r.health.timed(took, l.of(s.spec.Estimate))
	l.add(took, s.spec.Estimate)
	s.took += took
	s.timed++
}

// judge looks for runs that stand still or go too slowly, and ends them.
func (p *Pool) judge(now time.Time) {
	if now.Sub(p.judged) < judgeEvery {
		return
	}
	p.judged = now
	for _, r := range p.runners {
		if r.silent(now) || r.answered.IsZero() {
			continue
		}
		for x := range r.runs {
			if x.phase == running {
				p.judgeRun(now, r, x)
			}
		}
	}
}

func (p *Pool) judgeRun(now time.Time, r *runner, x *run) {
	s := x.task.step
	if s.spec.LongRunning {
		if x.percent < 100 && now.Sub(x.sure) > lastsStartUp && now.Sub(x.moved) > standsStill && !s.spec.BestEffort {
			p.condemn(now, r, x)
		}
		return
	}
	if s.spec.BestEffort || s.spec.Gang {
		return // its speed is what the others leave, or that of the slowest member
	}
	// Progress is what the last look told; between looks it stands still for us.
	age := r.answered.Sub(x.moved)
	if age > max(standsStill, s.spec.Estimate/20) && x.percent < 100 {
		p.condemn(now, r, x)
		return
	}
	p.judgeSpeed(now, r, x)
}

// judgeSpeed ends a run that would be overtaken by one started anew, where there is a runner for it. The
// measure is what the step's other tasks took: a declared run time may be wrong for all of them.
func (p *Pool) judgeSpeed(now time.Time, r *runner, x *run) {
	s := x.task.step
	spent := r.answered.Sub(x.sure)
	if s.timed == 0 || x.task.slow >= slowOnce || spent < startUp || x.percent <= 0 || x.percent >= 100 || x.task.saved != "" {
		return
	}
	left := time.Duration(float64(spent) / float64(x.percent) * float64(100-x.percent))
	anew := s.took / time.Duration(s.timed)
	if float64(left) < slowFactor*float64(anew) || !p.elsewhere(now, x) {
		return
	}
	x.task.slow++
	x.stop("too slow")
	p.blame(now, r, x.task)
}

// condemn ends a run that stands still.
func (p *Pool) condemn(now time.Time, r *runner, x *run) {
	x.stop("stands still")
	p.blame(now, r, x.task)
}

// elsewhere tells whether another runner would take the run's task now.
func (p *Pool) elsewhere(now time.Time, x *run) bool {
	for _, r := range p.runners {
		if r != x.r && p.fits(now, r, x.task) {
			return true
		}
	}
	return false
}
