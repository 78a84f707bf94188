package job

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"gypsumlead/audit"
)

const (
	reserveParts = 8   // at most one worker of so many is kept free for tasks that waited long
	spreadWeight = 0.3 // of a rack that holds many of the job's tasks
	accelWeight  = 0.5 // of taking a worker with free accelerators for a task that needs none
)

// Decide starts what can be started, makes room for urgent work, and moves the leases' end.
func (p *Pool) Decide(now time.Time) error {
	p.now = now
	p.releaseWorkers(now)
	if err := p.judge(now); err != nil {
		return err
	}
	if err := p.admit(now); err != nil {
		return err
	}
	if err := p.grow(now); err != nil {
		return err
	}
	if err := p.overdue(now); err != nil {
		return err
	}
	if err := p.place(now); err != nil {
		return err
	}
	p.extend(now)
	return p.Check()
}

// extend moves the end of all leases; a try whose worker was told of the old end is renewed.
func (p *Pool) extend(now time.Time) {
	if now.Add(p.policy.Lease - p.policy.Renew).Before(p.until) {
		return
	}
	p.until = now.Add(p.policy.Lease)
	p.changes.pool = true
}

// pass is one run over the waiting tasks.
type pass struct {
	now     time.Time
	left    int  // starts that are left
	lent    bool // urgent work above its share takes what others left
	kept    int  // workers kept free for tasks that waited long
	largest Amount
	total   Amount
	misses  []Amount // sizes that no worker has room for
	placed  map[*Job][]string
	wants   []*Job // urgent jobs that found no room
}

// place goes through the urgencies from the highest; within one, the team that holds the least
// part of its quota goes first.
func (p *Pool) place(now time.Time) error {
	s := &pass{now: now, left: p.policy.Starts, placed: map[*Job][]string{}, total: p.total}
	for _, w := range p.workers {
		if w.member {
			s.largest = s.largest.most(w.total)
		}
		if now.After(w.plan.until) || w.plan.job != nil && w.plan.job.pending() == 0 {
			w.plan = plan{}
		}
		if w.plan.kept {
			s.kept++
		}
	}
	for _, lent := range []bool{false, true} {
		s.lent = lent
		for _, level := range p.levels() {
			if lent && !level[0].Urgent {
				continue
			}
			if err := p.placeLevel(s, level); err != nil {
				return err
			}
		}
	}
	p.notePlaced(s)
	return p.displace(s)
}

// levels returns the jobs with waiting tasks by urgency, highest first, older jobs first.
func (p *Pool) levels() [][]*Job {
	var js []*Job
	for _, j := range p.jobs {
		if j.pending() > 0 {
			js = append(js, j)
		}
	}
	slices.SortStableFunc(js, func(a, b *Job) int { return cmp.Compare(b.Spec.Urgency, a.Spec.Urgency) })
	var out [][]*Job
	for i, j := range js {
		if i == 0 || j.Spec.Urgency != js[i-1].Spec.Urgency {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], j)
	}
	return out
}

// placeNext starts the job's next task, or tells that the job gets nothing more in this pass.
func (p *Pool) placeNext(s *pass, j *Job) (bool, error) {
	if j.peek(s.now) == nil || !j.isKnown() && !p.isUrgent(j) && j.held >= p.policy.Canary {
		return false, nil
	}
	need := p.need(j, s.largest)
	if !p.team(j.Team).allows(need) {
		p.stick(j, "quota", s.now)
		return false, nil
	}
	if j.Urgent && s.lent != p.isAbove(s, need) && p.planned(j) == 0 {
		if !s.lent {
			s.wants = append(s.wants, j)
		}
		return false, nil
	}
	w := p.pick(s, j, need)
	if w == nil {
		p.stick(j, "room", s.now)
		p.reserve(s, j, need)
		if j.Urgent && !s.lent {
			s.wants = append(s.wants, j)
		}
		return false, nil
	}
	return true, p.start(s, j, w, need)
}

// isAbove tells whether one more task of the size brings urgent work above its share of the pool.
func (p *Pool) isAbove(s *pass, need Amount) bool {
	return p.urgent.plus(need).share(s.total) > p.policy.UrgentShare
}

// allows tells whether the team's quota has room for one more task.
func (t *team) allows(need Amount) bool {
	return t.has && t.used.plus(need).within(t.quota)
}

