package sched

import (
	"math"
	"time"

	"gypsumlead/budget"
	"gypsumlead/work"
)

// workspace is what the pool knows of a workspace of which it has jobs.
type workspace struct {
	name       string
	jobs       int            // known jobs, those that have ended included
	used       work.Resources // by runs in any phase
	version    int64          // newest of the configurations by which its jobs were let in
	unknown    bool           // that is newer than the pool's, which lacks the workspace: it may have a cap
	capped     bool           // the configuration has a cap for it
	maximum    work.Resources // its cap
	allowance  work.Resources // what it may use in this pool
	orphaned   work.Resources // as last measured: by listed runs that belong to no task
	unseen     work.Resources // as last measured: upper bound of earlier leaders' runs that no runner has listed yet
	room       work.Resources // what is left of the allowance while tasks are counted
	waiting    work.Resources // as of the last plan: by tasks that could start
	next       work.Resources // part of waiting: the most urgent task or gang
	heldUp     bool           // the last plan didn't start all tasks because of the cap
	heldBefore bool           // the same of the plan before
	rate       float64        // of accepted jobs per second, see arrivalWindow
	ratedAt    time.Time      // as of when
}

// arrivalWindow is the time constant with which the rate of a workspace's jobs decays.
const arrivalWindow = 5 * time.Second

// accepted counts an accepted job in the workspace's rate.
func (w *workspace) accepted(now time.Time) {
	w.rate, w.ratedAt = w.arrivals(now)+1/arrivalWindow.Seconds(), now
}

// arrivals returns the workspace's jobs per second, averaged over about arrivalWindow.
func (w *workspace) arrivals(now time.Time) float64 {
	return w.rate * math.Exp(-now.Sub(w.ratedAt).Seconds()/arrivalWindow.Seconds())
}

// WorkspaceArrivals returns the jobs per second that were lately accepted for a workspace.
func (p *Pool) WorkspaceArrivals(now time.Time, name string) float64 {
	if w, ok := p.workspaces[name]; ok {
		return w.arrivals(now)
	}
	return 0
}

// joinWorkspace returns the workspace of a new job that was let in by a version of the configuration, or nil if the job has
// none.
func (p *Pool) joinWorkspace(name string, version int64) *workspace {
	if name == "" {
		return nil
	}
	w, ok := p.workspaces[name]
	if !ok {
		w = &workspace{name: name}
		p.workspaces[name] = w
	}
	w.version = max(w.version, version)
	p.limit(w)
	w.jobs++
	return w
}

// leaveWorkspace removes a job that is no longer known from its workspace.
func (p *Pool) leaveWorkspace(w *workspace) {
	if w == nil {
		return
	}
	w.jobs--
	if w.jobs == 0 {
		delete(p.workspaces, w.name)
	}
}

// account adds a task's resources to what the workspace has in use, or with a sign of -1 takes them off. The workspace may
// be nil. A best-effort task counts with all that it declares.
func (w *workspace) account(s *work.Step, sign int64) {
	if w == nil {
		return
	}
	if sign > 0 {
		w.used = w.used.Add(s.Resources)
	} else {
		w.used = w.used.Sub(s.Resources)
	}
}

// inUse returns what counts against the workspace's allowance.
func (w *workspace) inUse() work.Resources { return w.used.Add(w.orphaned).Add(w.unseen) }

// SetCaps sets the configured caps of the workspaces that have one. A workspace without a cap is not limited.
func (p *Pool) SetCaps(caps map[string]work.Resources) {
	p.caps = caps
	p.limitWorkspaces()
}

// SetAllowances sets what each workspace with a cap may use in this pool. A workspace that isn't named starts nothing.
func (p *Pool) SetAllowances(allowances map[string]work.Resources) {
	p.allowances = allowances
	p.limitWorkspaces()
}

func (p *Pool) limitWorkspaces() {
	for _, w := range p.workspaces {
		p.limit(w)
	}
}

// limit sets a workspace's cap and allowance.
func (p *Pool) limit(w *workspace) {
	w.unknown = w.version > p.version && !p.shares.has(w.name)
	w.maximum, w.capped = p.caps[w.name]
	if !w.capped {
		return
	}
	allowance, ok := p.allowances[w.name]
	if !ok {
		allowance = budget.Limit(work.Resources{}, w.maximum)
	}
	w.allowance = allowance
}

