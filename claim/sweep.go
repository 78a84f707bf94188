package claim

import (
	"context"
	"encoding/json"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

const (
	sweepKey   = "claimsweep"
	sweepLimit = 400 // rows looked at in one pass
)

// sweepRow is where the next pass starts. Every pass writes it, so that a pass that arrives late
// at the table deletes nothing: a key that was deleted and claimed anew starts at version 1 again.
type sweepRow struct {
	After string `json:"after"`
}

// Sweep deletes expired claims among the next rows and returns how many; it costs one scan and
// one write. Passes of several entries may race: one of them loses with fault.Conflict.
func (k *Keeper) Sweep(ctx context.Context) (int, error) {
	heads, err := k.table.Read(ctx, sweepKey)
	if err != nil {
		return 0, err
	}
	var at sweepRow
	if heads[0].Version > 0 {
		if err := json.Unmarshal(heads[0].Value, &at); err != nil {
			return 0, fault.Wrap(fault.Internal, err, "decode row %s", sweepKey)
		}
	}
	rows, err := k.table.Scan(ctx, Prefix, at.After, sweepLimit)
	if err != nil {
		return 0, err
	}
	ops := expiredOps(rows, time.Now())
	at.After = ""
	if len(rows) == sweepLimit {
		at.After = rows[len(rows)-1].Key
	}
	value, err := json.Marshal(at)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encode row %s", sweepKey)
	}
	deleted := len(ops)
	ops = append(ops, backing.Put{Key: sweepKey, IfVersion: heads[0].Version, Value: value})
	return deleted, k.table.Commit(ctx, backing.Tx{Ops: ops})
}

// expiredOps returns the steps that delete the expired claims among rows.
func expiredOps(rows []backing.Row, now time.Time) []backing.Op {
	var ops []backing.Op
	for _, have := range rows {
		var r row
		if json.Unmarshal(have.Value, &r) == nil && r.expired(now) {
			ops = append(ops, backing.Delete{Key: have.Key, IfVersion: have.Version})
		}
	}
	return ops
}
