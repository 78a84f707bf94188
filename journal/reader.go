package journal

import (
	"context"
	"encoding/json"
	"fmt"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

const (
	pullLimit      = 200 // changes read from the table at once
	prefixSnapshot = "journal/snapshot/"
)

// Reader reads the accepted configuration from the platform.
type Reader struct {
	table   backing.Table
	objects backing.Objects
}

// NewReader returns a reader of the platform's table and object store.
func NewReader(table backing.Table, objects backing.Objects) *Reader {
	return &Reader{table: table, objects: objects}
}

// CatchUp brings s up to the table's head; it reads one row when there is nothing new.
func (r *Reader) CatchUp(ctx context.Context, s *State) error {
	for {
		head, err := r.head(ctx)
		if err != nil {
			return err
		}
		if head.Seq <= s.Seq() {
			return nil
		}
		if s.Seq()+1 < head.Low {
			if err := r.restore(ctx, s); err != nil {
				return err
			}
			continue
		}
		if err := r.pull(ctx, s); err != nil {
			return err
		}
	}
}

func (r *Reader) head(ctx context.Context) (Head, error) {
	rows, err := r.table.Read(ctx, keyHead)
	if err != nil {
		return Head{}, err
	}
	var h Head
	_, err = NewRows(zeroTime, rows...).Load(keyHead, &h)
	return h, err
}

// pull applies the next changes of the log.
func (r *Reader) pull(ctx context.Context, s *State) error {
	rows, err := r.table.Scan(ctx, prefixLog, keyLog(s.Seq()), pullLimit)
	if err != nil {
		return err
	}
	changes := make([]Change, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &changes[i]); err != nil {
			return fault.Wrap(fault.Internal, err, "decode row %s", row.Key)
		}
	}
	n, err := s.Apply(changes...)
	if err == nil && n == 0 {
		// The log was trimmed between the look at the head and the scan; the next look tells.
		return fault.New(fault.StoreDown, "log has no change after %d", s.Seq())
	}
	return err
}

// restore puts the newest snapshot of the object store in force.
func (r *Reader) restore(ctx context.Context, s *State) error {
	names, err := r.objects.List(ctx, prefixSnapshot)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return fault.New(fault.Missing, "the log is trimmed, but the object store has no snapshot")
	}
	data, err := r.objects.Get(ctx, names[len(names)-1])
	if err != nil {
		return err
	}
	snap, err := DecodeSnapshot(data)
	if err != nil {
		return err
	}
	if !s.Restore(snap) {
		return fault.New(fault.Missing, "newest snapshot has change %d, the log starts later", snap.Seq)
	}
	return nil
}

// DecodeSnapshot reads a snapshot as it stands in the object store and in peers' messages.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var snap Snapshot
	err := json.Unmarshal(data, &snap)
	return snap, fault.Wrap(fault.Invalid, err, "decode snapshot")
}

func snapshotName(seq int64) string {
	return fmt.Sprintf("%s%016d", prefixSnapshot, seq)
}
