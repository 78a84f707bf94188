package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumlead/fault"
)

// waiterLimit bounds the exchanges of a pool that wait for a connection in this entry; whoever
// admits requests should keep them from getting here.
const waiterLimit = 256

// pool is the shard of one pool: its upstreams and whoever waits for one of them. No exchange
// starts on an upstream that is leaving, and each is counted before its upstream is known outside.
type pool struct {
	mu      sync.Mutex
	name    string
	centre  string
	region  string
	limit   int64 // exchanges at a time on one upstream
	rng     *rand.Rand
	breach  func(error)
	members []*upstream
	waiters []chan struct{}
	scratch []*upstream
}

// acquire picks an upstream and counts an exchange on it, waiting while all are busy.
func (p *pool) acquire(ctx context.Context, avoid *upstream) (*upstream, error) {
	for {
		u, wait, retry, err := p.try(time.Now(), avoid)
		if u != nil || err != nil {
			return u, err
		}
		err = p.await(ctx, wait, retry)
		if err != nil {
			return nil, err
		}
	}
}

// try picks once; without an eligible upstream it returns a channel to wait on and, if
// backoff is what it waits for, when that ends.
func (p *pool) try(now time.Time, avoid *upstream) (*upstream, chan struct{}, time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.pick(now, avoid); u != nil {
		u.inProgress++
		p.report(u.check(p.limit))
		return u, nil, time.Time{}, nil
	}
	retry, usable := p.soonest(now)
	if !usable {
		return nil, nil, retry, fault.New(fault.NoUpstream, "pool %s has no runner that takes work", p.name)
	}
	if len(p.waiters) >= waiterLimit {
		return nil, nil, retry, fault.New(fault.Overload, "all runners of pool %s are busy and %d requests wait", p.name, waiterLimit)
	}
	wait := make(chan struct{}, 1)
	p.waiters = append(p.waiters, wait)
	return nil, wait, retry, nil
}

// await waits until a connection may be free, backoff ends or the request can't be served any more.
func (p *pool) await(ctx context.Context, wait chan struct{}, retry time.Time) error {
	var timer <-chan time.Time
	if !retry.IsZero() {
		if end, ok := ctx.Deadline(); ok && end.Before(retry) {
			p.forget(wait)
			return fault.After(fault.NoUpstream, time.Until(retry), "no runner of pool %s can be reached before the deadline", p.name)
		}
		t := time.NewTimer(time.Until(retry))
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-wait:
		return nil
	case <-timer:
		p.forget(wait)
		return nil
	case <-ctx.Done():
		p.forget(wait)
		return fault.New(fault.Overload, "no runner of pool %s was free before the deadline", p.name)
	}
}

// forget takes a waiter off the queue; one that was woken meanwhile passes its turn on.
func (p *pool) forget(wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wake()
}

// wake lets the first waiter try again; the lock is held.
func (p *pool) wake() {
	if len(p.waiters) == 0 {
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	w <- struct{}{}
}

// wakeAll lets every waiter try again; the lock is held.
func (p *pool) wakeAll() {
	for len(p.waiters) > 0 {
		p.wake()
	}
}

// pick returns the better of two random eligible upstreams of the nearest zone that has any; one
// to avoid is taken only if there is no other.
func (p *pool) pick(now time.Time, avoid *upstream) *upstream {
	p.scratch = p.scratch[:0]
	nearest := farthest
	for _, u := range p.members {
		if u == avoid || !u.eligible(now, p.limit) {
			continue
		}
		d := p.distance(u)
		if d < nearest {
			nearest = d
			p.scratch = p.scratch[:0]
		}
		if d == nearest {
			p.scratch = append(p.scratch, u)
		}
	}
	if len(p.scratch) > 0 {
		return p.better(now)
	}
	if avoid != nil && avoid.eligible(now, p.limit) {
		return avoid
	}
	return nil
}

// better returns the lighter of two different candidates.
func (p *pool) better(now time.Time) *upstream {
	n := len(p.scratch)
	i := p.rng.IntN(n)
	if n == 1 {
		return p.scratch[i]
	}
	j := p.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := p.scratch[i], p.scratch[j]
	if b.weight(now) < a.weight(now) {
		return b
	}
	return a
}

// distance is how far an upstream is from this entry, in zones.
type distance uint8

const (
	sameCentre distance = iota
	sameRegion
	farthest
)

func (p *pool) distance(u *upstream) distance {
	switch {
	case u.instance.Centre == p.centre:
		return sameCentre
	case u.instance.Region == p.region:
		return sameRegion
	}
	return farthest
}

// soonest tells whether any upstream may take work later, and when the first backoff ends if
// backoff is all that keeps them from it.
func (p *pool) soonest(now time.Time) (time.Time, bool) {
	var first time.Time
	usable := false
	for _, u := range p.members {
		if u.leaving || u.slots < 0 {
			continue
		}
		usable = true
		if now.Before(u.until) && (first.IsZero() || u.until.Before(first)) {
			first = u.until
		}
	}
	return first, usable
}

// release ends an exchange's count and lets a waiter try.
func (p *pool) release(u *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.inProgress--
	p.report(u.check(p.limit))
	p.wake()
}

// report passes on an invariant that does not hold.
func (p *pool) report(err error) {
	if err != nil {
		p.breach(err)
	}
}

// isLeaving tells whether u gets no new work by now.
func (p *pool) isLeaving(u *upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.leaving
}
