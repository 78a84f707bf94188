package job

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

const (
	rounds     = 4 // of deciding and acting in a step: room is made, is free, is used
	scanLimit  = 1000
	actWorkers = 16 // requests to the platform at once
)

// Hold is the lease under which a pool's jobs are decided.
type Hold interface {
	// Epoch returns the fencing epoch, which is higher for each holder.
	Epoch() int64
	// Alive tells by the monotonic clock whether the lease is surely held right now.
	Alive() bool
	// Fence returns the step that makes a transaction fail if the lease has another holder.
	Fence() backing.Op
}

// Records gives the accepted configuration of a pool of workers.
type Records interface {
	// View returns what is in force in this daemon, and whether it has any configuration yet.
	View(pool string) (View, bool)
}

// Driver steps a pool's jobs: it reads, decides, commits, and only then acts on the platform.
type Driver struct {
	name    string
	table   backing.Table
	workers backing.Workers
	records Records
	hold    Hold
	now     func() time.Time
	log     *zap.Logger
	opts    []Option
	calls   int

	pool     *Pool // nil when it must be read from the table
	versions map[string]int64
	stats    Stats // of pools that were dropped
}

// DriverOption changes a Driver under construction.
type DriverOption func(*Driver)

// WithClock sets the clock.
func WithClock(now func() time.Time) DriverOption {
	return func(d *Driver) { d.now = now }
}

// WithLog sets the logger.
func WithLog(log *zap.Logger) DriverOption {
	return func(d *Driver) { d.log = log }
}

// WithPool sets options of the pool that is driven.
func WithPool(opts ...Option) DriverOption {
	return func(d *Driver) { d.opts = opts }
}

// WithCalls sets how many requests to the platform are made at once.
func WithCalls(n int) DriverOption {
	return func(d *Driver) { d.calls = n }
}

// NewDriver returns a driver of the pool's jobs, which steps while it holds the lease.
func NewDriver(pool string, table backing.Table, workers backing.Workers, records Records, hold Hold, opts ...DriverOption) *Driver {
	d := &Driver{
		name: pool, table: table, workers: workers, records: records, hold: hold,
		now: time.Now, log: zap.NewNop(), calls: actWorkers,
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Pool returns the state as of the last step, or nil.
func (d *Driver) Pool() *Pool {
	return d.pool
}

// Stats returns what this driver decided so far.
func (d *Driver) Stats() Stats {
	if d.pool == nil {
		return d.stats
	}
	return d.stats.plus(d.pool.stats)
}

// drop forgets the state, which is read from the table again.
func (d *Driver) drop() {
	d.stats = d.Stats()
	d.pool = nil
}

// Step reads what has changed, decides, commits and acts. After an error the state is read from
// the table again, since a commit without an answer may have taken effect.
func (d *Driver) Step(ctx context.Context) error {
	if err := d.alive(); err != nil {
		return err
	}
	err := d.step(ctx)
	if err == nil {
		return nil
	}
	d.drop()
	if fault.Is(err, fault.Breach) {
		d.noteBreach(ctx, err)
	}
	return err
}

func (d *Driver) step(ctx context.Context) error {
	if d.pool == nil || d.pool.epoch != d.hold.Epoch() {
		if err := d.load(ctx); err != nil {
			return err
		}
	}
	if err := d.learn(ctx); err != nil {
		return err
	}
	for range rounds {
		acted, err := d.round(ctx)
		if err != nil || !acted {
			return err
		}
	}
	return d.commit(ctx)
}

func (d *Driver) alive() error {
	if d.hold.Alive() {
		return nil
	}
	return fault.New(fault.Fenced, "jobs of pool %s: the lease of epoch %d has ended", d.name, d.hold.Epoch())
}

// load reads the rows of the last holder.
func (d *Driver) load(ctx context.Context) error {
	d.drop()
	p := New(d.name, d.hold.Epoch(), d.opts...)
	d.versions = map[string]int64{}
	after := ""
	var all []backing.Row
	for {
		rows, err := d.table.Scan(ctx, Prefix(d.name), after, scanLimit)
		if err != nil {
			return err
		}
		for _, r := range rows {
			d.versions[r.Key] = r.Version
			after = r.Key
		}
		all = append(all, rows...)
		if len(rows) < scanLimit {
			break
		}
	}
	if err := p.Restore(all, d.now()); err != nil {
		return err
	}
	d.pool = p
	return nil
}

// learn takes in configuration, list and reports; without the platform's list the last one stands.
func (d *Driver) learn(ctx context.Context) error {
	now := d.now()
	view, ok := d.records.View(d.name)
	if !ok {
		return fault.New(fault.StoreDown, "jobs of pool %s: there is no configuration here yet", d.name)
	}
	if err := d.pool.Apply(Configured{View: view}, now); err != nil {
		return err
	}
	list, err := d.workers.Workers(ctx)
	if err != nil {
		d.log.Warn("list workers", zap.String("pool", d.name), zap.Error(err))
	} else if err := d.pool.Apply(Listed{Workers: list}, now); err != nil {
		return err
	}
	return d.readReports(ctx, d.pool.Reads(now))
}

func (d *Driver) readReports(ctx context.Context, ids []string) error {
	reports := make([][]backing.Report, len(ids))
	errs := make([]error, len(ids))
	d.each(len(ids), func(i int) { reports[i], errs[i] = d.workers.Reports(ctx, ids[i]) })
	for i, id := range ids {
		if errs[i] != nil {
			d.log.Debug("read reports", zap.String("worker", id), zap.Error(errs[i]))
			continue
		}
		if err := d.pool.Apply(Reported{Worker: id, Reports: reports[i]}, d.now()); err != nil {
			return err
		}
	}
	return nil
}

// each runs f for 0 to n-1, a bounded number at once.
func (d *Driver) each(n int, f func(i int)) {
	var g errgroup.Group
	g.SetLimit(d.calls)
	for i := range n {
		g.Go(func() error {
			f(i)
			return nil
		})
	}
	// f returns nothing.
	_ = g.Wait()
}

// round commits what is freed, then decides and commits, then acts.
func (d *Driver) round(ctx context.Context) (bool, error) {
	now := d.now()
	if err := d.pool.Settle(now); err != nil {
		return false, err
	}
	if err := d.commit(ctx); err != nil {
		return false, err
	}
	if err := d.pool.Decide(now); err != nil {
		return false, err
	}
	if err := d.commit(ctx); err != nil {
		return false, err
	}
	return d.act(ctx, d.pool.Effects(d.now()))
}

// act carries effects out; the lease is checked right before each.
func (d *Driver) act(ctx context.Context, es []Effect) (bool, error) {
	errs := make([]error, len(es))
	d.each(len(es), func(i int) { errs[i] = d.do(ctx, es[i]) })
	for i, e := range es {
		if err := d.pool.Apply(Answered{Effect: e, Err: errs[i]}, d.now()); err != nil {
			return false, err
		}
	}
	if len(es) > 0 {
		return true, d.alive()
	}
	return false, nil
}

func (d *Driver) do(ctx context.Context, e Effect) error {
	if err := d.alive(); err != nil {
		return err
	}
	switch e := e.(type) {
	case Start:
		return d.workers.Start(ctx, e.Task)
	case Act:
		return d.workers.Act(ctx, e.Task, d.hold.Epoch(), e.Act, e.Until)
	}
	return fault.New(fault.Internal, "job: there is no effect %T", e)
}
