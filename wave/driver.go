package wave

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/pool"
)

// Lease is the right to act for one pool.
type Lease interface {
	// Check returns an error of kind fault.Fenced once the lease may have lapsed.
	Check() error
	// Cond returns the step that fails a transaction after a newer holder took the lease.
	Cond() backing.Op
}

// Entries asks the entry instances about drained boots.
type Entries interface {
	// Quiet returns the newest change that the entry has in force, and how many of its requests
	// are in progress on the instance, under whatever boot it knows it by. It fails if the entry
	// doesn't hold boot for drained, or still sends to the instance under another boot.
	Quiet(ctx context.Context, entry backing.Instance, instance, boot string, seq int64) (have, progress int64, err error)
}

// Driver steps the waves in one pool, under the pool's lease. It isn't safe for concurrent use.
type Driver struct {
	pool    string
	actor   string
	table   backing.Table
	writer  *journal.Writer
	insts   backing.Instances
	entries Entries
	lease   Lease
	view    func() pool.View
	names   func() []string
	now     func() time.Time
	limits  Limits
	log     *zap.Logger

	idle   bool                 // the last step found no wave that is not over
	ended  map[string]bool      // waves that are over in this pool
	acks   map[ack]bool         // answers that need no repeating
	asked  map[string]time.Time // when a reboot was last asked for
	loaded map[string]snapshot  // newest reading of each wave; rows of the same version aren't decoded again
	state  pool.State           // the pool's row of version stateV
	stateV int64
	looked time.Time // when the pool's row was read for takes of waves whose record is gone
}

// ack is one boot of an entry that is quiet about one boot of an instance; it stays so, for the
// drain is never taken back.
type ack struct {
	instance, boot, entry, entryBoot string
}

// Option changes a Driver under construction.
type Option func(*Driver)

// WithLimits sets the limits.
func WithLimits(l Limits) Option {
	return func(d *Driver) { d.limits = l }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(d *Driver) { d.now = now }
}

// WithActor sets the name that the audit trail gives for what the driver decides.
func WithActor(name string) Option {
	return func(d *Driver) { d.actor = name }
}

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option {
	return func(d *Driver) { d.log = l }
}

// Parts are what a driver works with.
type Parts struct {
	Table     backing.Table
	Writer    *journal.Writer
	Instances backing.Instances
	Entries   Entries
	Lease     Lease
	View      func() pool.View // the daemon's newest reading of the platform's list
	Waves     func() []string  // names of the wave records in force that cover the pool
}

// NewDriver returns a driver of the waves in a pool, for a holder of the pool's lease.
func NewDriver(name string, p Parts, opts ...Option) *Driver {
	d := &Driver{
		pool:    name,
		actor:   "wave",
		table:   p.Table,
		writer:  p.Writer,
		insts:   p.Instances,
		entries: p.Entries,
		lease:   p.Lease,
		view:    p.View,
		names:   p.Waves,
		now:     time.Now,
		limits:  DefaultLimits(),
		log:     zap.NewNop(),
		ended:   map[string]bool{},
		acks:    map[ack]bool{},
		asked:   map[string]time.Time{},
		loaded:  map[string]snapshot{},
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Step does what is due in each wave of the pool and writes how far it came. A step that lost a
// race or was cut off is simply done again. The first error is returned after all waves had their turn.
func (d *Driver) Step(ctx context.Context) error {
	if err := d.lease.Check(); err != nil {
		return err
	}
	waves, err := d.waves(ctx)
	if err != nil {
		return err
	}
	var first error
	for _, name := range waves {
		err := d.stepWave(ctx, name)
		if fault.Is(err, fault.Fenced) {
			return err
		}
		if fault.Is(err, fault.Conflict) {
			continue // another decision came first; the next step starts from its result
		}
		if first == nil {
			first = err
		}
	}
	return first
}

// Idle tells whether the last step found no wave that isn't over, nor takes of one; until a wave
// comes into force there is nothing to do under this lease.
func (d *Driver) Idle() bool {
	return d.idle
}

// waves returns the waves that aren't over: those in force, and those that have instances out
// though their record is gone. Takes of waves come about under this lease only, so a pool that
// had none needs no reading until a wave is in force.
func (d *Driver) waves(ctx context.Context) ([]string, error) {
	names := d.open(d.names())
	if len(names) == 0 && d.idle {
		return nil, nil
	}
	if err := d.look(ctx); err != nil {
		return nil, err
	}
	for _, t := range d.state.Takes {
		if t.Cause == pool.CauseWave {
			names = append(names, t.By)
		}
	}
	for n := range d.loaded {
		names = append(names, n) // also one that was edited and no longer covers the pool
	}
	names = d.open(names)
	d.idle = len(names) == 0
	return names, nil
}

// look reads the pool's row, at most once a Refresh.
func (d *Driver) look(ctx context.Context) error {
	now := d.now()
	if now.Sub(d.looked) < d.limits.Refresh {
		return nil
	}
	rows, err := d.table.Read(ctx, pool.Key(d.pool))
	if err != nil {
		return err
	}
	d.looked = now
	if rows[0].Version == d.stateV {
		return nil
	}
	d.state = pool.State{}
	d.stateV = rows[0].Version
	_, err = journal.NewRows(now, rows...).Load(pool.Key(d.pool), &d.state)
	return err
}

// open returns the names sorted, each once, without the waves that are over in this pool.
func (d *Driver) open(names []string) []string {
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(n string) bool { return d.ended[n] })
}
