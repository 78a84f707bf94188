package home

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/work"
)

const (
	callTimeout  = 2 * time.Second // for a call to the store
	minFormerTTL = time.Second     // of what Former has read: numbers of pending jobs may be 2 s old
	maxAttempts  = 8               // at opening a gate, while other daemons change its rows
)

// Directory knows the gates of queues, as the store last had them. It is safe for concurrent use.
type Directory struct {
	store *platform.Store
	log   *zap.Logger

	mu      sync.Mutex
	gates   map[gateID]Gate
	opening map[gateID]chan struct{} // closed when the attempt to open a gate has ended
	former  map[gateID]formerServices
}

// formerServices are the other services that may have jobs of a queue whose gate isn't open.
type formerServices struct {
	services []string
	config   int64     // version of the configuration that sends the queue here
	since    time.Time // when they were first read with that version
	readAt   time.Time
}

// gateID identifies the gate of a queue at a service.
type gateID struct{ service, path string }

// NewDirectory returns a Directory that knows no gates.
func NewDirectory(store *platform.Store, log *zap.Logger) *Directory {
	return &Directory{store: store, log: log, gates: map[gateID]Gate{}, opening: map[gateID]chan struct{}{}, former: map[gateID]formerServices{}}
}

// Known returns the open gate of a queue at the service that the queue is sent to, if it is known here.
func (d *Directory) Known(q work.Queue) (Gate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gate, ok := d.gates[gateID{q.Service, q.Key()}]
	return gate, ok
}

// Open returns the open gate of a queue at the service that the queue is sent to. It opens it if need be, and closes the one
// at the service that the queue was sent to before. The error wraps a Moved if the store knows of a later configuration
// that sends the queue elsewhere.
func (d *Directory) Open(ctx context.Context, q work.Queue) (Gate, error) {
	id := gateID{q.Service, q.Key()}
	for {
		d.mu.Lock()
		if gate, ok := d.gates[id]; ok {
			d.mu.Unlock()
			return gate, nil
		}
		ended, ok := d.opening[id]
		if !ok {
			d.opening[id] = make(chan struct{})
			d.mu.Unlock()
			return d.openAlone(ctx, id, q)
		}
		d.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return Gate{}, fault.Wrap(fault.Overload, ctx.Err(), "wait for the gate of a queue")
		}
	}
}

// openAlone opens a gate while the callers that need the same one wait.
func (d *Directory) openAlone(ctx context.Context, id gateID, q work.Queue) (Gate, error) {
	gate, err := d.open(ctx, q)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.gates[id] = gate
	}
	close(d.opening[id])
	delete(d.opening, id)
	return gate, err
}

// Forget drops a gate whose row has another version by now, so that it is read anew.
func (d *Directory) Forget(g Gate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id := (gateID{g.Service, g.Path}); d.gates[id].Version == g.Version {
		delete(d.gates, id)
	}
}

// Load reads the open gates at a service, so that the first requests for its queues need not wait for them. It reports whether the
// store has any gate there, open or not.
func (d *Directory) Load(ctx context.Context, service string, queues []work.Queue) (bool, error) {
	page, err := d.store.ScanPartition(ctx, tableGate, service)
	if err != nil {
		return false, err
	}
	rows := map[string]platform.Row{}
	for _, row := range page.Rows {
		rows[row.Key] = row
	}
	for _, q := range queues {
		row, ok := rows[keyOf(q.Key())]
		if !ok {
			continue
		}
		var value gateRow
		if err := decode(row, &value); err != nil {
			return true, err
		}
		if value.Open {
			d.Record(q, row.Version, value.Former)
		}
	}
	return len(rows) > 0, nil
}

// Record records the open gate of a queue at the service that the queue is sent to, as the store or another daemon has it, unless a
// later version of its row is known. Transactions through a gate that has changed since fail.
func (d *Directory) Record(q work.Queue, version int64, former []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := gateID{q.Service, q.Key()}
	if d.gates[id].Version < version {
		d.gates[id] = Gate{q.Service, q.Key(), version, former}
	}
}

