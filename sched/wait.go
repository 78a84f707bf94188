package sched

import (
	"time"

	"gypsumlead/work"
)

// waitMargin scales an expected wait where a wrong expectation would cost something: runs end later more often than
// earlier, and other tasks may take the room.
const waitMargin = 1.5

// crowdedFactor is how much a wait may cost in terms of what a place in the rack saves, while work waits for room: what the
// slow run takes from others counts as much as what the task itself loses.
const crowdedFactor = 2

// maxRackWait limits the waits of a task in total: a job that could start must not be held up for 3 s.
const maxRackWait = 2500 * time.Millisecond

// unlimitedWait is longer than any task of a trial waits.
const unlimitedWait = time.Hour

// WithRemoteFactor sets by how much a task is slower outside its preferred rack, or if its step is spread over several.
// With at most 1, which is the default, no task waits for a rack.
func WithRemoteFactor(factor float64) Option {
	return func(p *Pool) { p.remoteFactor = factor }
}

// WithRackWaitHook sets the function that is called when the first task of a step begins to wait for a rack.
func WithRackWaitHook(hook func(RackWait)) Option {
	return func(p *Pool) { p.onRackWait = hook }
}

// RackWait describes a task that waits for room in a rack although another rack has room for it.
type RackWait struct {
	Task   work.Task
	Rack   string
	Until  time.Time // when the room is expected
	Latest time.Time // after which the task goes to another rack
}

// RackWaits counts the waits of tasks for racks.
type RackWaits struct {
	Begun     int64
	InPlace   int64 // ended in the rack
	Elsewhere int64 // ended in another rack
	Waited    time.Duration
}

// rackWait is a task's wait for a rack. It stays with the task, so that a later run waits no longer than is left.
type rackWait struct {
	rack    string
	limit   time.Duration // of waited
	waited  time.Duration // before the last plan that let it wait
	until   time.Time     // when the room is expected
	latest  time.Time     // after which the task goes to another rack
	decided time.Time     // time of the last plan that let it wait
	ended   bool
}

// rackChoice is what the choice between waiting for a rack and going to another depends on.
type rackChoice struct {
	now       time.Time
	room      time.Time     // when the rack is expected to have room
	local     time.Duration // expected run time in the rack
	factor    float64       // times local is the run time elsewhere
	latest    time.Time     // until when the task may wait
	objective time.Time     // by when the task has to end for its job to be on time
	crowded   bool          // work waits for room, from which a slow run takes (factor-1) x local
}

// wait reports whether waiting is expected to pay off.
func (c rackChoice) wait() bool {
	if !c.now.Before(c.latest) {
		return false
	}
	expected := max(0, c.room.Sub(c.now))
	cautious := scale(expected, waitMargin)
	gain := scale(c.local, c.factor-1) // what the task gains by a place in the rack
	if !c.now.Add(c.local+gain).After(c.objective) && c.now.Add(cautious+c.local).After(c.objective) {
		return false // going meets the objective, waiting may not
	}
	if c.crowded {
		return expected < crowdedFactor*gain
	}
	return cautious < gain && !c.room.After(c.latest)
}

// waitsForRacks reports whether tasks may wait for racks.
func (p *Pool) waitsForRacks() bool {
	return p.remoteFactor > 1 && p.strategy.shedsLoad() && p.strategy != GoAtOnce
}

// prefersRack reports whether the step's tasks are slower in some racks than in others. Long-running and best-effort
// tasks have no expected run time that a wait could be compared with.
func (s *step) prefersRack() bool {
	return (s.spec.PreferredRack != "" || s.spec.SameRack) && !s.spec.LongRunning && !s.spec.BestEffort
}

// isRemote reports whether a run is slower because of its rack.
func (p *Pool) isRemote(run *taskRun) bool {
	s := run.task.step
	if p.remoteFactor <= 1 || !s.prefersRack() {
		return false
	}
	if s.spec.PreferredRack != "" && s.spec.PreferredRack != run.runner.rack() {
		return true
	}
	return s.spec.SameRack && s.spread
}

