package share

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gypsumlead/fault"
	"gypsumlead/record"
)

const (
	defaultDeadline = 10 * time.Second // for a request without one
	defaultWaiting  = 4096             // requests that wait, over all pools
)

// Gate admits requests to the slots of many pools at once, each pool under a lock of its own.
type Gate struct {
	opts   []Option
	now    func() time.Time
	room   *room
	change sync.Mutex   // held by whole changes of a service, which may touch two shards
	mu     sync.RWMutex // guards pools and homes, not what the shards hold
	pools  map[string]*shard
	homes  map[string]string // pool of each service
	breach func(error)
}

// GateOption changes how a gate is built.
type GateOption func(*Gate)

// WithPool sets the options of every pool.
func WithPool(opts ...Option) GateOption {
	return func(g *Gate) { g.opts = opts }
}

// WithWaiting bounds the requests that wait, over all pools together.
func WithWaiting(requests int) GateOption {
	return func(g *Gate) { g.room.limit = int64(requests) }
}

// WithNow sets the clock, which must be monotonic.
func WithNow(now func() time.Time) GateOption {
	return func(g *Gate) { g.now = now }
}

// WithBreach sets what is told of a broken invariant.
func WithBreach(f func(error)) GateOption {
	return func(g *Gate) { g.breach = f }
}

// NewGate returns a gate without pools.
func NewGate(opts ...GateOption) *Gate {
	g := &Gate{
		now:    time.Now,
		room:   &room{limit: defaultWaiting},
		pools:  map[string]*shard{},
		homes:  map[string]string{},
		breach: func(error) {},
	}
	for _, f := range opts {
		f(g)
	}
	return g
}

// Acquire waits for a slot of the service's pool and returns the function that gives it back.
// An empty work means the service's first kind, a zero deadline the default. An error means
// that the request has no slot and must not be sent.
func (g *Gate) Acquire(ctx context.Context, service, work string, deadline time.Time) (release func(), err error) {
	s := g.shardOf(service)
	if s == nil {
		return nil, fault.New(fault.Missing, "admit request: no service %q; see the service records", service)
	}
	if deadline.IsZero() {
		deadline = g.now().Add(defaultDeadline)
	}
	return s.acquire(ctx, Arrive{Service: service, Work: work, Deadline: deadline})
}

// SetCapacity sets the slots of the pool that this entry may use.
func (g *Gate) SetCapacity(pool string, slots int) {
	g.SetCapacityOf(pool, slots, slots)
}

// SetCapacityOf sets the slots that this entry may use and those of all entries together,
// which scale the means of the pool's services to this entry's part.
func (g *Gate) SetCapacityOf(pool string, slots, total int) {
	g.shardFor(pool).apply(Capacity{Slots: slots, Total: total})
}

// SetService adds a service or replaces its kinds of work, or moves it to another pool.
func (g *Gate) SetService(name string, r record.Service) {
	g.change.Lock()
	defer g.change.Unlock()
	g.mu.Lock()
	old, had := g.homes[name]
	g.homes[name] = r.Pool
	g.mu.Unlock()
	if had && old != r.Pool {
		g.shardFor(old).dropService(name)
	}
	g.shardFor(r.Pool).setService(Service{Name: name, Works: slices.Clone(r.Works)})
}

// DropService forgets a service; its waiting requests are refused.
func (g *Gate) DropService(name string) {
	g.change.Lock()
	defer g.change.Unlock()
	g.mu.Lock()
	old, had := g.homes[name]
	delete(g.homes, name)
	g.mu.Unlock()
	if had {
		g.shardFor(old).dropService(name)
	}
}

// Load returns the started and the waiting requests of a pool.
func (g *Gate) Load(pool string) (running, waiting int) {
	s := g.shardFor(pool)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Running(), s.pool.Waiting()
}

// Usage returns the usage of each kind of work of a pool as of now.
func (g *Gate) Usage(pool string) []Usage {
	s := g.shardFor(pool)
	s.mu.Lock()
	defer s.mu.Unlock()
	// A pool that nobody asks has no events that would bring its averages up to date.
	s.applyLocked(Tick{})
	return s.pool.Usage()
}

// Pools returns the names of the pools, sorted.
func (g *Gate) Pools() []string {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return slices.Sorted(maps.Keys(g.pools))
}

func (g *Gate) shardOf(service string) *shard {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.pools[g.homes[service]]
}

// shardFor returns the pool's shard and makes it where there is none yet.
func (g *Gate) shardFor(pool string) *shard {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.pools[pool]
	if !ok {
		s = newShard(pool, g)
		g.pools[pool] = s
	}
	return s
}

// sortServices keeps the order of configuration the same on every entry.
func sortServices(ss []Service) {
	slices.SortFunc(ss, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}
