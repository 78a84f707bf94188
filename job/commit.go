package job

import (
	"context"

	"go.uber.org/zap"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
)

const opLimit = 400 // steps of a transaction

// commit writes what has changed with its audit entries, all of it under the lease's fence.
func (d *Driver) commit(ctx context.Context) error {
	units, err := d.pool.Flush()
	if err != nil {
		return err
	}
	var tx batch
	for _, u := range units {
		ops, err := d.ops(u)
		if err != nil {
			return err
		}
		if len(tx.ops)+len(ops) > opLimit {
			if err := d.write(ctx, &tx); err != nil {
				return err
			}
		}
		tx.ops = append(tx.ops, ops...)
		tx.units = append(tx.units, u)
	}
	return d.write(ctx, &tx)
}

// batch is a transaction in the making.
type batch struct {
	ops   []backing.Op
	units []Unit
}

func (d *Driver) write(ctx context.Context, b *batch) error {
	if len(b.ops) == 0 {
		return nil
	}
	if err := d.alive(); err != nil {
		return err
	}
	if err := d.table.Commit(ctx, backing.Tx{Ops: append(b.ops, d.hold.Fence())}); err != nil {
		if fault.Is(err, fault.Conflict) {
			return fault.Wrap(fault.Fenced, err, "commit jobs of pool %s", d.name)
		}
		return err
	}
	for _, u := range b.units {
		for _, r := range u.Puts {
			d.versions[r.Key]++
		}
		for _, k := range u.Deletes {
			delete(d.versions, k)
		}
	}
	*b = batch{}
	return nil
}

func (d *Driver) ops(u Unit) ([]backing.Op, error) {
	var ops []backing.Op
	for _, r := range u.Puts {
		ops = append(ops, backing.Put{Key: r.Key, IfVersion: d.versions[r.Key], Value: r.Value})
	}
	for _, k := range u.Deletes {
		if v := d.versions[k]; v > 0 {
			ops = append(ops, backing.Delete{Key: k, IfVersion: v})
		}
	}
	for _, e := range u.Entries {
		es, err := audit.Ops(e)
		if err != nil {
			return nil, err
		}
		ops = append(ops, es...)
	}
	return ops, nil
}

// noteBreach leaves an entry about an invariant that didn't hold; nothing of the step is committed.
func (d *Driver) noteBreach(ctx context.Context, cause error) {
	now := d.now()
	ops, err := audit.Ops(audit.Entry{
		ID: entryID(d.name, d.hold.Epoch(), 0, now), At: now, Actor: "job/" + d.name, Act: "breach", Why: cause.Error(),
		Refused: fault.Breach.String(), Subjects: []audit.Subject{{Kind: "pool", Name: d.name}},
	})
	if err == nil {
		err = d.table.Commit(ctx, backing.Tx{Ops: append(ops, d.hold.Fence())})
	}
	if err != nil {
		d.log.Error("note a breach", zap.String("pool", d.name), zap.Error(err), zap.NamedError("breach", cause))
	}
}
