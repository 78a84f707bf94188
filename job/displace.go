package job

import (
	"cmp"
	"slices"
	"time"

	"gypsumlead/audit"
)

const planTime = 5 * time.Second // room that is made on a worker is kept for so long

// level is how far a displacement goes.
type level int

const (
	levelThrottle level = iota // slow tasks down
	levelSave                  // checkpoint as well
	levelStop                  // stop as well
	levelCount
)

// victim is a task that is to make room.
type victim struct {
	task *Task
	in   Input
	gain Amount
	cost float64 // core-seconds that are lost
}

// rivals says whose tasks may be displaced. While urgent work is within its share these are the
// less urgent jobs; above it, room is only taken from urgent jobs that hold many more tasks, so
// that a flood of urgent work doesn't keep a smaller urgent job out.
type rivals struct {
	above bool
	held  int // tasks that the job would hold
}

// rivalFactor is how many times the tasks of the job a rival holds at least.
const rivalFactor = 2

func (r rivals) include(j *Job) bool {
	if r.above {
		return j.Urgent && j.held >= rivalFactor*r.held
	}
	return !j.Urgent
}

// displace makes room for urgent tasks that found none: it throttles, else checkpoints, else stops
// less urgent tasks, with the least work lost.
func (p *Pool) displace(s *pass) error {
	if p.policy.NoDisplace {
		return nil
	}
	p.dropPlans()
	plans := p.policy.Plans
	for _, j := range s.wants {
		missing := j.pending() - p.planned(j)
		for ; missing > 0 && plans > 0; missing-- {
			ok, err := p.makeRoom(s, j)
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			plans--
		}
	}
	return nil
}

// dropPlans gives up plans that came to nothing: no victim is left to wait for, and still the task
// wasn't placed. Another plan is made in the same pass.
func (p *Pool) dropPlans() {
	for _, w := range p.workers {
		if w.plan.job == nil || w.plan.kept {
			continue
		}
		if !w.takes(w.plan.job) || !w.isClearing() {
			w.plan = plan{}
		}
	}
}

// planned returns for how many tasks of j room is being made.
func (p *Pool) planned(j *Job) int {
	n := 0
	for _, w := range p.workers {
		if w.plan.job == j {
			n += w.plan.tasks
		}
	}
	return n
}

// makeRoom plans room for one task of j on the worker where it costs the least.
func (p *Pool) makeRoom(s *pass, j *Job) (bool, error) {
	need := p.need(j, s.largest)
	n := int64(p.planned(j) + 1)
	ahead := Amount{Milli: need.Milli * n, Memory: need.Memory * n, Accels: need.Accels * n}
	if !p.team(j.Team).used.plus(ahead).within(p.team(j.Team).quota) {
		return false, nil
	}
	from := rivals{above: p.isAbove(s, ahead), held: j.held + int(n)}
	for l := levelThrottle; l < levelCount; l++ {
		w, vs := p.cheapest(s, j, need, l, from)
		if w == nil {
			continue
		}
		return true, p.evict(s, j, w, vs)
	}
	return false, nil
}

func (p *Pool) cheapest(s *pass, j *Job, need Amount, l level, from rivals) (*Worker, []victim) {
	var best *Worker
	var victims []victim
	least := 0.0
	for _, w := range p.workers {
		if !w.takes(j) || w.plan.job != nil && !w.plan.kept || j.racks[w.Rack] >= j.rackLimit() {
			continue
		}
		vs, cost, ok := p.victimsOn(w, need, l, from, s.now)
		if ok && (best == nil || cost < least) {
			best, victims, least = w, vs, cost
		}
	}
	return best, victims
}

// victimsOn returns the tasks to displace on the worker so that need fits, cheapest first.
func (p *Pool) victimsOn(w *Worker, need Amount, l level, from rivals, now time.Time) ([]victim, float64, bool) {
	free := w.free()
	all := make([]victim, 0, len(w.tasks))
	coming := Amount{}
	for _, t := range w.tasks {
		if t.State == Saving || t.State == Stopping {
			coming = coming.plus(t.Size)
			continue
		}
		if !from.include(t.job) {
			continue
		}
		if v, ok := p.victim(t, l, now); ok {
			all = append(all, v)
		}
	}
	free = free.plus(coming)
	slices.SortStableFunc(all, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	var vs []victim
	cost := 0.0
	for _, v := range all {
		if need.within(free) || len(vs) == p.policy.Victims {
			break
		}
		if !helps(v.gain, need, free) {
			continue
		}
		vs = append(vs, v)
		free = free.plus(v.gain)
		cost += v.cost
	}
	return vs, cost, need.within(free)
}

// helps tells whether gain is in a resource that is missing.
func helps(gain, need, free Amount) bool {
	return gain.Milli > 0 && need.Milli > free.Milli ||
		gain.Memory > 0 && need.Memory > free.Memory ||
		gain.Accels > 0 && need.Accels > free.Accels
}

// victim returns how the task could make room at the level.
func (p *Pool) victim(t *Task, l level, now time.Time) (victim, bool) {
	j := t.job
	if !t.State.runs() || !t.live.started || t.Stops >= p.policy.Stops {
		return victim{}, false
	}
	if l == levelThrottle {
		gain := Amount{Milli: t.Size.Milli - int64(float64(t.Size.Milli)*p.policy.Throttled)}
		return victim{task: t, in: Throttle, gain: gain, cost: float64(gain.Milli) / milli}, t.State == Live
	}
	if j.Spec.Save {
		return victim{task: t, in: Save, gain: t.Size, cost: float64(t.Size.Milli) / milli}, true
	}
	return victim{task: t, in: Stop, gain: t.Size, cost: p.stopCost(t, now)}, l == levelStop && j.Spec.Restart && t.Try < p.policy.Tries
}

// stopCost is the work that is lost, weighed up to twice for a task that is about to end.
func (p *Pool) stopCost(t *Task, now time.Time) float64 {
	j := t.job
	whole := j.Estimate.lasting(j.Spec.Time.Duration(), &p.team(j.Team).prior)
	return t.lostWork(now) * (1 + min(part(int64(now.Sub(t.Began)), int64(whole)), 1))
}

// evict carries a plan out and keeps the room for j.
func (p *Pool) evict(s *pass, j *Job, w *Worker, vs []victim) error {
	w.plan = plan{job: j, tasks: 1, until: s.now.Add(planTime)}
	for _, v := range vs {
		t := v.task
		t.Why = "room for urgent job " + j.Name
		if v.in != Throttle {
			t.Stops++
		}
		if v.in == Stop {
			p.stats.Stopped++
		}
		p.stats.Displaced++
		if err := p.move(t, v.in, s.now); err != nil {
			return err
		}
		subjects := []audit.Subject{{Kind: "job", Name: t.job.Name}, {Kind: "job", Name: j.Name}}
		p.note(t.job.Name, string(v.in), t.Why, s.now, nil, subjects,
			audit.Facts("task", t.ID(), "worker", w.ID, "lost", int(v.cost), "urgency", t.job.Spec.Urgency, "displaced", t.Stops))
	}
	return nil
}

// overdue stops tasks that were to be checkpointed and aren't reported off their workers in time;
// a stop is acknowledged at once, and leaves a checkpoint that is written by then in force.
func (p *Pool) overdue(now time.Time) error {
	for _, w := range p.workers {
		for _, t := range slices.Clone(w.tasks) {
			if t.State != Saving || now.Sub(t.live.since) < p.policy.SaveWait || w.plan.job == nil {
				continue
			}
			if err := p.move(t, Stop, now); err != nil {
				return err
			}
		}
	}
	return nil
}
