package leader

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sleep"
)

// Release gives the seat up; no order follows it.
func (h *Leader) Release(ctx context.Context) {
	h.mu.Lock()
	if h.stop != nil {
		h.stop()
	}
	h.mu.Unlock()
	<-h.fate
	h.mu.Lock()
	lost, seat, version := h.lost, h.seat, h.version
	h.mu.Unlock()
	if lost != nil {
		return
	}
	seat.Released = true
	if err := h.release(ctx, seat, version); err != nil {
		h.Log.Warn("seat not released; it is free once this daemon's signs of life have lapsed", zap.Error(err))
	}
}

// release writes the seat as released, again until the store has answered. A commit that was under way when
// the holder stopped may take effect before it: then the seat's row is ours under another version.
func (h *Leader) release(ctx context.Context, seat LeaseRow, version int64) error {
	value, err := encode(seat)
	if err != nil {
		return err
	}
	at := place(tableHold, h.claim.Service, keySeat)
	for {
		_, err = h.Store.Commit(ctx, platform.Tx{
			Conditions: []platform.Condition{{RowKey: at, Version: version}},
			Puts:       []platform.Row{{RowKey: at, Value: value}},
		})
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !fault.Is(err, fault.Conflict) {
			sleep.ForOrWake(ctx, retryGap, nil)
			continue
		}
		row, ok := h.stillOurs(err)
		if !ok {
			return err
		}
		version = row.Version
	}
}

// stillOurs returns the seat's row out of a failed condition; ok is false where it isn't this tenure's, or is
// released already by a try that wasn't answered.
func (h *Leader) stillOurs(err error) (platform.Row, bool) {
	var c *platform.Conflict
	if !errors.As(err, &c) {
		return platform.Row{}, false
	}
	for _, row := range c.Rows {
		if row.Table != tableHold || row.Key != keySeat {
			continue
		}
		var now LeaseRow
		if err := decode(row, &now); err != nil {
			h.Log.Error("seat can't be read", zap.Error(err))
			return platform.Row{}, false
		}
		mine := now.Holder == h.seat.Holder && now.Boot == h.seat.Boot && now.Term == h.seat.Term
		return row, mine && !now.Released
	}
	return platform.Row{}, false
}
