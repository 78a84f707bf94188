package wave

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/pool"
)

// daemon is one entry's control duties: it takes the pools' leases as they come free.
type daemon struct {
	w       *world
	id      string
	gate    *gate
	leases  map[string]*testLease
	drivers map[string]*Driver
	seen    pool.View
	asleep  bool      // it is paused further up the stack
	upAt    time.Time // end of its absence after a kill
}

// boot starts the daemon anew, with nothing kept.
func (d *daemon) boot() {
	d.gate = &gate{w: d.w, d: d}
	d.leases = map[string]*testLease{}
	d.drivers = map[string]*Driver{}
	d.seen = d.w.view()
}

func (d *daemon) tick() {
	if d.asleep || d.w.now.Before(d.upAt) {
		return
	}
	if d.w.rnd.IntN(3) > 0 {
		d.seen = d.w.view()
	}
	for _, name := range d.w.pools {
		if d.hold(name) {
			d.w.check(d.id, d.drivers[name].Step(context.Background()))
		}
		if d.gate.dead {
			d.w.kills++
			d.upAt = d.w.now.Add(time.Duration(d.w.rnd.IntN(30)) * time.Second)
			d.boot()
			return
		}
	}
}

// hold renews the lease of a pool or takes it where it has lapsed.
func (d *daemon) hold(name string) bool {
	if l := d.leases[name]; l != nil && l.Until.Sub(d.w.now) > leaseLife/2 {
		return true
	}
	var row testLease
	key := "lease/" + name
	rows, err := d.gate.Read(context.Background(), key)
	if err != nil {
		return false
	}
	if rows[0].Version > 0 && json.Unmarshal(rows[0].Value, &row) != nil {
		return false
	}
	mine := d.leases[name]
	if d.w.now.Before(row.Until) && (mine == nil || rows[0].Version != mine.version) {
		return false
	}
	next := testLease{Until: d.w.now.Add(leaseLife), w: d.w, key: key, version: rows[0].Version + 1}
	value, _ := json.Marshal(next)
	if d.gate.Commit(context.Background(), backing.Tx{Ops: []backing.Op{backing.Put{Key: key, IfVersion: rows[0].Version, Value: value}}}) != nil {
		return false
	}
	if mine != nil && rows[0].Version == mine.version {
		*mine = next
		return true
	}
	d.leases[name] = &next
	d.drivers[name] = d.newDriver(name, &next)
	return true
}

func (d *daemon) newDriver(name string, l Lease) *Driver {
	limits := DefaultLimits()
	limits.Patience = 2 * time.Minute
	limits.Parallel = 1
	return NewDriver(name, Parts{
		Table:     d.gate,
		Writer:    journal.NewWriter(d.gate, journal.WithClock(d.w.clock, d.w.sleep)),
		Instances: d.gate,
		Entries:   d.gate,
		Lease:     l,
		View:      func() pool.View { return d.seen },
		Waves:     func() []string { return slices.Sorted(maps.Keys(d.w.waves)) },
	}, WithClock(d.w.clock), WithLimits(limits), WithActor(d.id))
}

// testLease is a lease on a row: a newer holder changes the row's version.
type testLease struct {
	Until   time.Time `json:"until"`
	w       *world
	key     string
	version int64
}

func (l *testLease) Check() error {
	if !l.w.now.Before(l.Until.Add(-leaseEdge)) {
		return fault.New(fault.Fenced, "lease %s is over", l.key)
	}
	return nil
}

func (l *testLease) Cond() backing.Op {
	return backing.Check{Key: l.key, Version: l.version}
}

var errCut = errors.New("the daemon is cut off")

// gate is a daemon's way to the outside: at each call it may be killed before or after the
// effect, paused for longer than its lease, or lose the answer. A gate without a daemon is an operator's.
type gate struct {
	w    *world
	d    *daemon
	dead bool

	hidden string // wave that the last reading showed its own takes only
}

// pass runs one call; only writes can lose their answer.
func (g *gate) pass(store, write bool, f func() error) error {
	w := g.w
	if g.dead {
		return errCut
	}
	if store && w.down {
		return fault.New(fault.StoreDown, "the table is down")
	}
	luck := w.rnd.Float64() / max(w.chaos, 1e-9)
	if g.d != nil {
		w.calls++
		if w.calls == w.killAt {
			luck = map[bool]float64{false: 0, true: 0.5}[w.killAfter]
		}
	}
	if g.d != nil && luck < 1 {
		switch {
		case luck < 0.2:
			g.dead = true
			return errCut
		case luck < 0.4:
			g.pause()
		}
	}
	err := f()
	if g.d != nil && luck >= 0.4 && luck < 0.6 {
		g.dead = true
		return errCut
	}
	if write && err == nil && luck >= 0.6 && luck < 1 {
		w.lost++
		return fault.New(fault.StoreDown, "the answer is lost")
	}
	return err
}

// pause lets the world go on without the daemon, for up to four times the life of a lease.
func (g *gate) pause() {
	if g.d.asleep {
		return
	}
	g.w.pauses++
	g.d.asleep = true
	for range 1 + g.w.rnd.IntN(40) {
		g.w.tick()
	}
	g.d.asleep = false
}

func (g *gate) Read(ctx context.Context, keys ...string) (rows []backing.Row, err error) {
	err = g.pass(true, false, func() error {
		rows, err = g.w.p.Table.Read(ctx, keys...)
		if g.w.off == "row" && err == nil {
			g.own(rows)
		}
		return err
	})
	return rows, err
}

func (g *gate) Scan(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	return g.w.p.Table.Scan(ctx, prefix, after, limit)
}

func (g *gate) Commit(ctx context.Context, tx backing.Tx) error {
	return g.pass(true, true, func() error {
		if g.w.off == "row" {
			tx = g.joined(tx)
		}
		err := g.w.p.Table.Commit(ctx, tx)
		if err == nil {
			g.w.committed(tx)
		}
		return err
	})
}

func (g *gate) List(ctx context.Context) ([]backing.Instance, error) {
	return g.w.p.Instances.List(ctx)
}

func (g *gate) Drain(ctx context.Context, id, boot string) error {
	return g.pass(false, true, func() error { return g.w.p.Instances.Drain(ctx, id, boot) })
}

func (g *gate) Reboot(ctx context.Context, r backing.Reboot) error {
	if g.w.late > 0 {
		// The holder has checked its lease; the world goes on before its request is sent.
		ticks := g.w.late
		g.w.late = 0
		g.d.asleep = true
		for range ticks {
			g.w.tick()
		}
		g.d.asleep = false
	}
	return g.pass(false, true, func() error {
		if g.w.off == "boot" {
			in, err := g.w.p.Instance(r.Instance)
			if err != nil {
				return err
			}
			r.Boot = in.Boot
		}
		g.w.beforeReboot(r)
		return g.w.p.Instances.Reboot(ctx, r)
	})
}

func (g *gate) Quiet(_ context.Context, in backing.Instance, instance, boot string, seq int64) (have, progress int64, err error) {
	for _, e := range g.w.entries {
		if e.id == in.ID {
			err = g.pass(false, false, func() error { return e.quiet(g.w, instance, boot, &have, &progress) })
		}
	}
	if err != nil && g.w.off == "silent" {
		return seq, 0, nil
	}
	return have, progress, err
}
