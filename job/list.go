package job

import (
	"slices"
	"time"

	"gypsumlead/backing"
)

// list takes in the platform's list of workers, which lags: a worker is silent when it lags
// behind the others, not behind the holder's clock, so that an old list makes nobody silent.
func (p *Pool) list(ws []backing.Worker, now time.Time) error {
	newest := time.Time{}
	listed := make(map[string]bool, len(ws))
	for _, in := range ws {
		if in.Seen.After(newest) {
			newest = in.Seen
		}
		if w := p.byID[in.ID]; w != nil {
			listed[in.ID] = true
			if err := p.see(w, in, now); err != nil {
				return err
			}
		}
	}
	p.total = Amount{}
	p.workers = slices.DeleteFunc(p.workers, func(w *Worker) bool {
		idle := !w.member && len(w.tasks) == 0
		if idle {
			delete(p.byID, w.ID)
		}
		return idle
	})
	for _, w := range p.workers {
		w.stale = newest.Sub(w.Seen) > p.policy.Stale
		w.silent = !listed[w.ID] || w.State == backing.StateGone || newest.Sub(w.Seen) > p.policy.Silent
		if w.member {
			p.total = p.total.plus(w.total)
		}
		if err := p.checkSilence(w, now); err != nil {
			return err
		}
	}
	p.shape()
	return nil
}

// see takes in one row of the list unless a newer one was seen.
func (p *Pool) see(w *Worker, in backing.Worker, now time.Time) error {
	if in.Seen.Before(w.Seen) {
		return nil
	}
	rebooted := w.Boot != in.Boot
	if rebooted && w.Boot != "" && w.bad.Health == Quarantine {
		w.bad.Until = now // a new boot may have mended it
	}
	w.Worker = in
	w.present = in.State == backing.StateLive
	if rebooted {
		w.strikes = nil
		w.total = amountOf(in.Total)
	}
	for _, t := range slices.Clone(w.tasks) {
		if t.Boot == in.Boot || !in.Seen.After(t.Seen) {
			continue
		}
		if t.State != Lost {
			if err := p.move(t, Silence, now); err != nil {
				return err
			}
		}
		t.Until, t.Why = now.Add(-p.policy.Margin-1), "the worker was rebooted"
	}
	if !w.member || in.State == backing.StateLeaving {
		return p.vacate(w, now)
	}
	return nil
}

// vacate checkpoints what can be checkpointed on a worker that leaves; the rest may finish.
func (p *Pool) vacate(w *Worker, now time.Time) error {
	for _, t := range slices.Clone(w.tasks) {
		if !t.State.runs() || !t.job.Spec.Save {
			continue
		}
		t.Why = "the worker leaves"
		if err := p.move(t, Save, now); err != nil {
			return err
		}
		p.noteJob(t.job, "save", t.Why, now, "task", t.ID(), "worker", w.ID)
	}
	return nil
}

// checkSilence marks the tries of a silent worker as lost: their leases aren't renewed, and
// nothing else is started for them until the leases have ended.
func (p *Pool) checkSilence(w *Worker, now time.Time) error {
	if !w.silent {
		return nil
	}
	for _, t := range slices.Clone(w.tasks) {
		if t.State == Lost {
			continue
		}
		if p.policy.NoLapse {
			if err := p.cutOff(t, "the worker is silent", now); err != nil {
				return err
			}
			continue
		}
		t.Until = p.until
		if err := p.move(t, Silence, now); err != nil {
			return err
		}
	}
	return nil
}

// cutOff ends a try that was neither done nor failed; what follows depends on the job.
func (p *Pool) cutOff(t *Task, why string, now time.Time) error {
	p.stats.Wasted += t.lostWork(now)
	return p.follow(t, why, t.isRepeatable(), now)
}

// follow decides whether another try may follow one that has ended.
func (p *Pool) follow(t *Task, why string, repeat bool, now time.Time) error {
	j := t.job
	ends := j.Phase != Open && j.Phase != Refused
	if !ends && t.Index < j.Spec.Count && repeat && t.Try < p.policy.Tries && t.Fails < p.policy.Fails {
		return p.move(t, End, now)
	}
	if !ends {
		p.noteJob(j, "drop", why, now, "task", t.ID(), "tries", t.Try, "fails", t.Fails, "repeatable", t.isRepeatable())
	}
	t.Why = why
	return p.move(t, Drop, now)
}
