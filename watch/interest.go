package watch

import (
	"sync/atomic"

	"gypsumlead/sleep"
)

// Interest says whether somebody here needs a table's changes at once; it may be changed by many goroutines.
type Interest struct {
	on   atomic.Bool
	wake chan struct{}
}

// NewInterest returns a need that is off.
func NewInterest() *Interest { return &Interest{wake: make(chan struct{}, 1)} }

// Set turns the need on or off; turned on, the table is looked at without delay.
func (n *Interest) Set(on bool) {
	if !n.on.Swap(on) && on {
		sleep.Wake(n.wake)
	}
}
