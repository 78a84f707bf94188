package claims

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/watch"
)

// Times of the book.
const (
	followGap = 200 * time.Millisecond  // between two looks for changes of the rows
	callLimit = 2 * time.Second         // for a call to the store or to the service for machines
	listAge   = 500 * time.Millisecond  // age at which the list of machines is read again
	turnSlack = 1500 * time.Millisecond // beyond the time between the orders of two daemons: their calls on their way
)

// table has a row for each machine that was ever given an order.
const table = "machine"

// Row says who last gave a machine orders.
type Row struct {
	Owner     string        `json:"by"`   // the daemon
	Boot      string        `json:"boot"` // its start
	ClaimedAt time.Duration `json:"at"`   // the store's clock when it claimed the machine
	Purpose   string        `json:"what"`
}

// Deps are what a book works with.
type Deps struct {
	Store    *platform.Store
	Machines *platform.MachineClient
	Log      *zap.Logger
	Name     string // of this daemon
	Boot     string // its start
	Now      clock.Clock
	TTL      time.Duration   // between the orders of two daemons for one machine
	Interest *watch.Interest // on while this daemon gives the orders
}

// Registry holds the rows and the list.
type Registry struct {
	Deps
	mu     sync.Mutex
	rows   map[string]known
	stamp  platform.Stamp
	at     time.Time // when stamp came
	ready  bool
	list   map[string]platform.Machine
	listed time.Time
	asking sync.Mutex
}

// known is a row as last seen.
type known struct {
	row     Row
	version int64
}

// New returns a book; Watch keeps it up to date.
func New(p Deps) *Registry {
	return &Registry{Deps: p, rows: map[string]known{}, list: map[string]platform.Machine{}}
}

// Watch keeps up with the rows until ctx ends.
func (b *Registry) Watch(ctx context.Context) error {
	f := watch.Watcher{Store: b.Store, Table: table, FromVersion: watch.FromSnapshot, Interval: followGap, Interest: b.Interest, Log: b.Log, Apply: b.apply}
	return f.Run(ctx)
}

func (b *Registry) apply(_ context.Context, page platform.Page, _ bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stamp, b.at, b.ready = page.Stamp, b.Deps.Now(), true
	for _, r := range page.Rows {
		b.take(r)
	}
	return nil
}

// take takes in a row; an older one than is known changes nothing.
func (b *Registry) take(r platform.Row) {
	if r.Table != table || r.Version < b.rows[r.Key].version || r.Deleted {
		return
	}
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		b.Log.Error("row of a machine can't be read", zap.String("machine", r.Key), zap.Error(err))
		return
	}
	b.rows[r.Key] = known{row, r.Version}
}

func (b *Registry) now() time.Duration { return b.stamp.Now + b.Deps.Now().Sub(b.at) }

// CanClaim tells whether this daemon may give a machine orders now: no other has done so lately.
func (b *Registry) CanClaim(machine string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ready {
		return false
	}
	r, ok := b.rows[machine]
	return !ok || r.row.Boot == b.Boot || b.now()-r.row.ClaimedAt > b.TTL+turnSlack
}

// Claim makes this daemon the one that gives these machines orders, together with other changes of the
// store; the result is the token of the orders that follow, and ok is false where nothing was changed.
func (b *Registry) Claim(ctx context.Context, what string, machines []string, with platform.Tx) (int64, bool) {
	tx, err := b.transaction(what, machines, with)
	if err != nil {
		b.Log.Error("claim can't be encoded", zap.Error(err))
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	stamp, err := b.Store.Commit(ctx, tx)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		for _, r := range tx.Puts {
			r.Version = stamp.Version
			b.take(r)
		}
		return stamp.Version, true
	}
	var c *platform.Conflict
	if errors.As(err, &c) {
		for _, r := range c.Rows {
			b.take(r)
		}
	} else {
		b.Log.Warn("machines not claimed", zap.Strings("machines", machines), zap.Error(err))
	}
	return 0, false
}

func (b *Registry) transaction(what string, machines []string, with platform.Tx) (platform.Tx, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	value, err := json.Marshal(Row{Owner: b.Name, Boot: b.Boot, ClaimedAt: b.now(), Purpose: what})
	if err != nil {
		return with, fault.Wrap(fault.Internal, err, "encode the row of a machine")
	}
	for _, m := range machines {
		at := platform.RowKey{Table: table, Key: m}
		with.Conditions = append(with.Conditions, platform.Condition{RowKey: at, Version: b.rows[m].version})
		with.Puts = append(with.Puts, platform.Row{RowKey: at, Value: value})
	}
	return with, nil
}

// List returns the machines by their names, not older than some hundred milliseconds, and when it was read; ok is false where there is none.
func (b *Registry) List(ctx context.Context) (map[string]platform.Machine, time.Time, bool) {
	b.asking.Lock()
	defer b.asking.Unlock()
	b.mu.Lock()
	list, listed := b.list, b.listed
	b.mu.Unlock()
	now := b.Deps.Now()
	if now.Sub(listed) < listAge {
		return list, listed, true
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	all, err := b.Machines.List(ctx)
	if err != nil {
		b.Log.Warn("list of machines not read", zap.Error(err))
		return nil, listed, false
	}
	fresh := make(map[string]platform.Machine, len(all))
	for _, m := range all {
		fresh[m.Name] = m
	}
	b.mu.Lock()
	b.list, b.listed = fresh, now
	b.mu.Unlock()
	return maps.Clone(fresh), now, true
}
