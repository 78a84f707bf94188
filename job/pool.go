package job

import (
	"time"

	"gypsumlead/audit"
	"gypsumlead/fault"
)

// Pool is the jobs and workers of one pool: the guaranteed sizes on a worker never sum to more
// than it has, a team never gets more than its quota, and a task has one try at most.
type Pool struct {
	name   string
	epoch  int64
	policy Policy

	configured bool
	applied    int64 // version of the configuration that this holder took in last

	until   time.Time // no try has a lease that ends later
	seen    int64     // version of the configuration that was last acted on
	workers []*Worker // sorted by ID
	byID    map[string]*Worker
	jobs    []*Job // in the order of their first records
	byName  map[string]*Job
	teams   map[string]*team
	shapes  []Shape          // of members
	shaped  int              // changes with shapes
	tries   map[string]*Task // by ID: tries that hold a size or wait for a verdict
	total   Amount           // of all workers that were ever listed
	urgent  Amount           // held by urgent jobs

	now     time.Time // of the last call of Settle or Decide
	changes changes
	count   int // entries made, which keeps their IDs apart
	stats   Stats
}

// Stats counts what a holder decided.
type Stats struct {
	Started     int
	Displaced   int // throttled, checkpointed or stopped for urgent work
	Shed        int // displaced for an estimate that grew
	Stopped     int // stopped for urgent work or an estimate that grew
	Quarantined int
	BadJobs     int
	Wasted      float64 // core-seconds of tries that were cut off and not checkpointed
}

func (s Stats) plus(o Stats) Stats {
	return Stats{
		Started:     s.Started + o.Started,
		Displaced:   s.Displaced + o.Displaced,
		Shed:        s.Shed + o.Shed,
		Stopped:     s.Stopped + o.Stopped,
		Quarantined: s.Quarantined + o.Quarantined,
		BadJobs:     s.BadJobs + o.BadJobs,
		Wasted:      s.Wasted + o.Wasted,
	}
}

// team is what a team may hold in the pool and what it holds.
type team struct {
	name  string
	quota Amount
	limit Amount // quota, or what was held when the quota was cut
	used  Amount
	has   bool
	prior Estimate
	dirty bool
}

// New returns the pool of that name without jobs and workers, for the holder of a lease's epoch.
func New(name string, epoch int64, opts ...Option) *Pool {
	p := &Pool{
		name: name, epoch: epoch, policy: DefaultPolicy(),
		byID: map[string]*Worker{}, byName: map[string]*Job{}, teams: map[string]*team{}, tries: map[string]*Task{},
		changes: newChanges(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithPolicy replaces the default policy.
func WithPolicy(y Policy) Option {
	return func(p *Pool) { p.policy = y }
}

// Stats returns what was decided so far.
func (p *Pool) Stats() Stats {
	return p.stats
}

// team returns the team of that name, which has no quota until its record comes.
func (p *Pool) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{name: name}
		p.teams[name] = t
	}
	return t
}

// move moves a task by the table of states and keeps the sums of worker, team and job in step.
func (p *Pool) move(t *Task, in Input, now time.Time) error {
	before := t.State
	if err := t.enter(in, now); err != nil {
		return err
	}
	if t.State == before {
		return nil
	}
	if before.holds() && !t.State.holds() {
		p.release(t)
	}
	j := t.job
	if before == Off {
		j.off--
	}
	c := j.chunk(t.Index)
	c.dirty = true
	p.changes.touch(j)
	switch t.State {
	case Off:
		j.off++
	case Waiting:
		delete(p.tries, t.ID())
		t.Worker, t.Boot, t.Rack, t.Size, t.Until, t.Why = "", "", "", Amount{}, time.Time{}, ""
		t.live = volatile{}
		j.queue = append(j.queue, t)
	case Done, Dropped:
		delete(p.tries, t.ID())
		c.end(t)
		j.Ended++
		if t.State == Done {
			j.Done++
		}
		return p.complete(j, now)
	}
	return nil
}

// hold gives the task its size on the worker.
func (p *Pool) hold(t *Task, w *Worker) {
	j := t.job
	w.used = w.used.plus(t.Size)
	w.tasks = append(w.tasks, t)
	j.held++
	t.Rack = w.Rack
	j.racks[t.Rack]++
	tm := p.team(j.Team)
	tm.used = tm.used.plus(t.Size)
	if p.isUrgent(j) {
		p.urgent = p.urgent.plus(t.Size)
	}
}

func (p *Pool) release(t *Task) {
	j := t.job
	w := p.byID[t.Worker]
	w.used = w.used.minus(t.Size)
	w.remove(t)
	j.held--
	j.racks[t.Rack]--
	tm := p.team(j.Team)
	tm.used = tm.used.minus(t.Size)
	if p.isUrgent(j) {
		p.urgent = p.urgent.minus(t.Size)
	}
}

// resize changes the guaranteed size of a task that holds one.
func (p *Pool) resize(t *Task, to Amount) {
	w := p.byID[t.Worker]
	tm := p.team(t.job.Team)
	w.used = w.used.minus(t.Size).plus(to)
	tm.used = tm.used.minus(t.Size).plus(to)
	if p.isUrgent(t.job) {
		p.urgent = p.urgent.minus(t.Size).plus(to)
	}
	t.Size = to
	t.job.chunk(t.Index).dirty = true
	p.changes.touch(t.job)
}

// isUrgent tells whether the job may displace others; it changes only while nothing of the job runs.
func (p *Pool) isUrgent(j *Job) bool {
	return j.Urgent
}

// note adds an entry to the audit trail, under the unit of rows that it is committed with.
func (p *Pool) note(unit, act, why string, now time.Time, refused *fault.Kind, subjects []audit.Subject, in []audit.Input) {
	p.count++
	e := audit.Entry{
		ID: entryID(p.name, p.epoch, p.count, now), At: now, Actor: "job/" + p.name, Act: act, Why: why,
		Subjects: subjects, Inputs: in,
	}
	if refused != nil {
		e.Refused = refused.String()
	}
	if j := p.byName[unit]; j != nil {
		e.Version = j.Spec.Version
	}
	p.changes.add(unit, e)
}

// noteJob adds an entry about one job.
func (p *Pool) noteJob(j *Job, act, why string, now time.Time, pairs ...any) {
	p.note(j.Name, act, why, now, nil, []audit.Subject{{Kind: "job", Name: j.Name}}, audit.Facts(pairs...))
}

// noteWorker adds an entry about one worker.
func (p *Pool) noteWorker(w *Worker, act, why string, now time.Time, pairs ...any) {
	p.note("", act, why, now, nil, []audit.Subject{{Kind: "instance", Name: w.ID}}, audit.Facts(pairs...))
}

// Quarantined returns the workers in quarantine, sorted.
func (p *Pool) Quarantined() []string {
	var out []string
	for _, w := range p.workers {
		if w.bad.Health == Quarantine {
			out = append(out, w.ID)
		}
	}
	return out
}

// Phase returns where the job of that name stands.
func (p *Pool) Phase(name string) (Phase, bool) {
	j := p.byName[name]
	if j == nil {
		return "", false
	}
	return j.Phase, true
}

// Count is how much a pool's holder keeps in mind.
type Count struct {
	Workers int
	Jobs    int
	Tries   int // tasks that hold a size or wait for a verdict
	Waiting int
}

// Count returns how much the holder keeps in mind.
func (p *Pool) Count() Count {
	c := Count{Workers: len(p.workers), Jobs: len(p.jobs), Tries: len(p.tries)}
	for _, j := range p.jobs {
		c.Waiting += j.pending()
	}
	return c
}
