package follow

import (
	"sync/atomic"

	"gypsumlead/sleep"
)

// Need says whether somebody here needs a table's changes at once; it may be changed by many goroutines.
type Need struct {
	on   atomic.Bool
	wake chan struct{}
}

// NewNeed returns a need that is off.
func NewNeed() *Need { return &Need{wake: make(chan struct{}, 1)} }

// Set turns the need on or off; turned on, the table is looked at without delay.
func (n *Need) Set(on bool) {
	if !n.on.Swap(on) && on {
		sleep.Wake(n.wake)
	}
}
