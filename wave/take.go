package wave

import (
	"context"
	"fmt"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
)

// take takes the next instances: the pool's row, the wave's progress and the drains change in
// one transaction, which is accepted once for each version of the progress.
func (d *Driver) take(ctx context.Context, name string, version int64, v pool.View) error {
	rows, records := keys(name, d.pool)
	s, err := d.read(ctx, name)
	if err != nil {
		return err
	}
	for _, it := range s.part.Items {
		if it.State == Queued {
			records = append(records, pool.DrainKey(it.Instance))
		}
	}
	_, err = d.writer.Accept(ctx, journal.Proposal{
		ID:      fmt.Sprintf("wave/%s/%s/take/%d", name, d.pool, version),
		Actor:   d.actor,
		Why:     "wave " + name,
		Rows:    rows,
		Records: records,
		Decide: func(rows journal.Rows) (journal.Decision, error) {
			return d.decideTake(rows, name, version, v)
		},
	})
	if fault.Is(err, fault.Budget) {
		return nil // somebody else took the room first; the next step says so
	}
	return err
}

// decideTake picks on fresh rows.
func (d *Driver) decideTake(rows journal.Rows, name string, version int64, v pool.View) (journal.Decision, error) {
	key := Key(name, d.pool)
	if have := rows.Row(key).Version; have != version {
		return journal.Decision{}, fault.New(fault.Conflict, "progress of wave %s in pool %s has version %d, not %d", name, d.pool, have, version)
	}
	s, err := load(rows, name, d.pool)
	if err != nil {
		return journal.Decision{}, err
	}
	if err := s.hold(); err != nil {
		return journal.Decision{}, err
	}
	if s.part.Check(s.pool.State) != nil {
		return journal.Decision{}, fault.New(fault.Conflict, "an operator released instances of wave %s in pool %s", name, d.pool)
	}
	if err := d.lease.Check(); err != nil {
		return journal.Decision{}, err
	}
	state, takes, err := s.part.Pick(s.rec, s.pool.Record.Budget, s.pool.State, v, rows.Now)
	if len(takes) == 0 {
		return journal.Decision{}, fault.Wrap(fault.Budget, orNone(err), "wave %s takes nothing", name)
	}
	out := s.pool.State.Count(pool.Losses(s.pool.State, v, rows.Now))
	return d.takeAll(s, state, takes, s.pool.Facts(out))
}

func orNone(err error) error {
	if err != nil {
		return err
	}
	return fault.New(fault.Budget, "no instance is queued")
}

// takeAll writes the takes.
func (d *Driver) takeAll(s snapshot, state pool.State, takes []pool.Take, inputs []audit.Input) (journal.Decision, error) {
	dec := journal.Decision{Ops: []backing.Op{d.lease.Cond()}}
	subjects := []audit.Subject{{Kind: string(record.KindWave), Name: s.part.Wave}, {Kind: string(record.KindPool), Name: d.pool}}
	part := s.part
	seq := s.rows.Seq() + 1 // of the change that this decision becomes
	for _, t := range takes {
		drain, err := pool.DrainOn(s.rows, t)
		if err != nil {
			return dec, err
		}
		if part, err = part.Apply(Took{t.Instance, t.Boot, seq}, s.rows.Now); err != nil {
			return dec, err
		}
		dec.Edits = append(dec.Edits, drain)
		subjects = append(subjects, audit.Subject{Kind: "instance", Name: t.Instance})
	}
	if err := part.Check(state); err != nil {
		return dec, err
	}
	for key, v := range map[string]any{pool.Key(d.pool): state, Key(part.Wave, d.pool): part} {
		op, err := s.rows.PutRow(key, v)
		if err != nil {
			return dec, err
		}
		dec.Ops = append(dec.Ops, op)
	}
	dec.Audit = audit.Entry{Act: "take", Subjects: subjects, Inputs: inputs}
	return dec, nil
}
