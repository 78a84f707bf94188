package share

import (
	"sync/atomic"
)

// room bounds the requests that wait at one entry, over all pools: once it is used up, a pool
// that uses more than its part by slots gets no more.
type room struct {
	limit   int64
	slots   atomic.Int64
	waiting atomic.Int64
}

// full tells whether a pool with that many slots and waiting requests may not queue another.
func (r *room) full(slots, waiting int) bool {
	if r.waiting.Load() < r.limit {
		return false
	}
	return int64(waiting)*r.slots.Load() >= r.limit*int64(slots)
}

// account takes in how a pool's slots and waiting requests have changed.
func (r *room) account(slots, waiting int) {
	r.slots.Add(int64(slots))
	r.waiting.Add(int64(waiting))
}
