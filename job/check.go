package job

import (
	"gypsumlead/fault"
)

// Check returns a fault.Breach if an invariant of the pool doesn't hold: guaranteed sizes within
// each worker's total, teams within their bounds, one try a task, and bounded tries.
func (p *Pool) Check() error {
	teams := map[string]Amount{}
	for _, w := range p.workers {
		if err := p.checkWorker(w, teams); err != nil {
			return err
		}
	}
	for name, t := range p.teams {
		if t.used != teams[name] {
			return fault.New(fault.Breach, "pool %s: team %s holds %s, its tasks hold %s", p.name, name, t.used, teams[name])
		}
		if !t.used.within(t.limit.most(t.quota)) {
			return fault.New(fault.Breach, "pool %s: team %s holds %s, more than %s", p.name, name, t.used, t.limit)
		}
	}
	return nil
}

func (p *Pool) checkWorker(w *Worker, teams map[string]Amount) error {
	sum := Amount{}
	for _, t := range w.tasks {
		if t.Worker != w.ID || !t.State.holds() || p.tries[t.ID()] != t {
			return fault.New(fault.Breach, "pool %s: task %s in state %s stands on worker %s", p.name, t.ID(), t.State, w.ID)
		}
		if t.Try > p.policy.Tries || t.Fails > p.policy.Fails {
			return fault.New(fault.Breach, "pool %s: task %s has try %d and %d failures", p.name, t.ID(), t.Try, t.Fails)
		}
		sum = sum.plus(t.Size)
		teams[t.job.Team] = teams[t.job.Team].plus(t.Size)
	}
	if sum != w.used {
		return fault.New(fault.Breach, "pool %s: worker %s holds %s, its tasks hold %s", p.name, w.ID, w.used, sum)
	}
	if w.total != (Amount{}) && !sum.within(w.total) {
		return fault.New(fault.Breach, "pool %s: worker %s has %s, its tasks are guaranteed %s", p.name, w.ID, w.total, sum)
	}
	return nil
}
