package job

import (
	"slices"
	"time"
)

// Settle ends tries whose end is proved by time, and shrinks what is guaranteed beyond need.
// What it frees is committed before Decide gives it to others.
func (p *Pool) Settle(now time.Time) error {
	p.now = now
	for _, w := range p.workers {
		for _, t := range slices.Clone(w.tasks) {
			if err := p.lapse(t, now); err != nil {
				return err
			}
		}
	}
	for _, j := range p.jobs {
		if err := p.settleOff(j, now); err != nil {
			return err
		}
		p.shrink(j)
	}
	p.settleTeams()
	return nil
}

// lapse ends a lost try when its lease has ended on every clock; its worker's last reports are
// read before, for they may say that it was done.
func (p *Pool) lapse(t *Task, now time.Time) error {
	if t.State != Lost || !now.After(t.Until.Add(p.policy.Margin)) {
		return nil
	}
	if w := p.byID[t.Worker]; !w.read.After(t.live.since) && now.Sub(t.live.since) < p.policy.Verdict {
		return nil
	}
	return p.cutOff(t, whyOr(t, "its lease ended on a silent worker"), now)
}

// settleOff gives up waiting for the last report of a task that was stopped.
func (p *Pool) settleOff(j *Job, now time.Time) error {
	if j.off == 0 {
		return nil
	}
	for _, n := range j.order {
		for _, t := range slices.Clone(j.chunks[n].Tasks) {
			if t.State != Off || now.Sub(t.live.since) < p.policy.Verdict {
				continue
			}
			if err := p.cutOff(t, whyOr(t, "stopped"), now); err != nil {
				return err
			}
		}
	}
	return nil
}

// shrinkFrom is the part of the guaranteed size under which a smaller estimate is put in force;
// the gap keeps rows from being rewritten for every sample.
const shrinkFrom = 0.85

// shrink lowers the guarantees of a job's running tasks to its estimate.
func (p *Pool) shrink(j *Job) {
	if p.policy.Declared || j.held == 0 || len(j.Estimate.Memory.Ratios) < p.policy.BadWorkers || j.shrunk == j.guess {
		return
	}
	j.shrunk = j.guess
	for _, n := range j.order {
		for _, t := range j.chunks[n].Tasks {
			if t.State != Live {
				continue
			}
			to := Amount{
				Milli:  lower(t.Size.Milli, j.guess.Milli, t.live.peak.Milli),
				Memory: lower(t.Size.Memory, j.guess.Memory, t.live.peak.Memory),
				Accels: t.Size.Accels,
			}
			if to != t.Size {
				p.resize(t, to)
			}
		}
	}
}

// lower returns the smaller guarantee that the estimate allows, but not less than was measured.
func lower(have, guess, peak int64) int64 {
	to := max(guess, peak)
	if float64(to) < shrinkFrom*float64(have) {
		return to
	}
	return have
}

// settleTeams lets a team's bound follow a cut quota down as its tasks end.
func (p *Pool) settleTeams() {
	for _, t := range p.teams {
		t.limit = t.quota.most(t.used)
	}
}
