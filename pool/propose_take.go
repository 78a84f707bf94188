package pool

import (
	"gypsumlead/audit"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// ProposeTake takes an instance out of service and drains its present boot; waves take theirs
// together with their own progress, by State.Take.
func ProposeTake(r Request, pool string, a Ask) journal.Proposal {
	decide := func(rows journal.Rows) (journal.Decision, error) {
		l, err := Load(rows, pool)
		if err != nil {
			return journal.Decision{}, err
		}
		before := l.State.Count(Losses(l.State, r.View, rows.Now))
		s, t, err := l.State.Take(a, l.Record.Budget, r.View, rows.Now)
		if err != nil {
			return journal.Decision{}, inPool(pool, err)
		}
		l.State = s
		drain, err := DrainOn(rows, t)
		if err != nil {
			return journal.Decision{}, err
		}
		ops, err := putStates(rows, l)
		return journal.Decision{
			Edits: []record.Envelope{drain},
			Ops:   ops,
			Audit: audit.Entry{Act: "take", Subjects: subjects(a.Instance, pool), Inputs: l.Facts(before)},
		}, err
	}
	keys := []record.Key{RecordKey(pool), DrainKey(a.Instance)}
	return r.proposal([]string{Key(pool)}, keys, decide)
}

// DrainOn returns the record that drains the boot that t took.
func DrainOn(rows journal.Rows, t Take) (record.Envelope, error) {
	old, _, err := rows.Envelope(DrainKey(t.Instance))
	if err != nil {
		return record.Envelope{}, err
	}
	return record.Rewrite(old, t.Instance, &record.Drain{Boot: t.Boot, Why: string(t.Cause) + " " + t.By})
}

// ProposeReturn gives back an instance that by took, once it is seen well under another boot.
func ProposeReturn(r Request, pool, instance, by string) journal.Proposal {
	decide := func(rows journal.Rows) (journal.Decision, error) {
		l, err := Load(rows, pool)
		if err != nil {
			return journal.Decision{}, err
		}
		l.State, err = l.State.Return(instance, by, r.View, rows.Now)
		if err != nil {
			return journal.Decision{}, inPool(pool, err)
		}
		ops, err := putStates(rows, l)
		m, _ := l.State.Member(instance)
		return journal.Decision{
			Ops:   ops,
			Audit: audit.Entry{Act: "return", Subjects: subjects(instance, pool), Inputs: audit.Facts("boot", m.Boot, "seen", m.Seen)},
		}, err
	}
	return r.proposal([]string{Key(pool)}, []record.Key{RecordKey(pool)}, decide)
}