// localTime returns what a run's time would have been in its preferred rack.
func (p *Pool) localTime(run *taskRun, took time.Duration) time.Duration {
	if p.isRemote(run) {
		return scale(took, 1/p.remoteFactor)
	}
	return took
}

// noteRack records the racks of the runs of a step whose tasks belong in one.
func (s *step) noteRack(r *runner) {
	if !s.spec.SameRack {
		return
	}
	if s.remaining == s.waiting && s.remaining == len(s.tasks) {
		s.rack, s.spread = r.rack(), false // its first run, or all earlier ones are lost
	}
	s.spread = s.spread || s.rack != r.rack()
}

// termsOf returns what the choices for the step's tasks have in common. It is computed once per plan.
func (p *Pool) termsOf(now time.Time, s *step) rackChoice {
	c, ok := p.outlook.terms[s]
	if !ok {
		rest := p.estimateRatios[s.job.queue.Name].expected(s.occurrence.pathAfter(s))
		c = rackChoice{
			now: now, local: p.expectedRunTime(s), factor: p.remoteFactor, crowded: p.outlook.crowded,
			objective: p.objective(s.occurrence, s.job).Add(-rest),
		}
		p.outlook.terms[s] = c
	}
	return c
}

// pathAfter returns the longest chain of declared estimates over the steps that follow a step.
func (o *occurrence) pathAfter(s *step) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	follows := make([]bool, len(o.steps))
	follows[s.index] = true
	longest := time.Duration(0)
	for i, next := range o.steps {
		for _, a := range next.spec.After {
			if follows[a] {
				follows[i] = true
				ends[i] = max(ends[i], ends[a])
			}
		}
		if follows[i] && i != s.index {
			ends[i] += next.spec.Estimate
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// mayWait reports whether tasks of the step may wait for a rack at all. Those of an inherited job may not: how long they
// have waited is unknown.
func (p *Pool) mayWait(s *step) bool {
	return p.outlook != nil && s.prefersRack() && !s.job.inherited
}

// waitsForRack reports whether a task waits for its preferred rack instead of starting on a runner of another one.
func (p *Pool) waitsForRack(now time.Time, t *task, r *runner) bool {
	s := t.step
	if !p.mayWait(s) || s.spreads || t.isSuspect() {
		return false
	}
	rack := p.rackFor(now, s)
	if rack == "" || rack == r.rack() {
		return false
	}
	c := p.termsOf(now, s)
	c.latest = p.latestWait(t, c)
	o := p.rackOutlook(now, rack)
	bound, ok := o.bound(s.spec.Occupied(), c.local)
	if !ok {
		return false
	}
	c.room = later(now, bound)
	if !p.prefersWait(c) {
		return false
	}
	pr, at := p.earliestRoom(now, o, t, c.local)
	if pr == nil {
		return false
	}
	if c.room = at; !p.prefersWait(c) {
		return false
	}
	pr.occupy(now, at, at.Add(c.local), s.spec.Occupied())
	p.wait(t, rack, c)
	return true
}

// prefersWait makes the choice by the pool's strategy.
func (p *Pool) prefersWait(c rackChoice) bool { return p.strategy == WaitAlways || c.wait() }

// earliestRoom returns where and when a rack is expected to have room for a task, or nil if it isn't.
func (p *Pool) earliestRoom(now time.Time, o *rackOutlook, t *task, local time.Duration) (*projection, time.Time) {
	s := t.step
	var best *projection
	var bestAt time.Time
	for _, pr := range o.projections {
		r := pr.runner
		// One that has room and wasn't chosen is unsuitable for another reason, which no end of a run changes.
		if s.spec.Occupied().Fits(r.free()) || !p.suitable(now, r, t) {
			continue
		}
		if at, ok := pr.earliest(now, s.spec.Occupied(), local); ok && (best == nil || at.Before(bestAt)) {
			best, bestAt = pr, at
		}
	}
	if s.spec.RequiredLabel == "" && s.spec.MaxPerRunner == 0 && s.job.queue.Advice == nil && len(t.failedOn) == 0 {
		o.setBound(roomBound{s.spec.Occupied(), local, bestAt})
	}
	return best, bestAt
}

// suitable reports whether a runner could run the task if it had room.
func (p *Pool) suitable(now time.Time, r *runner, t *task) bool {
	s := t.step
	if _, reserved := p.reserved[r]; reserved || t.hasFailedOn(r) || r.trials > 0 || r.keptFrom(s.job, now) {
		return false
	}
	if s.spec.MaxPerRunner > 0 && r.countRuns(s) >= s.spec.MaxPerRunner {
		return false
	}
	return r.hasLabel(s.spec.RequiredLabel) && s.approvedOn(now, r)
}

// hasFailedOn reports whether the task has failed on the runner.
func (t *task) hasFailedOn(r *runner) bool {
	for _, id := range t.failedOn {
		if id == r.ID {
			return true
		}
	}
	return false
}

// latestWait returns until when a task may wait.
func (p *Pool) latestWait(t *task, c rackChoice) time.Time {
	switch {
	case p.strategy == WaitAlways:
		return c.now.Add(unlimitedWait)
	case t.rackWait == nil:
		return c.now.Add(min(scale(c.local, c.factor-1), maxRackWait))
	}
	return c.now.Add(t.rackWait.limit - t.rackWait.waited)
}

// wait records that a plan lets a task wait for a rack.
func (p *Pool) wait(t *task, rack string, c rackChoice) {
	if t.rackWait == nil {
		t.rackWait = &rackWait{limit: c.latest.Sub(c.now), ended: true}
	}
	w := t.rackWait
	if w.ended {
		w.ended = false
		p.counts.rackWaits.Begun++
	}
	w.rack, w.until, w.latest, w.decided = rack, c.room, c.latest, c.now
	if !t.step.waited {
		t.step.waited = true
		p.onRackWait(w.describe(t))
	}
	t.step.awaiting++
	if t.step.awaiting == 1 {
		p.awaiting = append(p.awaiting, t.step)
	}
}

// describe returns the wait in the form for operators.
func (w *rackWait) describe(t *task) RackWait { return RackWait{t.name, w.rack, w.until, w.latest} }

// resetWaits adds the time since the last plan to the waits that it chose, and forgets them. Between two plans that let a
// task wait there may be some that find no room for it anywhere; that time isn't its choice and doesn't count.
func (p *Pool) resetWaits(now time.Time) {
	for _, s := range p.awaiting {
		s.awaiting = 0
		for _, t := range s.tasks {
			if w := t.rackWait; w != nil && !w.ended && w.decided.Equal(p.plannedAt) {
				w.waited += now.Sub(w.decided)
			}
		}
	}
	p.awaiting = p.awaiting[:0]
	p.plannedAt = now
}

// endWait records the end of a task's wait: a start is ordered.
func (p *Pool) endWait(run *taskRun) {
	w := run.task.rackWait
	if w == nil || w.ended {
		return
	}
	w.ended = true
	p.counts.rackWaits.Waited += w.waited
	if p.isRemote(run) {
		p.counts.rackWaits.Elsewhere++
	} else {
		p.counts.rackWaits.InPlace++
	}
}

// RackWaits returns the tasks of a job that the last plan let wait for a rack.
func (p *Pool) RackWaits(id work.ID) []RackWait {
	var list []RackWait
	for _, s := range p.awaiting {
		if s.job.id != id || s.job.state.Final() {
			continue
		}
		for _, t := range s.tasks {
			if w := t.rackWait; w != nil && !w.ended && w.decided.Equal(p.plannedAt) && !t.done && len(t.runs) == 0 {
				list = append(list, w.describe(t))
			}
		}
	}
	return list
}
