package watch

import (
	"sync/atomic"

	"gypsumlead/sleep"
)

// Level is how soon a table's changes are needed.
type Level int32

// The levels of interest.
const (
	Dormant    Level = iota // not at all: the table isn't polled
	Occasional              // within about a second, to be up to date when they are needed at once
	Immediate               // as soon as possible
)

// Interest records how soon this process needs a table's changes. It is safe for concurrent use.
type Interest struct {
	level atomic.Int32
	wake  chan struct{}
}

// NewInterest returns an Interest at level Occasional.
func NewInterest() *Interest {
	i := &Interest{wake: make(chan struct{}, 1)}
	i.level.Store(int32(Occasional))
	return i
}

// Set sets the level. A higher one than before makes the Watcher poll immediately.
func (i *Interest) Set(level Level) {
	if before := Level(i.level.Swap(int32(level))); before < level {
		sleep.Wake(i.wake)
	}
}

// Level returns the present level.
func (i *Interest) Level() Level { return Level(i.level.Load()) }
