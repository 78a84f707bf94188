package job

import (
	"slices"
	"time"

	"gypsumlead/audit"
	"gypsumlead/fault"
)

// whyDeleted marks jobs whose records were deleted; one of the same name is another job.
const whyDeleted = "the job's record is deleted"

// configure puts the accepted records in force; a wave of cancellations takes this one pass.
func (p *Pool) configure(v View, now time.Time) error {
	if v.Version < p.seen {
		return fault.New(fault.StoreDown, "pool %s: the configuration here has version %d, version %d was acted on", p.name, v.Version, p.seen)
	}
	if p.configured && v.Version == p.applied {
		p.forget()
		return nil
	}
	p.configured, p.applied = true, v.Version
	before := p.seen
	p.setMembers(v.Members)
	p.setTeams(v)
	for _, j := range p.jobs {
		j.here = false
	}
	for _, s := range v.Jobs {
		p.setJob(s, v.Version, now)
	}
	var cut []*Job
	for _, j := range p.jobs {
		if j.Phase != Open && j.Phase != Refused {
			continue
		}
		if !j.here || j.Spec.Cancelled {
			cut = append(cut, j)
		}
	}
	for _, j := range cut {
		p.seen = v.Version
		why := "the job is cancelled"
		if !j.here {
			why = whyDeleted
		}
		if err := p.close(j, Cancelled, why, now); err != nil {
			return err
		}
	}
	p.forget()
	if p.seen != before {
		p.changes.pool = true
	}
	return nil
}

func (p *Pool) setMembers(ids []string) {
	member := make(map[string]bool, len(ids))
	for _, id := range ids {
		member[id] = true
		p.worker(id)
	}
	for _, w := range p.workers {
		w.member = member[w.ID]
	}
}

// worker returns the worker of that ID, which has nothing until it is listed.
func (p *Pool) worker(id string) *Worker {
	if w := p.byID[id]; w != nil {
		return w
	}
	w := &Worker{}
	w.ID = id
	w.bad.Health = InService
	p.byID[id] = w
	i, _ := slices.BinarySearchFunc(p.workers, id, func(w *Worker, id string) int {
		if w.ID < id {
			return -1
		}
		return 1
	})
	p.workers = slices.Insert(p.workers, i, w)
	return w
}

func (p *Pool) setTeams(v View) {
	for name, rec := range v.Teams {
		q, ok := rec.In(p.name)
		p.team(name).setQuota(quotaOf(q), ok)
	}
	for name, t := range p.teams {
		if _, ok := v.Teams[name]; !ok {
			t.setQuota(Amount{}, false)
		}
	}
}

// setQuota keeps what is held when a quota is cut; it shrinks as tasks end.
func (t *team) setQuota(q Amount, has bool) {
	t.quota, t.has = q, has
	t.limit = q.most(t.used)
}

func (p *Pool) setJob(s Spec, version int64, now time.Time) {
	j := p.byName[s.Name]
	if j == nil {
		p.seen = version
		j = newJob(s, now)
		j.Urgent = s.Urgency >= p.policy.Urgent
		p.jobs = append(p.jobs, j)
		p.byName[s.Name] = j
		p.changes.touch(j)
		j.guess = p.sized(j)
		return
	}
	if j.Why == whyDeleted {
		return // made anew; it is taken up when nothing of the old one is left
	}
	j.here = true
	if j.Spec.Version == s.Version && j.Spec.Name != "" {
		return
	}
	p.seen = version
	if !j.busy() {
		j.Urgent = s.Urgency >= p.policy.Urgent
	}
	j.Spec = s
	j.Declared = amountOf(s.Size)
	j.guess = p.sized(j)
}

// close ends a job: nothing of it is started again, and what runs is stopped.
func (p *Pool) close(j *Job, phase Phase, why string, now time.Time) error {
	running := j.held
	j.Phase, j.Why, j.dirty = phase, why, true
	p.changes.touch(j)
	for _, n := range j.order {
		for _, t := range slices.Clone(j.chunks[n].Tasks) {
			if err := p.halt(t, why, now); err != nil {
				return err
			}
		}
	}
	j.queue = nil
	p.note(j.Name, "end", why, now, nil, []audit.Subject{{Kind: "job", Name: j.Name}},
		audit.Facts("phase", phase, "done", j.Done, "running", running))
	return nil
}

// halt stops a task for good.
func (p *Pool) halt(t *Task, why string, now time.Time) error {
	switch t.State {
	case Waiting:
		t.Why = why
		return p.move(t, Drop, now)
	case Live:
		t.Why = why
		if t.live.fresh {
			return p.move(t, Drop, now) // nobody has asked for its start
		}
		return p.move(t, Stop, now)
	case Throttling, Slow, Saving, Lost:
		t.Why = why
		return p.move(t, Stop, now)
	}
	return nil
}

// forget drops jobs whose records are deleted and of which nothing can be running.
func (p *Pool) forget() {
	p.jobs = slices.DeleteFunc(p.jobs, func(j *Job) bool {
		if j.here || j.busy() {
			return false
		}
		delete(p.byName, j.Name)
		p.configured = false // a record of the same name may be waiting
		p.changes.gone = append(p.changes.gone, j)
		return true
	})
}
