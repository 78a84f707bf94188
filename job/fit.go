package job

import (
	"slices"
	"time"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/record"
)

// Admit returns an error of kind fault.Unfit with the reason if the job can never run on the
// workers of these sizes under its team's record; the operators' API asks it before it accepts.
func Admit(j record.Job, workers []Shape, team record.Team) error {
	q, ok := team.In(j.Pool)
	if !ok {
		return fault.New(fault.Unfit, "team %s has no quota in pool %s", j.Team, j.Pool)
	}
	return unfit(amountOf(j.Size), j.Racks, workers, quotaOf(q))
}

// Shape is what a worker has and where it stands.
type Shape struct {
	Total Amount
	Rack  string
}

// ShapesOf returns the shapes of workers.
func ShapesOf(ws []backing.Worker) []Shape {
	out := make([]Shape, len(ws))
	for i, w := range ws {
		out[i] = Shape{Total: amountOf(w.Total), Rack: w.Rack}
	}
	return out
}

// unfit says why no task of the size can ever run, or that one can.
func unfit(need Amount, racks int, workers []Shape, quota Amount) error {
	if !need.within(quota) {
		return fault.New(fault.Unfit, "one task (%s) is more than the team's whole quota (%s)", need, quota)
	}
	if len(workers) == 0 {
		return nil // nothing is known of the workers yet
	}
	var largest Amount
	in := map[string]bool{}
	for _, w := range workers {
		largest = largest.most(w.Total)
		if need.within(w.Total) {
			in[w.Rack] = true
		}
	}
	switch {
	case need.Accels > largest.Accels:
		return fault.New(fault.Unfit, "one task needs %d accelerators, no worker has more than %d", need.Accels, largest.Accels)
	case len(in) == 0:
		return fault.New(fault.Unfit, "one task (%s) is bigger than any worker (at most %s)", need, largest)
	case len(in) < racks:
		return fault.New(fault.Unfit, "it is to be spread over %d racks, workers that are big enough stand in %d", racks, len(in))
	}
	return nil
}

// admit refuses jobs that can never run and takes up refused ones when that has changed.
func (p *Pool) admit(now time.Time) error {
	for _, j := range p.jobs {
		if j.Phase != Open && j.Phase != Refused {
			continue
		}
		if j.Phase == Open && j.pending() == 0 {
			continue
		}
		tm := p.team(j.Team)
		facts := facts{p.shaped, j.Spec.Version, tm.quota, tm.has}
		if j.facts == facts {
			continue
		}
		j.facts = facts
		err := unfit(j.Declared, j.Spec.Racks, p.shapes, tm.quota)
		if !tm.has {
			err = fault.New(fault.Unfit, "team %s has no quota in pool %s", j.Team, p.name)
		}
		p.rule(j, err, now)
	}
	return nil
}

func (p *Pool) rule(j *Job, err error, now time.Time) {
	switch {
	case err != nil && (j.Phase == Open || j.Why != err.Error()):
		j.Phase, j.Why = Refused, err.Error()
		kind := fault.KindOf(err)
		p.note(j.Name, "refuse", j.Why, now, &kind, []audit.Subject{{Kind: "job", Name: j.Name}},
			audit.Facts("size", j.Declared, "count", j.Spec.Count, "racks", j.Spec.Racks, "quota", p.team(j.Team).quota))
	case err == nil && j.Phase == Refused:
		j.Phase, j.Why = Open, ""
		p.noteJob(j, "admit", "what it was refused for has changed", now)
	default:
		return
	}
	j.dirty = true
	p.changes.touch(j)
}

// facts are what a verdict on whether a job can ever run depends on.
type facts struct {
	shaped  int
	version int64
	quota   Amount
	has     bool
}

// shape notes which shapes of workers there are, those that are away now included.
func (p *Pool) shape() {
	seen := map[Shape]bool{}
	var out []Shape
	for _, w := range p.workers {
		s := Shape{Total: w.total, Rack: w.Rack}
		if w.member && w.total != (Amount{}) && !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	if !slices.Equal(out, p.shapes) {
		p.shapes = out
		p.shaped++
	}
}

// need returns what the job's next try is guaranteed: no more than the largest worker has, for
// an estimate may be too high where a declared size isn't.
func (p *Pool) need(j *Job, largest Amount) Amount {
	n := j.guess
	n.Milli = min(n.Milli, max(largest.Milli, j.Declared.Milli))
	n.Memory = min(n.Memory, max(int64(float64(largest.Memory)*(1-p.policy.Headroom)), j.Declared.Memory))
	q := p.team(j.Team).quota
	return Amount{Milli: min(n.Milli, q.Milli), Memory: min(n.Memory, q.Memory), Accels: n.Accels}
}
