package jobtrial

import (
	"context"
	"encoding/json"
	"time"

	"gypsumlead/backing"
)

const (
	holdTime   = 10 * time.Second
	holdMargin = 2 * time.Second
)

// Hold is a plain lease on one row of the table, taken and renewed between steps.
type Hold struct {
	key     string
	table   backing.Table
	clock   *Clock
	epoch   int64
	version int64
	until   time.Time
}

// holdRow is the lease's row.
type holdRow struct {
	Epoch int64     `json:"epoch"`
	Until time.Time `json:"until"`
}

// NewHold returns a lease that isn't held yet.
func NewHold(pool string, table backing.Table, clock *Clock) *Hold {
	return &Hold{key: "lease/job/" + pool, table: table, clock: clock}
}

// Take renews the lease, or takes it where it has ended; it tells whether it is held.
func (h *Hold) Take(ctx context.Context) bool {
	rows, err := h.table.Read(ctx, h.key)
	if err != nil {
		return h.Alive()
	}
	var row holdRow
	if rows[0].Version > 0 && json.Unmarshal(rows[0].Value, &row) != nil {
		return false
	}
	mine := h.epoch > 0 && row.Epoch == h.epoch && rows[0].Version >= h.version
	start := h.clock.Now()
	if !mine && start.Before(row.Until) {
		h.until = time.Time{}
		return false
	}
	next := holdRow{Epoch: row.Epoch, Until: start.Add(holdTime)}
	if !mine {
		next.Epoch++
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	put := backing.Put{Key: h.key, IfVersion: rows[0].Version, Value: value}
	if h.table.Commit(ctx, backing.Tx{Ops: []backing.Op{put}}) != nil {
		return h.Alive()
	}
	h.epoch, h.version, h.until = next.Epoch, rows[0].Version+1, next.Until
	return h.Alive()
}

// Epoch returns the fencing epoch.
func (h *Hold) Epoch() int64 {
	return h.epoch
}

// Alive tells whether the lease is surely held.
func (h *Hold) Alive() bool {
	return h.clock.Now().Before(h.until.Add(-holdMargin))
}

// Fence returns the check that fails once another holder, or this one, wrote the row.
func (h *Hold) Fence() backing.Op {
	return backing.Check{Key: h.key, Version: h.version}
}
