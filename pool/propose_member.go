package pool

import (
	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// ProposeAssign puts an instance that belongs to no pool into one.
func ProposeAssign(r Request, pool string, in backing.Instance) journal.Proposal {
	decide := func(rows journal.Rows) (journal.Decision, error) {
		l, err := Load(rows, pool)
		if err != nil {
			return journal.Decision{}, err
		}
		old, m, ok, err := loadMember(rows, in.ID)
		if err != nil {
			return journal.Decision{}, err
		}
		if ok {
			return journal.Decision{}, fault.New(fault.Conflict, "instance %s is in pool %s: move it instead", in.ID, m.Pool)
		}
		l.State, err = l.State.Add(Member{ID: in.ID, Rack: in.Rack, Centre: in.Centre})
		if err != nil {
			return journal.Decision{}, fault.Wrap(fault.Breach, err, "pool %s holds an instance without a member record", pool)
		}
		return memberDecision(rows, old, in.ID, &record.Member{Pool: pool}, "assign", l)
	}
	return r.proposal([]string{Key(pool)}, []record.Key{RecordKey(pool), MemberKey(in.ID)}, decide)
}

// ProposeRelease takes an instance out of its pool for good; one that is well counts as a planned take.
func ProposeRelease(r Request, pool, instance string) journal.Proposal {
	decide := func(rows journal.Rows) (journal.Decision, error) {
		l, err := Load(rows, pool)
		if err != nil {
			return journal.Decision{}, err
		}
		old, err := l.owns(rows, instance)
		if err != nil {
			return journal.Decision{}, err
		}
		if err := l.spares(instance, r.View, rows); err != nil {
			return journal.Decision{}, err
		}
		inputs := l.Facts(l.State.Count(Losses(l.State, r.View, rows.Now)))
		l.State, err = l.State.Remove(instance)
		if err != nil {
			return journal.Decision{}, inPool(pool, err)
		}
		ops, err := putStates(rows, l)
		return journal.Decision{
			Edits: []record.Envelope{{Kind: record.KindMember, Name: instance, Schema: old.Schema, Gone: true}},
			Ops:   ops,
			Audit: audit.Entry{Act: "release", Subjects: subjects(instance, pool), Inputs: inputs},
		}, err
	}
	return r.proposal([]string{Key(pool)}, []record.Key{RecordKey(pool), MemberKey(instance)}, decide)
}

// owns checks that the member record and the pool's row agree that the instance is in the pool.
func (l Loaded) owns(rows journal.Rows, id string) (record.Envelope, error) {
	e, m, ok, err := loadMember(rows, id)
	if err != nil {
		return e, err
	}
	if !ok {
		return e, fault.New(fault.Missing, "instance %s is in no pool", id)
	}
	if m.Pool != l.Name {
		return e, fault.New(fault.Conflict, "instance %s is in pool %s, not in %s", id, m.Pool, l.Name)
	}
	if _, in := l.State.Member(id); !in {
		return e, fault.New(fault.Breach, "instance %s has a member record of pool %s, whose row doesn't hold it", id, l.Name)
	}
	return e, nil
}

// spares checks that a member may leave the pool: one that the platform calls gone always may.
func (l Loaded) spares(id string, v View, rows journal.Rows) error {
	if in, ok := v.Find(id); ok && in.State == backing.StateGone {
		return nil
	}
	_, _, err := l.State.Take(Ask{Instance: id, Cause: CauseMove, By: "release"}, l.Record.Budget, v, rows.Now)
	return inPool(l.Name, err)
}

// memberDecision writes the member record with the rows of the pools, in one transaction.
func memberDecision(rows journal.Rows, old record.Envelope, id string, m *record.Member, act string, pools ...Loaded) (journal.Decision, error) {
	e, err := record.Rewrite(old, id, m)
	if err != nil {
		return journal.Decision{}, err
	}
	ops, err := putStates(rows, pools...)
	var names []string
	for _, l := range pools {
		names = append(names, l.Name)
	}
	return journal.Decision{
		Edits: []record.Envelope{e},
		Ops:   ops,
		Audit: audit.Entry{Act: act, Subjects: subjects(id, names...)},
	}, err
}
