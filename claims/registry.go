package claims

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/watch"
)

// Intervals and timeouts.
const (
	watchInterval = 200 * time.Millisecond  // between reads of changed claims
	callTimeout   = 2 * time.Second         // for a call to the store or the machine service
	maxListAge    = 500 * time.Millisecond  // an older list of machines is read again
	permitTTL     = 1800 * time.Millisecond // orders may be sent for this long after a claim
	claimSlack    = 700 * time.Millisecond  // for orders in flight when a permit expires, and for the clocks' rates
)

// table has a row for each machine that was ever claimed.
const table = "machine"

// Row is the stored claim of a machine: which daemon last claimed it to give it orders.
type Row struct {
	Owner     string        `json:"by"`   // name of the daemon
	Boot      string        `json:"boot"` // the daemon's incarnation
	ClaimedAt time.Duration `json:"at"`   // time on the store's clock
	Purpose   string        `json:"what"` // what the orders are for
}

// Deps are the dependencies of a Registry.
type Deps struct {
	Store    *platform.Store
	Machines *platform.MachineClient
	Log      *zap.Logger
	Name     string // name of this daemon
	Boot     string // incarnation of this daemon
	Now      clock.Clock
	TTL      time.Duration   // minimum time between orders of two daemons for one machine
	Interest *watch.Interest // on while this daemon is the coordinator
}

// Registry holds the claim rows and the list of machines.
type Registry struct {
	Deps
	mu          sync.Mutex
	rows        map[string]versionedRow
	stamp       platform.Stamp
	stampAt     time.Time // when stamp was received
	synced      bool      // the claim rows have been read
	machineList map[string]platform.Machine
	listedAt    time.Time     // when the reading of machineList began
	reading     chan struct{} // closed when the reading in progress has ended; nil without one
}

// versionedRow is the last known content of a claim row and its version.
type versionedRow struct {
	row     Row
	version int64
}

// New returns an empty registry; Watch keeps it up to date.
func New(deps Deps) *Registry {
	return &Registry{Deps: deps, rows: map[string]versionedRow{}, machineList: map[string]platform.Machine{}}
}

// Watch follows the claim rows until ctx ends.
func (r *Registry) Watch(ctx context.Context) error {
	watcher := watch.Watcher{Store: r.Store, Table: table, FromVersion: watch.FromSnapshot, Interval: watchInterval, Interest: r.Interest, Log: r.Log, Apply: r.apply}
	return watcher.Run(ctx)
}

// apply records the rows of a page and its stamp.
func (r *Registry) apply(_ context.Context, page platform.Page, _ bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stamp, r.stampAt, r.synced = page.Stamp, r.Deps.Now(), true
	for _, row := range page.Rows {
		r.record(row)
	}
	return nil
}

// record updates the known claim of a machine; a row older than the known one is ignored.
func (r *Registry) record(row platform.Row) {
	if row.Table != table || row.Version < r.rows[row.Key].version || row.Deleted {
		return
	}
	var claim Row
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		r.Log.Error("cannot decode machine claim", zap.String("machine", row.Key), zap.Error(err))
		return
	}
	r.rows[row.Key] = versionedRow{claim, row.Version}
}

// storeNow estimates the store's clock from the last stamp. The caller holds r.mu.
func (r *Registry) storeNow() time.Duration { return r.stamp.Now + r.Deps.Now().Sub(r.stampAt) }

// CanClaim reports whether this daemon may claim a machine now: it holds the last claim, the orders permitted by that
// claim are TTL ago, or there is none. It returns false until the claim rows have been read.
func (r *Registry) CanClaim(machine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canClaim(machine)
}

// canClaim is CanClaim for callers that hold r.mu.
func (r *Registry) canClaim(machine string) bool {
	if !r.synced {
		return false
	}
	last, ok := r.rows[machine]
	return !ok || last.row.Boot == r.Boot || r.quietAt(last.row, r.Deps.Now())
}

// QuietAt reports whether all permits of orders for a machine, of any daemon, had ended at least TTL before a time.
func (r *Registry) QuietAt(machine string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced && r.quietAt(r.rows[machine].row, at)
}

// quietAt is QuietAt for a machine's last claim. The caller holds r.mu.
func (r *Registry) quietAt(last Row, at time.Time) bool {
	return r.stamp.Now+at.Sub(r.stampAt)-last.ClaimedAt > permitTTL+claimSlack+r.TTL
}

// Recent returns the machines that an order may take down now, or may have taken down a moment ago, with the versions of
// their claims, whichever daemon made them.
func (r *Registry) Recent() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := map[string]int64{}
	for machine, claim := range r.rows {
		if r.synced && !r.quietAt(claim.row, r.Deps.Now()) {
			recent[machine] = claim.version
		}
	}
	return recent
}

