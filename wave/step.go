package wave

import (
	"context"
	"reflect"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/pool"
)

// stepWave does what is due in one wave, writes the progress, then takes further instances.
func (d *Driver) stepWave(ctx context.Context, name string) error {
	s, err := d.current(ctx, name)
	if err != nil {
		return err
	}
	if !s.part.Ended.IsZero() {
		d.ended[name] = true
		delete(d.loaded, name)
		return nil
	}
	if s.strange() {
		delete(d.loaded, name)
		return nil
	}
	v := d.view()
	events, err := d.perform(ctx, s, v)
	if err != nil {
		return err
	}
	n, err := s.advance(events, v, d.limits)
	if err != nil {
		return err
	}
	version := s.rows.Row(Key(name, d.pool)).Version
	if n.changed(s) {
		d.outdate(name)
		if err := d.commit(ctx, s, n); err != nil {
			return err
		}
		version++
	}
	d.forget(n.part)
	if len(n.picked) == 0 {
		return nil
	}
	defer d.outdate(name)
	return d.take(ctx, name, version, v)
}

// outcome is what one step makes of a snapshot.
type outcome struct {
	part   Part
	state  pool.State
	stop   Stop
	events []Event
	picked []pool.Take // instances that may be taken after this step
	wait   error       // what forbids a further take
	view   pool.View
}

// advance is the pure part of a step: the events of the acts and of the platform's list change
// the progress, and the result says what to take next.
func (s snapshot) advance(acted []Event, v pool.View, l Limits) (outcome, error) {
	now := s.rows.Now
	n := outcome{part: s.part, state: s.pool.State, stop: s.stop, view: v}
	seen := s.part.Observe(s.rec, n.state, v, l, now)
	n.events = joinEvents(seen, acted)
	var err error
	for _, e := range n.events {
		if n.part, err = n.part.Apply(e, now); err != nil {
			return n, err
		}
		if e, came := e.(Came); came {
			if n.state, err = n.state.Return(e.Instance, s.part.Wave, v, now); err != nil {
				return n, err
			}
		}
	}
	losses := pool.Losses(n.state, v, now)
	if why, names := n.part.correlated(n.state, s.pool.Record.Budget, losses, s.stop.Known, l); why != "" && !s.stopped() {
		n.stop = Stop{At: now, Pool: s.part.Pool, Why: why, Resumed: s.rec.Resumed, Known: append(n.stop.Known, names...)}
	}
	s.stop = n.stop
	n.finish(s, v)
	return n, n.part.Check(n.state)
}

// finish ends the part or looks for what it can take next.
func (n *outcome) finish(s snapshot, v pool.View) {
	now := s.rows.Now
	n.part.Why = ""
	if n.part.Left() == 0 {
		n.part.Ended = now
		return
	}
	if n.wait = s.hold(); n.wait == nil {
		_, n.picked, n.wait = n.part.Pick(s.rec, s.pool.Record.Budget, n.state, v, now)
	}
	if n.wait != nil && len(n.picked) == 0 && n.part.Out() == 0 {
		n.part.Why = n.wait.Error()
	}
}

// changed tells whether there is anything to write.
func (n outcome) changed(s snapshot) bool {
	return s.rows.Row(Key(n.part.Wave, n.part.Pool)).Version == 0 ||
		!reflect.DeepEqual(n.part, s.part) ||
		!reflect.DeepEqual(n.stop, s.stop)
}

// eventLimit bounds the events of one transaction that write audit entries.
const eventLimit = 64

// joinEvents keeps one event an instance: what the list shows goes before what the acts gave.
// What is over the limit comes up again in the next step.
func joinEvents(seen, acted []Event) []Event {
	got := make(map[string]bool, len(seen))
	var out []Event
	audited := 0
	for _, e := range append(seen, acted...) {
		_, joins := e.(Joined)
		if got[e.instance()] || !joins && audited == eventLimit {
			continue
		}
		got[e.instance()] = true
		out = append(out, e)
		if !joins {
			audited++
		}
	}
	return out
}

// commit writes the step's result and its audit entries on the rows read, under the lease.
func (d *Driver) commit(ctx context.Context, s snapshot, n outcome) error {
	ops := []backing.Op{d.lease.Cond()}
	for _, row := range []struct {
		key  string
		v    any
		skip bool
	}{
		{Key(n.part.Wave, d.pool), n.part, false},
		{pool.Key(d.pool), n.state, reflect.DeepEqual(n.state, s.pool.State)},
		{StopKey(n.part.Wave), n.stop, reflect.DeepEqual(n.stop, s.stop)},
	} {
		if row.skip {
			continue
		}
		op, err := s.rows.PutRow(row.key, row.v)
		if err != nil {
			return err
		}
		ops = append(ops, op)
	}
	for _, e := range d.entriesOf(s, n) {
		more, err := audit.Ops(e)
		if err != nil {
			return err
		}
		ops = append(ops, more...)
	}
	if err := d.lease.Check(); err != nil {
		return err
	}
	err := d.table.Commit(ctx, backing.Tx{Ops: ops})
	return fault.Wrap(fault.KindOf(err), err, "write the progress of wave %s in pool %s", n.part.Wave, d.pool)
}

// forget drops what the driver remembers of instances that the part is through with.
func (d *Driver) forget(p Part) {
	for k := range d.acks {
		if it, ok := p.Item(k.instance); ok && it.State.IsFinal() {
			delete(d.acks, k)
		}
	}
	for id := range d.asked {
		if it, ok := p.Item(id); ok && it.State.IsFinal() {
			delete(d.asked, id)
		}
	}
}
