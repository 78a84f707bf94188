package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Fleet is all upstreams that this entry may send to. An upstream that leaves starts no new
// exchange for the rest of its boot, and its exchanges are counted until the last has ended.
type Fleet struct {
	cfg     config
	dial    *dialer
	retry   *retryBudget
	count   counters
	numbers atomic.Int64 // of exchanges
	cancel  context.CancelFunc
	done    chan struct{}

	mu    sync.RWMutex
	pools map[string]*pool
	boots map[identity][]placed  // every upstream object of a boot, also those that only finish
	left  map[identity]time.Time // boots that leave, and when the last target list named them
}

// placed is an upstream and the pool whose lock guards it.
type placed struct {
	pool     *pool
	upstream *upstream
}

// reapFloor is the shortest time between two looks for connections to close.
const reapFloor = 100 * time.Millisecond

// leftMemory is how long a leaving boot is remembered after it went from the target list.
const leftMemory = 24 * time.Hour

// NewFleet returns a fleet without upstreams; Close ends it.
func NewFleet(opts ...Option) *Fleet {
	cfg := defaults()
	for _, o := range opts {
		o(&cfg)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		cfg:    cfg,
		dial:   newDialer(cfg.dial, cfg.off.stray),
		retry:  newRetryBudget(cfg.off.budget),
		cancel: cancel,
		done:   make(chan struct{}),
		pools:  map[string]*pool{},
		boots:  map[identity][]placed{},
		left:   map[identity]time.Time{},
	}
	go func() {
		defer close(f.done)
		f.reap(ctx)
	}()
	return f
}

// Close closes all idle connections and stops the upkeep; exchanges under way go on.
func (f *Fleet) Close() {
	f.cancel()
	<-f.done
	f.expire(time.Now().Add(time.Hour))
}

// Update makes targets the whole list of upstreams; one that went from it finishes what it has.
func (f *Fleet) Update(targets []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	wanted := make(map[string][]Target, len(f.pools))
	for _, t := range targets {
		wanted[t.Pool] = append(wanted[t.Pool], t)
		if _, left := f.left[t.identity()]; left || t.Leaving {
			f.left[t.identity()] = now
		}
	}
	for name := range wanted {
		if f.pools[name] == nil {
			f.pools[name] = f.newPool(name)
		}
	}
	for name, p := range f.pools {
		f.updatePool(p, wanted[name])
	}
	f.prune(now)
}

// Leave stops new work to one boot of an instance, whatever later target lists say.
func (f *Fleet) Leave(id, boot string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	who := identity{id: id, boot: boot}
	f.left[who] = time.Now()
	for _, at := range f.boots[who] {
		at.pool.leave(at.upstream)
	}
}

// InProgress counts the exchanges with one boot of an instance. After Leave or an Update that
// says so has returned, it can only fall.
func (f *Fleet) InProgress(id, boot string) int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	n := int64(0)
	for _, at := range f.boots[identity{id: id, boot: boot}] {
		n += at.pool.inProgress(at.upstream)
	}
	return n
}

// InProgressAny counts the exchanges with any boot of an instance: an entry whose list lags may
// still send to it under an earlier boot.
func (f *Fleet) InProgressAny(id string) int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	n := int64(0)
	for who, all := range f.boots {
		if who.id != id {
			continue
		}
		for _, at := range all {
			n += at.pool.inProgress(at.upstream)
		}
	}
	return n
}

// breach counts and reports an invariant that does not hold.
func (f *Fleet) breach(err error) {
	f.count.breaches.Add(1)
	f.cfg.breach(err)
}

func (f *Fleet) newPool(name string) *pool {
	seed := f.cfg.seed
	for _, c := range name {
		seed = seed*31 + uint64(c)
	}
	return &pool{
		name:   name,
		centre: f.cfg.centre,
		region: f.cfg.region,
		limit:  f.cfg.conns,
		rng:    rand.New(rand.NewPCG(seed, f.cfg.seed)),
		breach: f.breach,
	}
}

// updatePool swaps the members of p for targets, keeping those that stay; f's lock is held.
func (f *Fleet) updatePool(p *pool, targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := make(map[identity]*upstream, len(p.members))
	for _, u := range p.members {
		old[u.identity()] = u
	}
	p.members = p.members[:0:0]
	for _, t := range targets {
		who := t.identity()
		u := old[who]
		if u == nil || !u.is(t.Instance) {
			u = &upstream{instance: t.Instance}
			f.boots[who] = append(f.boots[who], placed{pool: p, upstream: u})
		} else {
			delete(old, who)
		}
		u.slots = t.Slots
		_, u.leaving = f.left[who]
		if u.leaving {
			closeAll(u.idle)
			u.idle = nil
		}
		p.members = append(p.members, u)
	}
	for _, u := range old {
		u.leaving = true
		closeAll(u.idle)
		u.idle = nil
	}
	p.wakeAll()
}

// prune forgets upstreams that have gone and finished, and boots that left long ago.
func (f *Fleet) prune(now time.Time) {
	for who, all := range f.boots {
		kept := all[:0]
		for _, at := range all {
			if at.pool.holds(at.upstream) {
				kept = append(kept, at)
			}
		}
		f.boots[who] = kept
		if len(kept) == 0 {
			delete(f.boots, who)
		}
	}
	for who, at := range f.left {
		if _, known := f.boots[who]; !known && now.Sub(at) > leftMemory {
			delete(f.left, who)
		}
	}
}

// reap closes idle connections that are too old to be used again.
func (f *Fleet) reap(ctx context.Context) {
	t := time.NewTicker(max(f.cfg.idle, reapFloor))
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			f.expire(now.Add(-f.cfg.idle))
		case <-ctx.Done():
			return
		}
	}
}

// expire closes the idle connections of all upstreams that proved themselves last before the instant.
func (f *Fleet) expire(before time.Time) {
	f.mu.RLock()
	pools := make([]*pool, 0, len(f.pools))
	for _, p := range f.pools {
		pools = append(pools, p)
	}
	f.mu.RUnlock()
	for _, p := range pools {
		closeAll(p.expire(before))
	}
}

// pool returns the shard of a pool, or nil.
func (f *Fleet) pool(name string) *pool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.pools[name]
}