// Claim claims machines for this daemon, in one transaction with other changes of the store, and returns the permit of
// the orders that were decided on at a time. It returns false if nothing was changed, or if a machine can't be claimed now.
func (r *Registry) Claim(ctx context.Context, decidedAt time.Time, purpose string, machines []string, changes platform.Tx) (platform.OrderPermit, bool) {
	tx, claimedAt, err := r.claimTx(purpose, machines, changes)
	if err != nil {
		r.Log.Warn("cannot claim machines", zap.Strings("machines", machines), zap.Error(err))
		return platform.OrderPermit{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stamp, err := r.Store.Commit(ctx, tx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		for _, row := range tx.Puts {
			row.Version = stamp.Version
			r.record(row)
		}
		return r.permit(decidedAt, claimedAt, stamp, machines), true
	}
	var conflict *platform.Conflict
	if errors.As(err, &conflict) {
		for _, row := range conflict.Rows {
			r.record(row)
		}
	} else {
		r.Log.Warn("cannot claim machines", zap.Strings("machines", machines), zap.Error(err))
	}
	return platform.OrderPermit{}, false
}

// permit returns the permit of a claim that names claimedAt. Other daemons count from claimedAt, which may lie before the
// store's time when the claim was sent. The store's time now is at most its stamp plus the time since then, and the orders
// were decided on before that. A later claim of one of the machines ends the permit: an order under it could follow one with
// a higher fencing token.
func (r *Registry) permit(decidedAt time.Time, claimedAt time.Duration, stamp platform.Stamp, machines []string) platform.OrderPermit {
	expiresAt := decidedAt.Add(permitTTL - max(stamp.Now-claimedAt, 0))
	valid := func() bool { return r.Deps.Now().Before(expiresAt) && !r.claimedSince(stamp.Version, machines) }
	return platform.OrderPermit{Holder: r.Name, Token: stamp.Version, Valid: valid}
}

// claimedSince reports whether one of the machines has a claim with a higher version.
func (r *Registry) claimedSince(version int64, machines []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(machines, func(machine string) bool { return r.rows[machine].version > version })
}

// claimTx adds the claims of machines to a transaction. It returns the time that they name.
func (r *Registry) claimTx(purpose string, machines []string, tx platform.Tx) (platform.Tx, time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claimedAt := r.storeNow()
	value, err := json.Marshal(Row{Owner: r.Name, Boot: r.Boot, ClaimedAt: claimedAt, Purpose: purpose})
	if err != nil {
		return tx, 0, fault.Wrap(fault.Internal, err, "encode machine claim")
	}
	for _, machine := range machines {
		if !r.canClaim(machine) {
			return tx, 0, fault.New(fault.Conflict, "another daemon may order machine %s; try later", machine)
		}
		key := platform.RowKey{Table: table, Key: machine}
		tx.Conditions = append(tx.Conditions, platform.Condition{RowKey: key, Version: r.rows[machine].version})
		tx.Puts = append(tx.Puts, platform.Row{RowKey: key, Value: value})
	}
	return tx, claimedAt, nil
}

// List returns the machines by name and when the list was read, at most maxListAge ago. It returns false if the list
// could not be read. Concurrent calls share one reading. The map is the caller's own.
func (r *Registry) List(ctx context.Context) (map[string]platform.Machine, time.Time, bool) {
	for {
		r.mu.Lock()
		list, listedAt, reading := r.machineList, r.listedAt, r.reading
		now := r.Deps.Now()
		if now.Sub(listedAt) < maxListAge {
			r.mu.Unlock()
			return maps.Clone(list), listedAt, true
		}
		if reading == nil {
			reading = make(chan struct{})
			r.reading = reading
			r.mu.Unlock()
			return r.readList(ctx, now)
		}
		r.mu.Unlock()
		select {
		case <-reading:
		case <-ctx.Done():
			return nil, listedAt, false
		}
	}
}

// readList reads the list of machines for all callers that wait for it.
func (r *Registry) readList(ctx context.Context, now time.Time) (map[string]platform.Machine, time.Time, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := r.Machines.List(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.reading)
	r.reading = nil
	if err != nil {
		r.Log.Warn("cannot list machines", zap.Error(err))
		return nil, r.listedAt, false
	}
	byName := make(map[string]platform.Machine, len(all))
	for _, machine := range all {
		byName[machine.Name] = machine
	}
	r.machineList, r.listedAt = byName, now
	return maps.Clone(byName), now, true
}
