package watch

import (
	"sync/atomic"

	"gypsumlead/sleep"
)

// Interest records whether somebody in this process needs a table's changes immediately. It is safe for concurrent
// use.
type Interest struct {
	on   atomic.Bool
	wake chan struct{}
}

// NewInterest returns an Interest that is off.
func NewInterest() *Interest { return &Interest{wake: make(chan struct{}, 1)} }

// Set turns the interest on or off. Turning it on makes the Watcher poll immediately.
func (i *Interest) Set(on bool) {
	if !i.on.Swap(on) && on {
		sleep.Wake(i.wake)
	}
}
