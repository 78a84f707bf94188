package leader

import (
	"context"
	"time"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sched"
)

// Lease is a seat that was taken.
type Lease struct {
	Service        string
	Row            LeaseRow
	Version        int64 // of the seat's row
	Token          int64 // fencing token of this tenure: higher than any earlier one of the service
	AcquiredAt     time.Time
	HeartbeatEpoch int64         // of this daemon's signs of life when it was taken
	InheritedTTL   time.Duration // from AcquiredAt on, how long orders of an earlier holder may have effect on a silent runner
}

// Incarnation is a daemon's start.
type Incarnation struct {
	Name string
	Boot string
}

// Liveness knows of daemons' starts.
type Liveness interface {
	Alive(name, boot string) bool     // this start is known to be live
	Restarted(name, boot string) bool // this start is known to be over: the daemon has started again since
}

// Acquire makes this daemon the holder of a service; from a holder that is known to be live nothing is taken.
func Acquire(ctx context.Context, store *platform.Store, service string, me Incarnation, hold time.Duration, now func() time.Time, lives Liveness) (*Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	row, old, at, err := readSeat(ctx, store, service)
	if err != nil {
		return nil, err
	}
	them := Incarnation{old.Holder, old.Boot}
	if old.Holder != "" && !old.Released && them != me && lives.Alive(old.Holder, old.Boot) {
		return nil, fault.New(fault.Conflict, "%s is held by %s", service, old.Holder)
	}
	// A holder before the last one may also still be at it.
	over := max(old.InheritedUntil, at+foreign(old, me, hold, lives))
	seat := LeaseRow{Holder: me.Name, Boot: me.Boot, Term: old.Term + 1, InheritedUntil: over}
	value, err := encode(seat)
	if err != nil {
		return nil, err
	}
	key := place(tableHold, service, keySeat)
	stamp, err := store.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{RowKey: key, Version: row.Version}},
		Puts:       []platform.Row{{RowKey: key, Value: value}},
	})
	if fault.Is(err, fault.Unavailable) {
		stamp.Version, err = confirm(ctx, store, service, seat, err)
	}
	if err != nil {
		return nil, err
	}
	return &Lease{Service: service, Row: seat, Version: stamp.Version, Token: stamp.Version, AcquiredAt: now(), InheritedTTL: over - at}, nil
}

// foreign returns how long orders of the earlier holder may have effect after its seat was taken.
func foreign(old LeaseRow, me Incarnation, hold time.Duration, lives Liveness) time.Duration {
	lease := time.Duration(float64(hold)/(1-sched.MaxClockSkew)) + clockSlack
	if old.Holder == "" || old.Released || old.Holder == me.Name || lives.Restarted(old.Holder, old.Boot) {
		return lease // it gives no orders any more: it said so, or its daemon has started again
	}
	return LeaseGrace + lease
}

// confirm finds out whether a taking that wasn't answered took effect.
func confirm(ctx context.Context, store *platform.Store, service string, seat LeaseRow, cause error) (int64, error) {
	row, now, _, err := readSeat(ctx, store, service)
	if err != nil {
		return 0, err
	}
	if now != seat {
		return 0, cause
	}
	return row.Version, nil
}

// readSeat returns the seat's row, what it says, and the store's clock.
func readSeat(ctx context.Context, store *platform.Store, service string) (platform.Row, LeaseRow, time.Duration, error) {
	page, err := store.GetRow(ctx, place(tableHold, service, keySeat))
	if err != nil || len(page.Rows) == 0 {
		return platform.Row{}, LeaseRow{}, page.Now, err
	}
	var s LeaseRow
	err = decode(page.Rows[0], &s)
	return page.Rows[0], s, page.Now, err
}
