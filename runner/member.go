package runner

import (
	"slices"
	"time"
)

// leave stops new work to u and closes its idle connections.
func (p *pool) leave(u *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.leaving = true
	closeAll(u.idle)
	u.idle = nil
	p.wakeAll()
}

// inProgress returns the number of exchanges that were given u and have not ended.
func (p *pool) inProgress(u *upstream) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.inProgress
}

// holds tells whether u is a member or has exchanges in progress.
func (p *pool) holds(u *upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.inProgress > 0 || slices.Contains(p.members, u)
}

// expire takes the idle connections that proved themselves last before the instant.
func (p *pool) expire(before time.Time) []*channel {
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []*channel
	for _, u := range p.members {
		old = append(old, u.expire(time.Now(), before)...)
	}
	return old
}

// takeIdle takes a connection that proved itself lately, or none.
func (p *pool) takeIdle(u *upstream, life time.Duration) *channel {
	p.mu.Lock()
	now := time.Now()
	if now.Before(u.single) {
		life = 0
	}
	fresh, stale := u.takeIdle(now, life)
	p.mu.Unlock()
	closeAll(stale)
	return fresh
}

// giveBack keeps a connection whose answer was whole for the next exchange.
func (p *pool) giveBack(u *upstream, c *channel) {
	p.mu.Lock()
	keep := !u.leaving && time.Now().After(u.single) && int64(len(u.idle)) < p.limit
	if keep {
		u.idle = append(u.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// distrust gives up a connection that was taken and turned out not to be clean.
func (p *pool) distrust(u *upstream, c *channel) {
	p.mu.Lock()
	u.inspect(time.Now(), c)
	p.mu.Unlock()
	c.close()
}

// condemn closes the idle connections of u that have proved nothing since the instant, and returns how many.
func (p *pool) condemn(u *upstream, since time.Time) int {
	p.mu.Lock()
	old := u.expire(time.Now(), since)
	p.mu.Unlock()
	closeAll(old)
	return len(old)
}

// dialFailed notes that u took no connection.
func (p *pool) dialFailed(u *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.dialFailed(time.Now(), p.rng.Float64())
}

// answered notes how u did on an exchange that was sent.
func (p *pool) answered(u *upstream, good bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.answered(time.Now(), good)
}
