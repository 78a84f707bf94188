package job

import (
	"slices"
	"time"
)

const (
	growPause = 15 * time.Second // between two tasks displaced on a worker for estimates that grow
	crowdedAt = 0.97             // part of a worker's memory in use at which tasks are displaced
)

// grow raises the guarantees of tasks that use more; where a worker's memory doesn't allow it
// and is nearly used up, one task of the least urgent is displaced at a time.
func (p *Pool) grow(now time.Time) error {
	if p.policy.Declared {
		return nil
	}
	for _, w := range p.workers {
		if err := p.growOn(w, now); err != nil {
			return err
		}
	}
	return nil
}

func (p *Pool) growOn(w *Worker, now time.Time) error {
	if w.plan.job != nil && !w.plan.kept {
		return nil // the room is meant for an urgent task
	}
	measured := w.foreign.Memory
	over := false
	for _, t := range slices.Clone(w.tasks) {
		measured += max(t.live.peak.Memory, 0)
		if t.State.runs() && t.live.peak.Memory > t.Size.Memory {
			p.sample(t)
			over = !p.raise(t, w) || over
		}
	}
	if !over || float64(measured) < crowdedAt*float64(w.total.Memory) || now.Sub(w.victim) < growPause {
		return nil
	}
	return p.shed(w, now)
}

// raise guarantees the task what it uses and a margin, as far as worker and quota allow.
func (p *Pool) raise(t *Task, w *Worker) bool {
	tm := p.team(t.job.Team)
	room := min(w.free().Memory, tm.quota.Memory-tm.used.Memory)
	want := int64(float64(t.live.peak.Memory) * p.policy.Margins)
	to := t.Size
	to.Memory = min(want, t.Size.Memory+max(room, 0))
	if to.Memory > t.Size.Memory {
		p.resize(t, to)
	}
	return t.Size.Memory >= t.live.peak.Memory
}

// shed displaces the task of the least urgency, and of these the one with the least work lost.
func (p *Pool) shed(w *Worker, now time.Time) error {
	var least *Task
	for _, t := range w.tasks {
		if !t.State.runs() || !t.live.started || !t.isRepeatable() || t.Stops >= p.policy.Stops || t.Try >= p.policy.Tries {
			continue
		}
		if least == nil || t.job.Spec.Urgency < least.job.Spec.Urgency ||
			t.job.Spec.Urgency == least.job.Spec.Urgency && t.lostWork(now) < least.lostWork(now) {
			least = t
		}
	}
	if least == nil {
		return nil
	}
	w.victim = now
	in := Stop
	if least.job.Spec.Save {
		in = Save
	} else {
		p.stats.Stopped++
	}
	p.stats.Shed++
	least.Stops++
	least.Why = "the worker's memory is used up"
	p.noteJob(least.job, string(in), least.Why, now, "task", least.ID(), "worker", w.ID, "used", least.live.peak, "size", least.Size)
	return p.move(least, in, now)
}
