package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumlead/fault"
)

// LoseAll as Faults.Lose loses the answer of every write.
const LoseAll = -1

// Faults is what is wrong with one service; the zero value is a service in good health.
type Faults struct {
	Down   bool          `json:"down,omitempty"`   // every operation fails at once and does nothing
	Freeze bool          `json:"freeze,omitempty"` // operations get no answer and do nothing until it is lifted
	Slow   time.Duration `json:"slow,omitempty"`   // of each operation, half of it before it takes effect
	Lose   int           `json:"lose,omitempty"`   // so many writes take effect and are answered as if the service were down
	Odds   Odds          `json:"odds"`
}

// Odds are the probabilities of faults of single operations.
type Odds struct {
	Down float64       `json:"down,omitempty"` // the operation fails and does nothing
	Lose float64       `json:"lose,omitempty"` // the operation takes effect and its answer is lost
	Slow float64       `json:"slow,omitempty"` // the operation takes up to Most
	Most time.Duration `json:"most,omitempty"`
}

// SetFaults replaces the faults of the services named, or of all where none is named.
func (p *Platform) SetFaults(f Faults, services ...Service) {
	if len(services) == 0 {
		services = Services()
	}
	for _, s := range services {
		if g := p.gates[s]; g != nil {
			g.set(f)
		}
	}
}

// Faults returns what is wrong with s.
func (p *Platform) Faults(s Service) Faults {
	g := p.gates[s]
	if g == nil {
		return Faults{}
	}
	f, _ := g.get()
	return f
}

// Counts is how much a service was used.
type Counts struct {
	Reads  int64 `json:"reads"`  // operations that read
	Writes int64 `json:"writes"` // operations that write: transactions of the table
	Rows   int64 `json:"rows"`   // rows read
	Puts   int64 `json:"puts"`   // rows written or deleted
}

// Counts returns how much s was used since the start, refused operations included.
func (p *Platform) Counts(s Service) Counts {
	g := p.gates[s]
	if g == nil {
		return Counts{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// gate is where the faults of one service take effect.
type gate struct {
	sleep func(ctx context.Context, d time.Duration) error

	mu      sync.Mutex
	f       Faults
	rnd     *rand.Rand
	counts  Counts
	changed chan struct{} // closed when f is replaced
}

// luck is what the faults have in store for one operation.
type luck struct {
	down bool
	lose bool
	slow time.Duration
}

func (g *gate) set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.f = f
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) get() (Faults, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.f, g.changed
}

// read runs an operation that changes nothing.
func (g *gate) read(ctx context.Context, what string, do func() error) error {
	g.count(Counts{Reads: 1})
	return g.run(ctx, what, do)
}

// write runs an operation whose answer may be lost after it took effect.
func (g *gate) write(ctx context.Context, what string, do func() error) error {
	g.count(Counts{Writes: 1})
	return g.run(ctx, what, func() error {
		err := do()
		if g.loses() {
			return fault.New(fault.StoreDown, "%s: the answer was lost", what)
		}
		return err
	})
}

func (g *gate) run(ctx context.Context, what string, do func() error) error {
	if err := g.thaw(ctx); err != nil {
		return fault.Wrap(fault.StoreDown, err, "%s: no answer", what)
	}
	l := g.roll()
	if l.down {
		return fault.New(fault.StoreDown, "%s: the service is down", what)
	}
	if err := g.pause(ctx, l.slow/2); err != nil {
		return fault.Wrap(fault.StoreDown, err, "%s: no answer in time", what)
	}
	err := do()
	if late := g.pause(ctx, l.slow/2); late != nil {
		return fault.Wrap(fault.StoreDown, late, "%s: the answer came too late", what)
	}
	if l.lose {
		return fault.New(fault.StoreDown, "%s: the answer was lost", what)
	}
	return err
}

// thaw waits while the service is frozen.
func (g *gate) thaw(ctx context.Context) error {
	for {
		f, changed := g.get()
		if !f.Freeze {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *gate) roll() luck {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := luck{down: g.f.Down, slow: g.f.Slow}
	o := g.f.Odds
	if o.Down > 0 && g.rnd.Float64() < o.Down {
		l.down = true
	}
	if o.Lose > 0 && g.rnd.Float64() < o.Lose {
		l.lose = true
	}
	if o.Most > 0 && g.rnd.Float64() < o.Slow {
		l.slow += time.Duration(g.rnd.Int64N(int64(o.Most)))
	}
	return l
}

// loses tells whether this write's answer is one of those to be lost.
func (g *gate) loses() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.f.Lose > 0 {
		g.f.Lose--
		return true
	}
	return g.f.Lose == LoseAll
}

func (g *gate) pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	return g.sleep(ctx, d)
}

func (g *gate) count(c Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Reads += c.Reads
	g.counts.Writes += c.Writes
	g.counts.Rows += c.Rows
	g.counts.Puts += c.Puts
}
