package leader

import (
	"context"
	"time"

	"gypsumlead/fault"
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
	Alive(name, boot string) bool     // the incarnation is known to be alive
	Restarted(name, boot string) bool // the incarnation is known to have ended, because the daemon has started again
}

// Acquire makes this daemon the leader of a service. It returns a fault.Conflict while another incarnation that is
// known to be alive holds the lease. runnerLeaseTTL is the TTL of the runners' leases.
func Acquire(ctx context.Context, store *platform.Store, service string, self Incarnation, runnerLeaseTTL time.Duration, now func() time.Time, liveness Liveness) (*Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, previous, storeTime, err := readLease(ctx, store, service)
	if err != nil {
		return nil, err
	}
	previousLeader := Incarnation{previous.Holder, previous.Boot}
	if previous.Holder != "" && !previous.Released && previousLeader != self && liveness.Alive(previous.Holder, previous.Boot) {
		return nil, fault.New(fault.Conflict, "%s is led by %s", service, previous.Holder)
	}
	// Orders of leaders before the previous one may also still take effect.
	inheritedUntil := max(previous.InheritedUntil, storeTime+inheritedTTL(previous, self, runnerLeaseTTL, liveness))
	leaseRow := LeaseRow{Holder: self.Name, Boot: self.Boot, Term: previous.Term + 1, Placements: previous.Placements || previous.Holder == "", InheritedUntil: inheritedUntil}
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

// inheritedTTL returns how long orders of the previous leader may still take effect once this daemon has acquired the
// lease.
func inheritedTTL(previous LeaseRow, self Incarnation, runnerLeaseTTL time.Duration, liveness Liveness) time.Duration {
	runnerLease := time.Duration(float64(runnerLeaseTTL)/(1-sched.MaxClockSkew)) + clockSlack
	if previous.Holder == "" || previous.Released || previous.Holder == self.Name || liveness.Restarted(previous.Holder, previous.Boot) {
		return runnerLease // gives no more orders: it released the lease, or its daemon has restarted
	}
	return LeaseGrace + runnerLease
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
