package journal

import (
	"context"
	"encoding/json"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Compaction keeps the log short: a snapshot goes to the object store before the rows that it
// covers are trimmed, so that a daemon always finds one or the other.
type Compaction struct {
	Table   backing.Table
	Objects backing.Objects
	State   *State
	Long    int64 // changes in the log that start a compaction
	Short   int64 // changes that it leaves, for daemons that are a little behind and for repeated change IDs

	snapped  int64 // newest snapshot that this compaction has stored
	trimming bool  // a compaction has begun and goes on until Short changes are left
}

// Defaults of a compaction: at 14,000 changes a day, a change ID can be asked again for six hours at least.
const (
	LongDefault  = 5000
	ShortDefault = 4000
)

const trimAtOnce = 50 // changes trimmed in one transaction

var zeroTime time.Time

// Step trims at most trimAtOnce changes and tells whether there is more to trim. The head row's
// version makes racing compactions harmless.
func (c *Compaction) Step(ctx context.Context) (bool, error) {
	read, err := c.Table.Read(ctx, keyHead)
	if err != nil {
		return false, err
	}
	rows := NewRows(zeroTime, read...)
	var head Head
	if _, err := rows.Load(keyHead, &head); err != nil {
		return false, err
	}
	low := head.Seq - c.Short
	if head.Seq-head.Low < c.Long && !c.trimming || low <= head.Low {
		c.trimming = false
		return false, nil
	}
	c.trimming = true
	if c.snapped < low {
		if err := c.snap(ctx, low); err != nil {
			return false, err
		}
	}
	low = min(low, head.Low+trimAtOnce, c.snapped+1)
	if low <= head.Low {
		return false, nil
	}
	return true, c.trim(ctx, rows, head, low)
}

// snap stores the configuration in force here if it covers the changes before low.
func (c *Compaction) snap(ctx context.Context, low int64) error {
	snap := c.State.Snapshot()
	if snap.Seq < low {
		return fault.New(fault.Overload, "this daemon has change %d in force, the compaction needs %d", snap.Seq, low)
	}
	data, err := json.Marshal(snap)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode snapshot %d", snap.Seq)
	}
	if err := c.Objects.Put(ctx, snapshotName(snap.Seq), data); err != nil {
		return err
	}
	c.snapped = snap.Seq
	return nil
}

// trim deletes the log rows before low and their change IDs, together with the step of the head.
func (c *Compaction) trim(ctx context.Context, rows Rows, head Head, low int64) error {
	old, err := c.read(ctx, head.Low, low)
	if err != nil {
		return err
	}
	head.Low = low
	op, err := rows.PutRow(keyHead, head)
	if err != nil {
		return err
	}
	tx := backing.Tx{Ops: []backing.Op{op}}
	for _, row := range old {
		tx.Ops = append(tx.Ops, backing.Delete{Key: row.Key, IfVersion: row.Version})
	}
	return c.Table.Commit(ctx, tx)
}

// read returns the existing rows of the changes from one number up to another, with those of their IDs.
func (c *Compaction) read(ctx context.Context, from, to int64) ([]backing.Row, error) {
	var keys []string
	for seq := from; seq < to; seq++ {
		keys = append(keys, keyLog(seq))
	}
	logs, err := c.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	keys = keys[:0]
	for _, row := range logs {
		var ch Change
		if row.Version == 0 {
			continue
		}
		if err := json.Unmarshal(row.Value, &ch); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "decode row %s", row.Key)
		}
		keys = append(keys, keyID(ch.ID))
	}
	ids, err := c.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var out []backing.Row
	for _, row := range append(logs, ids...) {
		if row.Version > 0 {
			out = append(out, row)
		}
	}
	return out, nil
}
