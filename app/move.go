package app

import (
	"gypsumlead/audit"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// move proposes to put an instance into a pool.
func move(id, actor, why, instance, from, to string) journal.Proposal {
	member := record.Key{Kind: record.KindMember, Name: instance}
	pool := record.Key{Kind: record.KindPool, Name: to}
	return journal.Proposal{
		ID:      id,
		Digest:  journal.Digest([]byte("move"), []byte(instance), []byte(from), []byte(to)),
		Actor:   actor,
		Why:     why,
		Records: []record.Key{member, pool},
		Decide: func(rows journal.Rows) (journal.Decision, error) {
			if _, ok, err := rows.Envelope(pool); err != nil || !ok {
				return journal.Decision{}, fault.New(fault.Missing, "there is no %s", pool)
			}
			old, live, err := rows.Envelope(member)
			if err != nil {
				return journal.Decision{}, err
			}
			var m record.Member
			if live {
				if err := record.Decode(old, &m); err != nil {
					return journal.Decision{}, err
				}
			}
			if m.Pool != from {
				return journal.Decision{}, fault.New(fault.Conflict, "instance %s is in pool %q, not %q", instance, m.Pool, from)
			}
			e, err := record.Rewrite(old, instance, &record.Member{Pool: to})
			if err != nil {
				return journal.Decision{}, err
			}
			subjects := []audit.Subject{{Kind: "instance", Name: instance}, {Kind: "pool", Name: to}}
			if from != "" {
				subjects = append(subjects, audit.Subject{Kind: "pool", Name: from})
			}
			return journal.Decision{
				Edits: []record.Envelope{e},
				Audit: audit.Entry{Act: "move", Subjects: subjects, Inputs: audit.Facts("from", from, "to", to)},
			}, nil
		},
	}
}
