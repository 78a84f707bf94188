package leader

import (
	"context"
	"time"

	"gypsumlead/fault"
	"gypsumlead/member"
	"gypsumlead/platform"
	"gypsumlead/sched"
)

// Lease is an acquired lease of leadership.
type Lease struct {
	Service        string
	Row            LeaseRow
	Version        int64 // of the lease row
	Token          int64 // fencing token of this term, higher than those of all earlier terms of the service
	AcquiredAt     time.Time
	HeartbeatEpoch int64         // epoch of this daemon's heartbeats when it acquired the lease; set by the caller of Acquire
	InheritedTTL   time.Duration // time after AcquiredAt in which orders of an earlier leader may still take effect on a silent runner
}

// Incarnation identifies one life of a daemon, from its start to its end.
type Incarnation struct {
	Name string
	Boot string
}

// Liveness reports what is known about incarnations of daemons.
type Liveness interface {
	Observe(row platform.Row)         // learns of a daemon's row, as the store has it
	Gone(name, boot string) bool      // the incarnation, whose daemon's row was observed, is not live any more
	Restarted(name, boot string) bool // the incarnation is known to have ended, because the daemon has started again
	// LastChange returns the version of the incarnation's last known heartbeat and a time by which the store had it, or
	// false if none is known.
	LastChange(name, boot string) (version int64, at time.Time, ok bool)
}

// Acquire makes this daemon the leader of a service. It returns a fault.Conflict while another incarnation that may be live
// holds the lease. timing holds the durations by which an earlier leader's orders end.
func Acquire(ctx context.Context, store *platform.Store, service string, self Incarnation, timing Timing, now func() time.Time, liveness Liveness) (*Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	readAt := now()
	row, previous, storeTime, err := readLease(ctx, store, service)
	if err != nil {
		return nil, err
	}
	silence, silent, err := silenceOf(ctx, store, previous, readAt, liveness)
	if err != nil {
		return nil, err
	}
	if previous.Holder != "" && !previous.Released && previous.Holder != self.Name && !liveness.Gone(previous.Holder, previous.Boot) {
		return nil, fault.New(fault.Conflict, "%s is led by %s", service, previous.Holder)
	}
	ttl := timing.inheritedTTL(previous, self, liveness)
	if silent && previous.Capped {
		ttl = min(ttl, timing.afterHeartbeat()-silence)
	}
	// Orders of leaders before the previous one may also still take effect.
	inheritedUntil := max(previous.InheritedUntil, storeTime+ttl)
	leaseRow := LeaseRow{Holder: self.Name, Boot: self.Boot, Term: previous.Term + 1, Capped: true, Placements: previous.Placements || previous.Holder == "", InheritedUntil: inheritedUntil}
	value, err := encode(leaseRow)
	if err != nil {
		return nil, err
	}
	key := rowKey(tableLease, service, keyLease)
	stamp, err := store.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{RowKey: key, Version: row.Version}},
		Puts:       []platform.Row{{RowKey: key, Value: value}},
	})
	if fault.Is(err, fault.Unavailable) {
		stamp.Version, err = confirmAcquired(ctx, store, service, leaseRow, err)
	}
	if err != nil {
		return nil, err
	}
	return &Lease{Service: service, Row: leaseRow, Version: stamp.Version, Token: stamp.Version, AcquiredAt: now(), InheritedTTL: inheritedUntil - storeTime}, nil
}

// earlierGrace is how long leaders of earlier releases continue, and give whole leases, after their last heartbeat has timed
// out.
const earlierGrace = 8 * time.Second

// Timing holds the durations by which a leader's orders end.
type Timing struct {
	RunnerLease      time.Duration // that an order gives a runner
	HeartbeatTimeout time.Duration // after which a daemon without a new heartbeat isn't known to be alive
}

// slowed returns how long a lease may last by a runner's clock.
func slowed(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-sched.MaxClockSkew)) + clockSlack
}

// afterHeartbeat returns how long after its last heartbeat a leader's orders may take effect: it gives orders, and leases
// to runners, until the end of its grace.
func (t Timing) afterHeartbeat() time.Duration { return slowed(t.HeartbeatTimeout + LeaseGrace) }

// inheritedTTL returns how long orders of the previous leader may still take effect once this daemon has acquired the
// lease, as far as that doesn't depend on the time of its last heartbeat.
func (t Timing) inheritedTTL(previous LeaseRow, self Incarnation, liveness Liveness) time.Duration {
	if previous.Released && previous.Idle {
		return 0 // only leaders before it count
	}
	if previous.Holder == "" || previous.Released || previous.Holder == self.Name || liveness.Restarted(previous.Holder, previous.Boot) {
		return slowed(t.RunnerLease) // gives no more orders: it released the lease, or its daemon has restarted
	}
	if !previous.Capped {
		return earlierGrace + slowed(t.RunnerLease)
	}
	return t.afterHeartbeat() // its last heartbeat may be unknown here
}

// silenceOf observes the heartbeat of a lease's holder in the store. It returns for how long the holder has had no heartbeat that
// can still prolong its orders, as of a time after which the lease's row was read, and false if that is unknown. A heartbeat
// that the store carries out later doesn't count before the store has confirmed the lease with it, and that changes the lease's
// row.
func silenceOf(ctx context.Context, store *platform.Store, previous LeaseRow, readAt time.Time, liveness Liveness) (time.Duration, bool, error) {
	if previous.Holder == "" {
		return 0, false, nil
	}
	version, at, known := liveness.LastChange(previous.Holder, previous.Boot)
	page, err := store.GetRow(ctx, member.RowKey(previous.Holder))
	if err != nil && known {
		return 0, false, nil // what is known here has to do
	}
	if err != nil || len(page.Rows) != 1 {
		return 0, false, err
	}
	row := page.Rows[0]
	liveness.Observe(row)
	if !known || readAt.Before(at) || row.Version != version {
		return 0, false, nil
	}
	return readAt.Sub(at), true, nil
}

// confirmAcquired reads the lease row to find out whether an unanswered acquisition took effect. It returns the row's
// version, or cause if the acquisition did not take effect.
func confirmAcquired(ctx context.Context, store *platform.Store, service string, want LeaseRow, cause error) (int64, error) {
	row, current, _, err := readLease(ctx, store, service)
	if err != nil {
		return 0, err
	}
	if current != want {
		return 0, cause
	}
	return row.Version, nil
}

// readLease returns the lease row, its decoded value, and the store's clock.
func readLease(ctx context.Context, store *platform.Store, service string) (platform.Row, LeaseRow, time.Duration, error) {
	page, err := store.GetRow(ctx, rowKey(tableLease, service, keyLease))
	if err != nil || len(page.Rows) == 0 {
		return platform.Row{}, LeaseRow{}, page.Now, err
	}
	var leaseRow LeaseRow
	err = decode(page.Rows[0], &leaseRow)
	return page.Rows[0], leaseRow, page.Now, err
}
