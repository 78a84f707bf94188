package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumlead/work"
)

// minKnownPercent is the reported progress from which a run's end is projected from its own rate. One report of less may
// be rounding.
const minKnownPercent = 5

// roomChange is a change of a runner's free room at a projected time.
type roomChange struct {
	at     time.Time
	change work.Resources
}

// projection is the projected free room of one runner: what is free now, and how that changes.
type projection struct {
	runner  *runner
	free    work.Resources
	changes []roomChange // by time
}

// add inserts a change at its time.
func (pr *projection) add(at time.Time, change work.Resources) {
	i, _ := slices.BinarySearchFunc(pr.changes, at, func(c roomChange, at time.Time) int {
		if c.at.After(at) {
			return 1
		}
		return -1
	})
	pr.changes = slices.Insert(pr.changes, i, roomChange{at, change})
}

// occupy takes room from one time to another.
func (pr *projection) occupy(now, from, until time.Time, need work.Resources) {
	if from.After(now) {
		pr.add(from, work.Resources{}.Sub(need))
	} else {
		pr.free = pr.free.Sub(need)
	}
	pr.add(until, need)
}

// earliest returns the first time at which need fits for the given duration. It returns false if it never does.
func (pr *projection) earliest(now time.Time, need work.Resources, d time.Duration) (time.Time, bool) {
	free, from, fits := pr.free, now, need.Fits(pr.free)
	for _, c := range pr.changes {
		if fits && !c.at.Before(from.Add(d)) {
			return from, true
		}
		free = free.Add(c.change)
		if now := need.Fits(free); now != fits {
			fits, from = now, c.at
		}
	}
	return from, fits
}

// roomBound states that need doesn't fit into a rack for the given duration before a time; at is zero if it never does.
type roomBound struct {
	need work.Resources
	d    time.Duration
	at   time.Time
}

// rackOutlook is the projected free room of the runners of one rack.
type rackOutlook struct {
	projections []*projection // by runner ID
	bounds      []roomBound
}

// bound returns a time before which need certainly doesn't fit for the duration, and false if it never does. The zero time
// means that nothing is known.
func (o *rackOutlook) bound(need work.Resources, d time.Duration) (time.Time, bool) {
	var at time.Time
	for _, b := range o.bounds {
		if !b.need.Fits(need) || b.d > d {
			continue
		}
		if b.at.IsZero() {
			return time.Time{}, false
		}
		at = later(at, b.at)
	}
	return at, true
}

// setBound adds a bound, or replaces an earlier one for the same need.
func (o *rackOutlook) setBound(b roomBound) {
	i := slices.IndexFunc(o.bounds, func(c roomBound) bool { return c.need == b.need && c.d == b.d })
	if i < 0 {
		o.bounds = append(o.bounds, b)
		return
	}
	o.bounds[i] = b
}

// outlook is the projected room of the racks that steps wait for in one plan. Room that a waiting task counts on is taken
// from it, so that two tasks don't count on the same end of a run.
type outlook struct {
	racks   map[string]*rackOutlook
	terms   map[*step]rackChoice
	crowded bool // more work waits than the pool has room for
}

// prepareOutlook starts the outlook of a plan. It has none if no candidate prefers a rack or tasks aren't slower away
// from theirs, or if the store's state decides where tasks may start.
func (p *Pool) prepareOutlook(now time.Time, list []candidate) {
	p.outlook = nil
	if !p.waitsForRacks() || !p.storeAvailable || !slices.ContainsFunc(list, func(c candidate) bool { return c.step.prefersRack() }) {
		return
	}
	p.outlook = &outlook{racks: map[string]*rackOutlook{}, terms: map[*step]rackChoice{}}
	var need, free int64
	for _, c := range list {
		if !c.step.spec.BestEffort {
			need += int64(c.step.waiting) * c.step.spec.Resources.CPU
		}
	}
	for _, r := range p.runners {
		if r.schedulable(now) {
			free += max(0, r.free().CPU)
		}
	}
	p.outlook.crowded = need > free
}

// rackOutlook returns the projected room of a rack. It is computed at most once in a plan.
func (p *Pool) rackOutlook(now time.Time, rack string) *rackOutlook {
	o, ok := p.outlook.racks[rack]
	if ok {
		return o
	}
	o = &rackOutlook{}
	for _, r := range p.runners {
		if r.rack() != rack || !r.schedulable(now) || r.maintenanceDue || r.health.suspect() {
			continue
		}
		pr := &projection{runner: r, free: r.free()}
		for run := range r.runs {
			if end, ok := p.expectedEnd(now, run); ok {
				pr.changes = append(pr.changes, roomChange{end, run.task.step.spec.Occupied()})
			}
		}
		slices.SortFunc(pr.changes, func(a, b roomChange) int { return a.at.Compare(b.at) })
		o.projections = append(o.projections, pr)
	}
	slices.SortFunc(o.projections, func(a, b *projection) int { return cmp.Compare(a.runner.ID, b.runner.ID) })
	p.outlook.racks[rack] = o
	return o
}

// projectRun updates the outlook with a run that was planned in this plan, or that was planned and taken back.
func (p *Pool) projectRun(now time.Time, run *taskRun, takenBack bool) {
	if p.outlook == nil {
		return
	}
	o, ok := p.outlook.racks[run.runner.rack()]
	if !ok {
		return
	}
	i := slices.IndexFunc(o.projections, func(pr *projection) bool { return pr.runner == run.runner })
	if i < 0 {
		return
	}
	need := run.task.step.spec.Occupied()
	if takenBack {
		need = work.Resources{}.Sub(need)
		o.bounds = nil
	}
	pr := o.projections[i]
	pr.free = pr.free.Sub(need)
	if end, ok := p.expectedEnd(now, run); ok {
		pr.add(end, need)
	}
}

// expectedEnd returns when a run is expected to end. It returns false for one that isn't expected to.
func (p *Pool) expectedEnd(now time.Time, run *taskRun) (time.Time, bool) {
	s := run.task.step
	if run.phase == stopping {
		return now.Add(p.stopTime), true
	}
	if s.spec.LongRunning || s.spec.BestEffort {
		return time.Time{}, false
	}
	expected := p.expectedRunTime(s)
	if p.isRemote(run) {
		expected = scale(expected, p.remoteFactor)
	}
	if run.confirmedAt.IsZero() {
		return now.Add(expected), true
	}
	if remaining, ok := run.remainingByProgress(); ok {
		return later(now, run.runner.polledAt.Add(remaining)), true
	}
	if end := run.confirmedAt.Add(expected); end.After(now) {
		return end, true
	}
	// It has taken longer than expected and reports no progress; the longer that is so, the longer it may still take.
	return now.Add(now.Sub(run.confirmedAt) / 2), true
}

// remainingByProgress returns the remaining time of a run as of its runner's last poll, by its own rate of progress.
func (r *taskRun) remainingByProgress() (time.Duration, bool) {
	elapsed := r.runner.polledAt.Sub(r.confirmedAt)
	if r.percent < minKnownPercent || elapsed <= 0 {
		return 0, false
	}
	return time.Duration(float64(elapsed) / float64(r.percent) * float64(max(0, 100-r.percent))), true
}

// expectedRunTime returns the expected time of a run of the step in its preferred place: the mean of its tasks that were
// timed, else the declared time by the queue's ratio.
func (p *Pool) expectedRunTime(s *step) time.Duration {
	if s.timedTasks > 0 {
		return s.totalRunTime / time.Duration(s.timedTasks)
	}
	return p.estimateRatios[s.job.queue.Name].expected(s.spec.Estimate)
}

// scale multiplies a duration by a factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
