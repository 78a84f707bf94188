package admission

import (
	"container/list"
	"sync"
	"time"

	"gypsumlead/fault"
)

// ErrEvicted is the error of a body that has to give way to others.
var ErrEvicted = fault.New(fault.Overload, "the memory for requests that are still arriving is used up")

// Budget bounds the memory of request bodies. When it is used up, the longest unfinished body gives way, so that a body that arrives
// at once is taken however many others never finish.
type Budget struct {
	mu       sync.Mutex
	limit    int64
	used     int64     // bytes of all bodies
	leaving  int64     // of these, bytes of evicted bodies that haven't been released
	arriving list.List // of *Body that aren't complete, the longest unfinished first
	waiting  list.List // of *Body that wait for memory
}

// Body is one body's part of a Budget.
type Body struct {
	budget    *Budget
	begun     time.Time
	interrupt func() // makes a pending read of the body fail
	held      int64
	wanted    int64         // while it waits
	place     *list.Element // in arriving; nil once the body is complete, evicted or released
	queued    *list.Element // in waiting
	evicted   bool
	complete  bool
	woken     chan struct{} // receives when the body no longer waits
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Begin adds a body of which nothing has arrived. If the body has to give way, interrupt is called, which must not block and must make a
// pending read fail.
func (b *Budget) Begin(interrupt func()) *Body {
	b.mu.Lock()
	defer b.mu.Unlock()
	y := &Body{budget: b, begun: time.Now(), interrupt: interrupt, woken: make(chan struct{}, 1)}
	y.place = b.arriving.PushBack(y)
	return y
}

// EvictLongest evicts the longest unfinished body. It returns false if none has been unfinished for so long.
func (b *Budget) EvictLongest(atLeast time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	victim := b.longest(nil)
	if victim == nil || time.Since(victim.begun) < atLeast {
		return false
	}
	b.evict(victim)
	return true
}

// Grow takes more bytes of the budget. It waits until evicted bodies have released as many, and fails with ErrEvicted if the body itself
// has to give way.
func (y *Body) Grow(bytes int64) error {
	b := y.budget
	b.mu.Lock()
	if !y.evicted && b.waiting.Len() == 0 && b.used+bytes <= b.limit {
		b.used += bytes
		y.held += bytes
		b.mu.Unlock()
		return nil
	}
	waits := !y.evicted
	if waits {
		y.wanted = bytes
		y.queued = b.waiting.PushBack(y)
		b.makeRoom(y)
	}
	b.mu.Unlock()
	if waits {
		<-y.woken
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if y.evicted {
		return ErrEvicted
	}
	return nil
}

// Complete notes that the whole body has arrived: from now on it doesn't give way. It fails with ErrEvicted if the body had to give way
// before.
func (y *Body) Complete() error {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	if y.evicted {
		return ErrEvicted
	}
	y.complete = true
	y.leaveArriving()
	return nil
}

// Evicted reports whether the body has to give way.
func (y *Body) Evicted() bool {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	return y.evicted
}

func (y *Body) isComplete() bool {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	return y.complete
}

// Limit returns the most bytes that the body may take.
func (y *Body) Limit() int64 { return y.budget.limit }

// Release returns the body's bytes to the budget; further calls do nothing.
func (y *Body) Release() {
	b := y.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	y.leaveArriving()
	b.used -= y.held
	if y.evicted {
		b.leaving -= y.held
	}
	y.held = 0
	b.grantWaiting()
}

// makeRoom evicts bodies until all that wait will have room. The one that asks gives way only if nobody else can.
func (b *Budget) makeRoom(asking *Body) {
	for b.used-b.leaving+b.wanted() > b.limit {
		victim := b.longest(asking)
		if victim == nil {
			b.evict(asking)
			return
		}
		b.evict(victim)
	}
	b.grantWaiting()
}

// wanted returns the sum of what bodies wait for.
func (b *Budget) wanted() int64 {
	var sum int64
	for e := b.waiting.Front(); e != nil; e = e.Next() {
		sum += e.Value.(*Body).wanted
	}
	return sum
}

// longest returns the longest unfinished body other than one, or nil.
func (b *Budget) longest(other *Body) *Body {
	for e := b.arriving.Front(); e != nil; e = e.Next() {
		if y := e.Value.(*Body); y != other {
			return y
		}
	}
	return nil
}

// evict tells a body to give way.
func (b *Budget) evict(y *Body) {
	y.leaveArriving()
	y.evicted = true
	b.leaving += y.held
	b.stopWaiting(y)
	y.interrupt()
}

// grantWaiting gives bodies that wait what they asked for, in the order of asking, as far as there is room.
func (b *Budget) grantWaiting() {
	for e := b.waiting.Front(); e != nil; e = b.waiting.Front() {
		y := e.Value.(*Body)
		if b.used+y.wanted > b.limit {
			return
		}
		b.used += y.wanted
		y.held += y.wanted
		b.stopWaiting(y)
	}
}

// stopWaiting wakes a body that waits.
func (b *Budget) stopWaiting(y *Body) {
	if y.queued == nil {
		return
	}
	b.waiting.Remove(y.queued)
	y.queued, y.wanted = nil, 0
	y.woken <- struct{}{}
}

// leaveArriving takes the body out of those that can give way.
func (y *Body) leaveArriving() {
	if y.place != nil {
		y.budget.arriving.Remove(y.place)
		y.place = nil
	}
}
