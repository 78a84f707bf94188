package journal

import (
	"context"
	"encoding/json"
	"time"

	"gypsumlead/fault"
	"gypsumlead/platform"
)

const (
	logLong    = 1000 // changes in the log that make a compaction worth it
	logShort   = 500  // changes that a compaction leaves, for daemons that are a little behind
	trimAtOnce = 50   // log rows trimmed in one transaction
)

var zeroTime time.Time

// Compact writes a snapshot and trims the log before it when the log has grown long; at most
// trimAtOnce changes are trimmed a call. The snapshot is stored before anything is trimmed,
// and the head row's version makes racing compactions harmless.
func Compact(ctx context.Context, table platform.Table, objects platform.Objects, s *State) (bool, error) {
	read, err := table.Read(ctx, keyHead)
	if err != nil {
		return false, err
	}
	rows := NewRows(zeroTime, read...)
	var head Head
	if _, err := rows.Load(keyHead, &head); err != nil {
		return false, err
	}
	snap := s.Snapshot()
	if snap.Seq-head.Low < logLong || snap.Seq > head.Seq {
		return false, nil
	}
	data, err := json.Marshal(snap)
	if err != nil {
		return false, fault.Wrap(fault.Internal, err, "encode snapshot %d", snap.Seq)
	}
	if err := objects.Put(ctx, snapshotName(snap.Seq), data); err != nil {
		return false, err
	}
	return true, trim(ctx, table, rows, head, snap.Seq-logShort)
}

// trim deletes the log rows before low, a bounded number of them, together with the step of the head.
func trim(ctx context.Context, table platform.Table, rows Rows, head Head, low int64) error {
	low = min(low, head.Low+trimAtOnce)
	keys := make([]string, 0, low-head.Low)
	for seq := head.Low; seq < low; seq++ {
		keys = append(keys, keyLog(seq))
	}
	old, err := table.Read(ctx, keys...)
	if err != nil {
		return err
	}
	head.Low = low
	op, err := rows.PutRow(keyHead, head)
	if err != nil {
		return err
	}
	tx := platform.Tx{Ops: []platform.Op{op}}
	for _, row := range old {
		if row.Version > 0 {
			tx.Ops = append(tx.Ops, platform.Delete{Key: row.Key, IfVersion: row.Version})
		}
	}
	return table.Commit(ctx, tx)
}
