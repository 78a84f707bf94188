package share

import (
	"math"
	"time"
)

const (
	retryLeast = 1 * time.Second
	retryMost  = 30 * time.Second
	hashStep   = 0x9e3779b97f4a7c15 // spreads neighbouring IDs evenly over 64 bits
)

// wait estimates how long one more request of k would wait for a slot.
func (k *kind) wait() time.Duration {
	rate := k.rate()
	if rate <= 0 {
		return retryMost
	}
	sec := float64(len(k.queue)+1) / rate
	return seconds(math.Min(sec, retryMost.Seconds()))
}

// book returns how long a refused caller should stay away: callers are told times at which
// the kind can serve one of them after another, and beyond the longest wait they are spread
// over its upper half.
func (k *kind) book(id uint64, now time.Time) time.Duration {
	at := now.Add(max(k.wait(), retryLeast))
	rate := k.rate()
	if rate > 0 && k.booked.After(now) {
		turn := k.booked.Add(seconds(math.Min(1/rate, retryMost.Seconds())))
		if turn.After(at) {
			at = turn
		}
	}
	retry := at.Sub(now)
	if retry > retryMost {
		return retryMost/2 + time.Duration(id*hashStep%uint64(retryMost/2))
	}
	k.booked = at
	return retry
}