// Former returns the other services that may have jobs of a queue. As long as its gate isn't open here, they are read again, the less
// often the longer the configuration has been known: only daemons that go by an earlier one can add a service.
func (d *Directory) Former(ctx context.Context, q work.Queue, now time.Time) ([]string, error) {
	if gate, ok := d.Known(q); ok {
		return gate.Former, nil
	}
	id := gateID{q.Service, q.Key()}
	d.mu.Lock()
	known, ok := d.former[id]
	d.mu.Unlock()
	if ok && known.config == q.Version && now.Sub(known.readAt) < max(minFormerTTL, known.readAt.Sub(known.since)) {
		return known.services, nil
	}
	services, err := d.Services(ctx, q.Key())
	if err != nil {
		return nil, err
	}
	services = slices.DeleteFunc(services, func(service string) bool { return service == q.Service })
	next := formerServices{services: services, config: q.Version, since: now, readAt: now}
	if ok && known.config == q.Version {
		next.since = known.since
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.former[id] = next
	return services, nil
}

// DropFormer drops a former service of an open gate, which has no jobs of the queue any more and can get none while the gate is
// open. It returns the gate without it.
func (d *Directory) DropFormer(ctx context.Context, g Gate, service string) (Gate, error) {
	home, version, err := d.readHome(ctx, g.Path)
	if err != nil {
		return g, err
	}
	if home.Service == g.Service && slices.Contains(home.Former, service) {
		home.Former = without(home.Former, service)
		if _, err := d.put(ctx, homeKey(g.Path), version, home); err != nil {
			return g, err
		}
	}
	d.Forget(g)
	next := Gate{Service: g.Service, Path: g.Path, Former: without(g.Former, service)}
	if next.Version, err = d.put(ctx, g.Key(), g.Version, gateRow{Open: true, Config: home.Config, Former: next.Former}); err != nil {
		return g, err
	}
	d.log.Info("queue has no jobs left where it was sent before", zap.String("path", g.Path), zap.String("service", service))
	d.Record(work.Queue{Service: g.Service, Path: g.Path}, next.Version, next.Former)
	return next, nil
}

// without returns the services other than one.
func without(services []string, service string) []string {
	return slices.DeleteFunc(slices.Clone(services), func(name string) bool { return name == service })
}

// Services returns the services whose partitions may hold jobs of a queue, by a reading of the store: that which takes new ones
// first. It returns none if no job of the queue was ever stored.
func (d *Directory) Services(ctx context.Context, path string) ([]string, error) {
	home, version, err := d.readHome(ctx, path)
	if err != nil || version == 0 {
		return nil, err
	}
	return append([]string{home.Service}, home.Former...), nil
}

// open opens a gate by the rows in the store. Two daemons with different configurations may do so at the same time; the order of
// the steps and their conditions keep two gates of one queue from being open:
//
//   - the gate's row is read before the home row, and the gate is opened only on that version,
//   - whoever moves the home closes the earlier gate before, by a write that changes its row in any case. So whoever read
//     that row before can't open it afterwards, and whoever reads it later finds the version of the configuration,
//   - a home row that an older configuration wrote is rewritten before its gate is opened, so that only one of those who
//     move it succeeds.
func (d *Directory) open(ctx context.Context, q work.Queue) (Gate, error) {
	var err error
	for range maxAttempts {
		var gate Gate
		if gate, err = d.tryOpen(ctx, q); err == nil || !mayRetry(err) || ctx.Err() != nil {
			return gate, err
		}
	}
	return Gate{}, fault.Wrap(fault.Overload, err, "cannot open the gate of queue %s", q.Key())
}

// mayRetry reports whether reading the rows anew may help: another daemon has changed one of them, or the store has not answered a
// call that it may have carried out.
func mayRetry(err error) bool {
	var moved *Moved
	return fault.Is(err, fault.Unavailable) || (fault.Is(err, fault.Conflict) && !errors.As(err, &moved))
}

// tryOpen tries once to open a gate. The error is of kind fault.Conflict if another daemon has changed a row meanwhile.
func (d *Directory) tryOpen(ctx context.Context, q work.Queue) (Gate, error) {
	current, version, err := d.readGate(ctx, q.Service, q.Key())
	if err != nil {
		return Gate{}, err
	}
	if current.Open {
		return Gate{q.Service, q.Key(), version, current.Former}, nil
	}
	if current.Config > q.Version {
		return Gate{}, movedError(current.Config)
	}
	home, err := d.moveHome(ctx, q)
	if err != nil {
		return Gate{}, err
	}
	opened, err := d.put(ctx, gateKey(q.Service, q.Key()), version, gateRow{Open: true, Config: q.Version, Former: home.Former})
	if err != nil {
		return Gate{}, err
	}
	d.log.Info("queue admitted", zap.String("service", q.Service), zap.String("path", q.Key()), zap.Int64("config", q.Version), zap.Strings("former", home.Former))
	return Gate{q.Service, q.Key(), opened, home.Former}, nil
}

// moveHome makes a service the home of a queue, by a configuration. It closes the gate at the earlier home first.
func (d *Directory) moveHome(ctx context.Context, q work.Queue) (homeRow, error) {
	home, version, err := d.readHome(ctx, q.Key())
	if err != nil {
		return homeRow{}, err
	}
	if version != 0 && home.Service == q.Service && home.Config >= q.Version {
		return home, nil
	}
	if version != 0 && home.Service != q.Service {
		if home.Config >= q.Version {
			return homeRow{}, movedError(home.Config)
		}
		if err := d.closeGate(ctx, home.Service, q); err != nil {
			return homeRow{}, err
		}
	}
	next := homeRow{Service: q.Service, Config: q.Version, Former: home.without(q.Service)}
	_, err = d.put(ctx, homeKey(q.Key()), version, next)
	return next, err
}

// without returns the services that a queue was sent to, except one.
func (h homeRow) without(service string) []string {
	var services []string
	for _, name := range append(slices.Clone(h.Former), h.Service) {
		if name != "" && name != service && !slices.Contains(services, name) {
			services = append(services, name)
		}
	}
	slices.Sort(services)
	return services
}

// closeGate closes the gate of a queue at a service that the configuration doesn't send the queue to. It writes the row also if
// the gate is closed or has never been opened, so that a daemon that is about to open it fails.
func (d *Directory) closeGate(ctx context.Context, service string, q work.Queue) error {
	current, version, err := d.readGate(ctx, service, q.Key())
	if err != nil {
		return err
	}
	if current.Config > q.Version || (current.Open && current.Config == q.Version) {
		return movedError(current.Config)
	}
	_, err = d.put(ctx, gateKey(service, q.Key()), version, gateRow{Config: q.Version})
	if err == nil {
		d.log.Info("queue no longer admitted", zap.String("service", service), zap.String("path", q.Key()), zap.Int64("config", q.Version))
	}
	return err
}

// readGate reads the row of a gate and its version, which is 0 if there is none.
func (d *Directory) readGate(ctx context.Context, service, path string) (gateRow, int64, error) {
	var value gateRow
	version, err := d.read(ctx, gateKey(service, path), &value)
	return value, version, err
}

// readHome reads the home row of a queue and its version, which is 0 if there is none.
func (d *Directory) readHome(ctx context.Context, path string) (homeRow, int64, error) {
	var value homeRow
	version, err := d.read(ctx, homeKey(path), &value)
	return value, version, err
}

// read reads a row into value and returns its version, 0 if it doesn't exist.
func (d *Directory) read(ctx context.Context, key platform.RowKey, value any) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := d.store.GetRow(ctx, key)
	if err != nil || len(page.Rows) == 0 {
		return 0, err
	}
	return page.Rows[0].Version, decode(page.Rows[0], value)
}

// put writes a row on the condition that it has a version, and returns the new version.
func (d *Directory) put(ctx context.Context, key platform.RowKey, version int64, value any) (int64, error) {
	encoded, err := encode(value)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stamp, err := d.store.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{RowKey: key, Version: version}},
		Puts:       []platform.Row{{RowKey: key, Value: encoded}},
	})
	return stamp.Version, err
}
