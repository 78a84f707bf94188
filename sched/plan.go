package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumlead/work"
)

// reserveMost is how many tasks that fit nowhere may keep a runner from those that come after them.
const reserveMost = 2

// Plan returns the orders that follow from what is known; wall is the time of day, by which turns are due.
// Unless the holder is sure that nobody else can have taken its place, nothing counts as ended because its
// runner is silent: a later holder may have gone on with it. Nor is anything started again whose run was
// given up meanwhile, or on a runner that has started anew: a later holder may have been there first.
func (p *Pool) Plan(now, wall time.Time, sure bool) []Order {
	p.orders = nil
	p.sure = sure
	if sure {
		p.dispelDoubts()
		p.expire(now)
	}
	p.judge(now)
	p.evacuate(now)
	p.endUnwanted(now)
	p.placeAll(now, wall)
	p.sendStops(now)
	p.paceAll(now)
	p.check(now)
	p.counts.count(p.orders)
	return p.orders
}

// dispelDoubts lets start again what was held back while the holder wasn't sure.
func (p *Pool) dispelDoubts() {
	for t := range p.doubts {
		t.doubt = false
	}
	clear(p.doubts)
	for _, r := range p.runners {
		r.doubt = false
	}
}

// endUnwanted marks the runs of final jobs and of tasks that are done.
func (p *Pool) endUnwanted(now time.Time) {
	for _, j := range p.live {
		final := j.state.Final()
		if !final {
			continue
		}
		j.each(func(t *task) {
			for _, x := range t.runs {
				x.stop("the job is " + string(j.state))
			}
		})
	}
	for _, r := range p.runners {
		for x := range r.runs {
			if x.task.done {
				x.stop("the task is done")
			}
		}
	}
	p.prune()
}

// sendStops orders the ends that are due, again where they weren't answered.
func (p *Pool) sendStops(now time.Time) {
	for _, r := range p.runners {
		for x := range r.runs {
			if x.phase != stopping || !x.stopped.IsZero() || now.Sub(x.asked) < resend {
				continue
			}
			x.asked = now
			p.orders = append(p.orders, Stop{r.to(), x.task.name, x.n, x.why})
		}
	}
	for s, asked := range p.strays {
		r, ok := p.runners[s.runner]
		if !ok {
			delete(p.strays, s)
			continue
		}
		if now.Sub(asked) < resend {
			continue
		}
		p.strays[s] = now
		p.orders = append(p.orders, Stop{r.to(), s.task, s.run, "nobody wants it"})
	}
}

// candidate is a step with tasks that could start.
type candidate struct {
	step  *step
	late  bool      // it can't be in time
	gives bool      // it can't be in time beside the others
	start time.Time // latest start by which it is placed
	stale bool      // even the late objective has passed
}

// candidates returns the steps with tasks to start, the most urgent first.
func (p *Pool) candidates(now, wall time.Time) []candidate {
	held := p.unresolved()
	p.measureRoom(now)
	var excess map[*turn]struct{}
	if p.way == Now {
		excess = p.overload(now, wall)
	}
	var list []candidate
	for _, j := range p.live {
		if j.state.Final() || (held && j.inherited) {
			continue
		}
		for _, t := range j.turns {
			_, gives := excess[t]
			for _, s := range t.steps {
				if s.wait > 0 && s.ready(wall) {
					start := p.latest(t, j)
					list = append(list, candidate{s, now.After(start), gives, start.Add(-p.passage(t, j)), p.stale(now, t, j)})
				}
			}
		}
	}
	if p.way == First {
		slices.SortStableFunc(list, firstCome)
		return list
	}
	slices.SortStableFunc(list, compare)
	return list
}

// compare orders by priority, then what lasts, then what can be in time, then by the latest start.
func compare(a, b candidate) int {
	x, y := a.step.job, b.step.job
	if c := cmp.Compare(x.queue.Priority, y.queue.Priority); c != 0 {
		return c
	}
	if c := cmp.Compare(rank(a), rank(b)); c != 0 {
		return c
	}
	return a.start.Compare(b.start)
}

// rank puts what fills behind all else, what is late behind what can be in time, and what is so late that it
// is of little use to its caller behind that.
func rank(c candidate) int {
	switch {
	case c.step.spec.Fills:
		return 4
	case c.step.spec.Lasts:
		return 0
	case c.stale:
		return 3
	case c.late || c.gives:
		return 2
	}
	return 1
}

// unresolved tells whether runs of an earlier holder may go on that we don't know of.
func (p *Pool) unresolved() bool {
	for _, r := range p.runners {
		if !r.resolved() {
			return true
		}
	}
	return false
}

// latest returns when the rest of a turn has to start to end within the job's objective.
func (p *Pool) latest(t *turn, j *job) time.Time {
	return p.objective(t, j).Add(-p.learned[j.queue.Name].of(t.rest()))
}

