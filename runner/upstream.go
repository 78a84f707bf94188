package runner

import (
	"math"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

const (
	backoffFirst = 100 * time.Millisecond // after one failed dial; doubles with each further one
	backoffLimit = 5 * time.Second
	doubtLimit   = 16.0            // failed answers beyond this many weigh no more
	distrustTime = time.Minute     // without reuse after surplus bytes
	doubtHalf    = 5 * time.Second // half-life of the weight of failed answers
)

// upstream is one boot of one instance in one pool; its fields are guarded by the pool's lock.
// The count of exchanges in progress includes one from before its connection is chosen until it has ended.
type upstream struct {
	instance   backing.Instance // never changes
	slots      int              // as in Target
	leaving    bool
	inProgress int64
	idle       []*channel // last used at the end
	single     time.Time  // has sent surplus bytes: until then each connection carries one exchange only
	fails      int        // failed dials in a row
	until      time.Time  // no exchange before
	doubt      float64    // recent failed answers, decaying
	doubtAt    time.Time
}

// identity returns the instance's boot.
func (u *upstream) identity() identity {
	return identity{id: u.instance.ID, boot: u.instance.Boot}
}

// is tells whether i is the same boot in the same place.
func (u *upstream) is(i backing.Instance) bool {
	h := u.instance
	return h.ID == i.ID && h.Boot == i.Boot && h.Addr == i.Addr && h.Centre == i.Centre && h.Region == i.Region
}

// check returns a breach if the count of exchanges can't be true.
func (u *upstream) check(limit int64) error {
	if u.inProgress < 0 || u.inProgress > limit {
		return fault.New(fault.Breach, "runner %s of boot %s has %d exchanges in progress, of 0 to %d", u.instance.ID, u.instance.Boot, u.inProgress, limit)
	}
	return nil
}

// eligible tells whether an exchange may start now; after a failed dial one at a time may.
func (u *upstream) eligible(now time.Time, limit int64) bool {
	if u.leaving || now.Before(u.until) {
		return false
	}
	if u.slots != 0 {
		limit = min(limit, int64(u.slots))
	}
	if u.fails > 0 {
		limit = min(limit, 1)
	}
	return u.inProgress < limit
}

// weight orders eligible upstreams: the load, times the doubt that recent failures cast.
func (u *upstream) weight(now time.Time) float64 {
	return float64(u.inProgress+1) * (1 + u.doubtNow(now))
}

// doubtNow returns the decayed weight of failed answers.
func (u *upstream) doubtNow(now time.Time) float64 {
	if u.doubt == 0 {
		return 0
	}
	return u.doubt * math.Exp2(-float64(now.Sub(u.doubtAt))/float64(doubtHalf))
}

// dialFailed backs off; jitter is in [0, 1).
func (u *upstream) dialFailed(now time.Time, jitter float64) {
	d := backoffLimit
	if u.fails < 6 {
		d = min(backoffFirst<<u.fails, backoffLimit)
	}
	u.fails++
	u.until = now.Add(time.Duration(float64(d) * (0.5 + jitter/2)))
}

// answered notes how an exchange went after something was sent.
func (u *upstream) answered(now time.Time, good bool) {
	doubt := u.doubtNow(now)
	if good {
		u.fails = 0
		u.doubt = doubt / 2
	} else {
		u.doubt = min(doubt+1, doubtLimit)
	}
	u.doubtAt = now
}

// takeIdle removes and returns the youngest idle connection, and those too old to be trusted.
func (u *upstream) takeIdle(now time.Time, life time.Duration) (fresh *channel, stale []*channel) {
	for len(u.idle) > 0 && fresh == nil {
		last := len(u.idle) - 1
		c := u.idle[last]
		u.idle[last] = nil
		u.idle = u.idle[:last]
		if now.Sub(c.proved) < life && c.client.Err() == nil {
			fresh = c
			continue
		}
		u.inspect(now, c)
		stale = append(stale, c)
	}
	return fresh, stale
}

// expire removes the idle connections that proved themselves last before the instant.
func (u *upstream) expire(now, before time.Time) []*channel {
	var old []*channel
	kept := u.idle[:0]
	for _, c := range u.idle {
		if c.proved.Before(before) || c.client.Err() != nil {
			u.inspect(now, c)
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(u.idle[len(kept):])
	u.idle = kept
	return old
}

// inspect draws the conclusion from a connection that is given up after a whole answer. One that
// was closed before its reader was done may have been closed for another reason, so that the
// distrust ends after a while.
func (u *upstream) inspect(now time.Time, c *channel) {
	if c.client.Err() != nil && c.link.surplus() {
		u.single = now.Add(distrustTime)
	}
}
