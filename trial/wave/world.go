package wavetrial

import (
	"context"
	"fmt"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
	"gypsumlead/wave"
)

const (
	listLag  = 5 * time.Second
	proofLag = 15 * time.Second // age at which the list proves nothing
	bootTime = 4 * time.Minute
	setUp    = 20 * time.Second // until the list shows the fleet
	waveName = "upgrade"
	leaseKey = "lease/trial"
)

// world is one fleet with a driver for each pool, on virtual time in one goroutine.
type world struct {
	sc      Scale
	now     time.Time
	slots   []slot
	truth   *truth
	runners []string
	view    pool.View
	drivers []*wave.Driver
	writer  *journal.Writer
	meter   *meter
	ended   time.Time // of the last pool
}

// held is a lease that never lapses.
type held struct{}

func (held) Check() error { return nil }

func (held) Cond() backing.Op { return backing.Check{Key: leaseKey} }

func newWorld(sc Scale, l Layout, seed uint64) (*world, error) {
	w := &world{sc: sc, slots: sc.slots(l), now: time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC), meter: &meter{}}
	clock := func() time.Time { return w.now }
	w.truth = &truth{
		Platform: standin.New(standin.WithClock(clock, w.sleep), standin.WithLag(listLag), standin.WithBootTime(bootTime), standin.WithSeed(seed)),
		seed:     seed, clock: clock, budget: sc.Budget, quietAt: map[string]time.Time{}, back: map[string]time.Time{},
	}
	for _, in := range sc.instances(w.slots) {
		w.truth.PutInstance(in)
		if in.Role == backing.RoleRunner {
			w.runners = append(w.runners, in.ID)
		}
	}
	w.now = w.now.Add(setUp)
	w.writer = journal.NewWriter(w.truth, journal.WithClock(clock, w.sleep))
	return w, w.fill()
}

func (w *world) sleep(_ context.Context, d time.Duration) error {
	w.now = w.now.Add(d)
	return nil
}

// look reads the platform's list.
func (w *world) look() error {
	list, err := w.truth.List(context.Background())
	w.view = pool.NewView(list, w.now, proofLag)
	return err
}

// fill writes the pools and assigns the instances.
func (w *world) fill() error {
	if err := w.look(); err != nil {
		return err
	}
	for i := range w.sc.Pools {
		if err := w.put(poolName(i), &record.Pool{Budget: w.sc.Budget}); err != nil {
			return err
		}
		w.drivers = append(w.drivers, w.newDriver(poolName(i)))
	}
	for i, id := range w.runners {
		in, _ := w.view.Find(id)
		p := pool.ProposeAssign(pool.Request{ID: "assign-" + id, Actor: "trial", View: w.view}, poolName(w.slots[i].pool), in)
		if _, err := w.writer.Accept(context.Background(), p); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) newDriver(name string) *wave.Driver {
	limits := wave.DefaultLimits()
	limits.Parallel = 1
	return wave.NewDriver(name, wave.Parts{
		Table:     w.truth,
		Writer:    w.writer,
		Instances: w.truth,
		Entries:   w.truth,
		Lease:     held{},
		View:      func() pool.View { return w.view },
		Waves:     func() []string { return []string{waveName} },
	}, wave.WithClock(func() time.Time { return w.now }), wave.WithLimits(limits))
}

func (w *world) put(name string, r record.Record) error {
	_, err := w.writer.Accept(context.Background(), journal.Proposal{
		ID:      fmt.Sprintf("put-%s-%s-%d", r.Kind(), name, w.now.UnixNano()),
		Actor:   "trial",
		Records: []record.Key{{Kind: r.Kind(), Name: name}},
		Decide: func(rows journal.Rows) (journal.Decision, error) {
			old, _, err := rows.Envelope(record.Key{Kind: r.Kind(), Name: name})
			if err != nil {
				return journal.Decision{}, err
			}
			e, err := record.Rewrite(old, name, r)
			return journal.Decision{Edits: []record.Envelope{e}}, err
		},
	})
	return err
}

// step lets a tick go by in every pool.
func (w *world) step() error {
	w.now = w.now.Add(w.sc.Tick)
	if err := w.truth.tick(w.sc.Tick, w.runners); err != nil {
		return err
	}
	if err := w.look(); err != nil {
		return err
	}
	for _, d := range w.drivers {
		if err := w.meter.time(func() error { return d.Step(context.Background()) }); err != nil {
			return err
		}
	}
	return nil
}

// status reads how far the wave is.
func (w *world) status() (wave.Status, error) {
	return wave.ReadStatus(context.Background(), w.truth, waveName)
}