// passage returns the time that the work of a turn would take with the whole pool for itself: a wide job has
// to begin so much earlier than a narrow one of the same chain.
func (p *Pool) passage(t *turn, j *job) time.Duration {
	if p.room == 0 {
		return 0
	}
	alone := time.Duration(t.work() / float64(p.room) * float64(time.Second))
	return p.learned[j.queue.Name].of(alone)
}

// work returns the core time in thousandths of a core-second that isn't done of a turn, as declared.
func (t *turn) work() float64 {
	sum := 0.0
	for _, s := range t.steps {
		sum += float64(s.left) * float64(s.spec.Need.CPU) * s.spec.Estimate.Seconds()
	}
	return sum
}

// measureRoom notes how much room the runners that take work have for tasks that end.
func (p *Pool) measureRoom(now time.Time) {
	p.room = 0
	for _, r := range p.runners {
		if !r.takes(now) {
			continue
		}
		p.room += r.Room.CPU
		for x := range r.runs {
			if x.task.step.spec.Lasts {
				p.room -= x.task.step.spec.Need.CPU
			}
		}
	}
}

// since returns from when a turn's time counts: its acceptance, or when it is due.
func (j *job) since(t *turn) time.Time { return later(j.accepted, t.due) }

// objective returns until when a turn's work is in time.
func (p *Pool) objective(t *turn, j *job) time.Time {
	from := j.since(t)
	chain := p.learned[j.queue.Name].of(j.spec.Chain())
	return from.Add(time.Duration(j.queue.Slack*float64(chain)) + j.queue.Aim)
}

// lateFactor times a job's objective is how long its result is still of some use, from the callers' terms.
const lateFactor = 3

// stale tells whether even the late objective of a turn has passed.
func (p *Pool) stale(now time.Time, t *turn, j *job) bool {
	from := j.since(t)
	return now.Sub(from) > lateFactor*p.objective(t, j).Sub(from)
}

// placeAll starts what can start, the most urgent first.
func (p *Pool) placeAll(now, wall time.Time) {
	clear(p.reserved)
	p.tight = p.tight[:0]
	p.lowest = p.leastUrgent()
	blocked := 0
	for _, c := range p.candidates(now, wall) {
		if !p.approved(now, c.step) {
			continue
		}
		if p.placeStep(now, c.step) || c.step.spec.Fills {
			continue
		}
		p.displace(now, c.step)
		if blocked < reserveMost && p.reserve(now, c.step) {
			blocked++
		}
	}
}

// placeStep starts the step's tasks as far as there is room, and tells whether all have a run now.
func (p *Pool) placeStep(now time.Time, s *step) bool {
	if s.spec.Gang {
		return p.placeGang(now, s)
	}
	if !p.roomy(now, s.spec) {
		return false
	}
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || t.doubt {
			continue
		}
		r := p.choose(now, t)
		if r == nil {
			return false
		}
		p.startOn(now, t, r, p.number(t.last))
	}
	return true
}

// roomy tells whether any runner has room for a task of the step at all. Within a plan room only shrinks, so
// that what needs as much as something that found none needn't look: with a thousand jobs waiting for hundreds
// of runners a plan would take longer than the tasks.
func (p *Pool) roomy(now time.Time, s *work.Step) bool {
	if s.Fills {
		return p.roomFor(now, s)
	}
	for _, t := range p.tight {
		if t.Fits(s.Need) {
			return false
		}
	}
	if !p.roomFor(now, s) {
		p.tight = append(p.tight, s.Need)
		return false
	}
	return true
}

func (p *Pool) roomFor(now time.Time, s *work.Step) bool {
	for _, r := range p.runners {
		if r.takes(now) && (s.Fills || s.Need.Fits(r.free())) {
			return true
		}
	}
	return false
}

// number returns the number of the next run after last.
func (p *Pool) number(last int) int {
	return max(last, (p.term-1)*runsPerTerm) + 1
}

// startOn orders a run of a task.
func (p *Pool) startOn(now time.Time, t *task, r *runner, n int) {
	s := t.step
	x := &run{task: t, n: n, r: r, phase: sending, sent: now, pace: 100}
	t.add(x)
	p.start(now, s.job)
	o := Start{To: r.to(), Task: t.name, Run: n, Spec: s.job.spec.Spec}
	if s.spec.Saves {
		o.Saved = t.saved
	}
	if k, ok := s.tickets[r.ID]; ok {
		o.Ticket = k.text
	}
	p.orders = append(p.orders, o)
}

// reserve keeps the runner that will have room for the step first from what comes after it.
func (p *Pool) reserve(now time.Time, s *step) bool {
	var best *runner
	for _, r := range p.runners {
		if _, taken := p.reserved[r]; taken || !r.takes(now) || !s.spec.Need.Fits(r.Room) || !r.labelled(s.spec.Label) {
			continue
		}
		if best == nil || r.free().CPU > best.free().CPU {
			best = r
		}
	}
	if best == nil {
		return false
	}
	p.reserved[best] = struct{}{}
	return true
}