// unit returns what the step needs to start anything: one task, or all members of a gang.
func (s *step) unit() work.Resources {
	if !s.spec.Gang {
		return s.spec.Resources
	}
	return multiply(s.spec.Resources, int64(len(s.tasks)))
}

func multiply(a work.Resources, n int64) work.Resources {
	return work.Resources{CPU: a.CPU * n, Mem: a.Mem * n, GPU: a.GPU * n}
}

// leavesRoom reports whether the allowance of a workspace, which may be nil, suffices for a further need. An unknown one has none
// until the pool gets the configuration that has it.
func (w *workspace) leavesRoom(need work.Resources) bool {
	if w == nil {
		return true
	}
	return !w.unknown && (!w.capped || w.inUse().Add(need).Fits(w.allowance))
}

// heldByCap reports whether the cap of the step's workspace leaves no room to start any of the step's waiting tasks.
func (p *Pool) heldByCap(s *step) bool {
	return !s.job.workspace.leavesRoom(s.unit()) && s.waiting > 0 && !s.partlyRunning()
}

// partlyRunning reports whether the step is a gang with runs left, which are to end before it starts again.
func (s *step) partlyRunning() bool { return s.spec.Gang && s.waiting < s.remaining }

// holdUp records that a step is held up by the cap of its workspace.
func (p *Pool) holdUp(s *step) {
	s.job.workspace.heldUp = true
	if !s.job.heldUp {
		s.job.heldUp = true
		p.onHeldUp(s.job.heldUpBy())
	}
}

// HeldUpJob returns what holds up a job, if that is the cap of its workspace.
func (p *Pool) HeldUpJob(wall time.Time, id work.ID) (HeldUp, bool) {
	j, ok := p.jobs[id]
	if !ok || j.state.Final() {
		return HeldUp{}, false
	}
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			if s.waiting > 0 && s.ready(wall) && p.heldByCap(s) {
				return j.heldUpBy(), true
			}
		}
	}
	return HeldUp{}, false
}

// HeldUp describes a job that is held up by the cap of its workspace.
type HeldUp struct {
	Job       work.ID
	Queue     string
	Workspace string
	Unknown   bool // the pool's configuration is older than the workspace, whose cap is not known yet
}

func (j *job) heldUpBy() HeldUp {
	return HeldUp{j.id, j.queue.Name, j.workspace.name, j.workspace.unknown}
}

// isHeldUp reports whether the cap of the workspace, which may be nil, held up tasks in the last plan.
func (w *workspace) isHeldUp() bool { return w != nil && w.heldUp }

// WithHeldUpHook sets the function that is called for each job when the cap of its workspace first holds it up.
func WithHeldUpHook(hook func(HeldUp)) Option {
	return func(p *Pool) { p.onHeldUp = hook }
}

// NewlyHeldUp reports whether the last plan held up tasks of a workspace of which the plan before held up none.
func (p *Pool) NewlyHeldUp() bool {
	if len(p.caps) == 0 {
		return false
	}
	for _, w := range p.workspaces {
		if w.heldUp && !w.heldBefore {
			return true
		}
	}
	return false
}

// overAllowance reports whether the workspace of a run uses more than its allowance, so that the run may not be started.
func (p *Pool) overAllowance(run *taskRun) bool {
	return !run.task.step.job.workspace.leavesRoom(work.Resources{})
}

// checkAllowance reports a start that exceeds the allowance of its workspace.
func (p *Pool) checkAllowance(run *taskRun) {
	if p.overAllowance(run) {
		w := run.task.step.job.workspace
		p.reportViolation("task %s starts though workspace %s uses %v of an allowance of %v", run.task.name, w.name, w.inUse(), w.allowance)
	}
}

// checkWorkspaces reports workspaces whose use isn't what their runs use.
func (p *Pool) checkWorkspaces() {
	if len(p.workspaces) == 0 {
		return
	}
	used := map[*workspace]work.Resources{}
	for _, r := range p.runners {
		for run := range r.runs {
			if w := run.task.step.job.workspace; w != nil {
				used[w] = used[w].Add(run.task.step.spec.Resources)
			}
		}
	}
	for _, w := range p.workspaces {
		if w.used != used[w] {
			p.reportViolation("workspace %s: %v counted as used, but its runs use %v", w.name, w.used, used[w])
		}
	}
}
