package holder

import (
	"context"
	"time"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sched"
)

// Claim is a seat that was taken.
type Claim struct {
	Service string
	Seat    Seat
	Version int64 // of the seat's row
	Token   int64 // fencing token of this tenure: higher than any earlier one of the service
	Taken   time.Time
	Spell   int64         // of this daemon's signs of life when it was taken
	Foreign time.Duration // from Taken on, how long orders of an earlier holder may have effect on a silent runner
}

// Who is a daemon's start.
type Who struct {
	Name string
	Boot string
}

// Lives knows of daemons' starts.
type Lives interface {
	Alive(name, boot string) bool     // this start is known to be live
	Restarted(name, boot string) bool // this start is known to be over: the daemon has started again since
}

// Take makes this daemon the holder of a service; from a holder that is known to be live nothing is taken.
func Take(ctx context.Context, store *platform.Store, service string, me Who, hold time.Duration, now func() time.Time, lives Lives) (*Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	row, old, at, err := readSeat(ctx, store, service)
	if err != nil {
		return nil, err
	}
	them := Who{old.Name, old.Boot}
	if old.Name != "" && !old.Released && them != me && lives.Alive(old.Name, old.Boot) {
		return nil, fault.New(fault.Conflict, "%s is held by %s", service, old.Name)
	}
	// A holder before the last one may also still be at it.
	over := max(old.Over, at+foreign(old, me, hold, lives))
	seat := Seat{Name: me.Name, Boot: me.Boot, Term: old.Term + 1, Over: over}
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
	return &Claim{Service: service, Seat: seat, Version: stamp.Version, Token: stamp.Version, Taken: now(), Foreign: over - at}, nil
}

// foreign returns how long orders of the earlier holder may have effect after its seat was taken.
func foreign(old Seat, me Who, hold time.Duration, lives Lives) time.Duration {
	lease := time.Duration(float64(hold)/(1-sched.MaxClockSkew)) + clockSlack
	if old.Name == "" || old.Released || old.Name == me.Name || lives.Restarted(old.Name, old.Boot) {
		return lease // it gives no orders any more: it said so, or its daemon has started again
	}
	return Coast + lease
}

// confirm finds out whether a taking that wasn't answered took effect.
func confirm(ctx context.Context, store *platform.Store, service string, seat Seat, cause error) (int64, error) {
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
func readSeat(ctx context.Context, store *platform.Store, service string) (platform.Row, Seat, time.Duration, error) {
	page, err := store.GetRow(ctx, place(tableHold, service, keySeat))
	if err != nil || len(page.Rows) == 0 {
		return platform.Row{}, Seat{}, page.Now, err
	}
	var s Seat
	err = decode(page.Rows[0], &s)
	return page.Rows[0], s, page.Now, err
}
