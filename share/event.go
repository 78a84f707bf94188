package share

import (
	"time"

	"gypsumlead/fault"
	"gypsumlead/record"
)

// Event is what can happen to a pool's slots: Arrive, Finish, Cancel, Capacity, Configure or Tick.
type Event interface{ event() }

// Arrive is a request that asks for a slot; its answer is due by Deadline.
type Arrive struct {
	ID       uint64
	Service  string
	Work     string // empty means the service's first kind of work
	Deadline time.Time
	Full     bool // the entry has no room left for requests that wait for this pool
}

// Finish is the end of a started request.
type Finish struct {
	ID uint64
}

// Cancel is a caller that left; its request's run time is not measured.
type Cancel struct {
	ID uint64
}

// Capacity is a change of the slots that may be used.
type Capacity struct {
	Slots int // that this entry may use
	Total int // that all entries may use together; Slots where it is less
}

// Configure replaces the services of the pool.
type Configure struct {
	Services []Service
}

// Tick is the passing of time; Pool.Next says when one is due.
type Tick struct{}

// Service is a service of the pool with its kinds of work.
type Service struct {
	Name  string
	Works []record.Work
}

func (Arrive) event()    {}
func (Finish) event()    {}
func (Cancel) event()    {}
func (Capacity) event()  {}
func (Configure) event() {}
func (Tick) event()      {}

// Effect is what has to be done after an event: Start or Refuse.
type Effect interface{ effect() }

// Start lets a request take a slot.
type Start struct {
	ID uint64
}

// Refuse turns a request away before any of it has been sent.
type Refuse struct {
	ID    uint64
	Kind  fault.Kind
	Retry time.Duration // when to come back
}

func (Start) effect()  {}
func (Refuse) effect() {}