// stick records once why a job's tasks wait.
func (p *Pool) stick(j *Job, why string, now time.Time) {
	if j.stuck == why {
		return
	}
	j.stuck, j.stuckAt = why, now
	p.noteJob(j, "wait", "its tasks wait for "+why, now, "waiting", j.pending(), "running", j.held, "size", j.guess, "team", p.team(j.Team).used)
	p.changes.touch(j)
}

// pick returns the worker that the task fits best, with its job spread over racks.
func (p *Pool) pick(s *pass, j *Job, need Amount) *Worker {
	for _, m := range s.misses {
		if m.within(need) {
			return nil
		}
	}
	t := j.peek(s.now)
	var best, second *Worker
	score := 0.0
	tight := true // no rule of the job's own kept it off a worker
	for _, w := range p.workers {
		if !w.takes(j) || !p.hasRoom(w, j, need) {
			continue
		}
		if j.racks[w.Rack] >= j.rackLimit() || w.plan.bars(j) {
			tight = false
			continue
		}
		if slices.Contains(t.Avoid, w.ID) {
			second = w
			continue
		}
		if p.policy.FirstFit {
			return w
		}
		if c := p.score(w, j, need); best == nil || c < score {
			best, score = w, c
		}
	}
	if best == nil {
		best = second
	}
	if best == nil && tight {
		s.misses = append(s.misses, need)
	}
	return best
}

// bars tells whether room on the worker is being made for another job that goes before j.
func (l *plan) bars(j *Job) bool {
	return l.job != nil && l.job != j && l.job.Spec.Urgency >= j.Spec.Urgency
}

// hasRoom keeps some memory free for estimates that grow, but not from urgent tasks, whose room
// is made without it, nor from a task that needs the worker whole.
func (p *Pool) hasRoom(w *Worker, j *Job, need Amount) bool {
	if !need.within(w.free()) {
		return false
	}
	if p.policy.Declared || j.Urgent || len(w.tasks) == 0 {
		return true
	}
	spare := int64(float64(w.total.Memory) * p.policy.Headroom)
	return need.Memory <= w.free().Memory-spare
}

// score is lower the less is left over on the worker, and the fewer of the job's tasks are in its rack.
func (p *Pool) score(w *Worker, j *Job, need Amount) float64 {
	left := w.free().minus(need)
	c := part(left.Milli, w.total.Milli) + part(left.Memory, w.total.Memory)
	if need.Accels == 0 && left.Accels > 0 {
		c += accelWeight
	}
	return c + spreadWeight*float64(j.racks[w.Rack])/float64(j.held+1)
}

// start decides on a try of the job's next task.
func (p *Pool) start(s *pass, j *Job, w *Worker, need Amount) error {
	t := j.next(s.now)
	t.Try++
	t.name()
	t.Worker, t.Boot, t.Seen, t.Began, t.Size = w.ID, w.Boot, w.Seen, s.now, need
	t.live = volatile{fresh: true, since: s.now}
	p.tries[t.ID()] = t
	if err := p.move(t, Place, s.now); err != nil {
		return err
	}
	p.hold(t, w)
	if w.plan.job == j {
		w.plan.tasks--
		if w.plan.tasks <= 0 {
			w.plan = plan{}
		}
	}
	if j.First.IsZero() {
		j.First, j.dirty = s.now, true
	}
	j.stuck = ""
	s.left--
	s.placed[j] = append(s.placed[j], fmt.Sprintf("%d@%s", t.Index, w.ID))
	p.stats.Started++
	return nil
}

// notePlaced adds one entry a job, which bounds the rows that a flood of tasks writes.
func (p *Pool) notePlaced(s *pass) {
	for _, j := range p.jobs {
		if list := s.placed[j]; list != nil {
			tm := p.team(j.Team)
			p.note(j.Name, "place", "room and quota for its tasks", s.now, nil, []audit.Subject{{Kind: "job", Name: j.Name}},
				audit.Facts("tasks", strings.Join(list, " "), "size", j.guess, "declared", j.Declared, "urgency", j.Spec.Urgency,
					"samples", len(j.Estimate.Memory.Ratios), "team", tm.used, "quota", tm.quota))
		}
	}
}
