package record

import (
	"slices"

	"gypsumlead/fault"
)

// KindWave is the kind of Wave records.
const KindWave Kind = "wave"

// Order says in which order a wave takes the instances of a pool.
type Order string

// The orders of a wave; an empty order means OrderSpread.
const (
	OrderSpread Order = "spread" // over racks and data centres, as many at once as the budget allows
	OrderRack   Order = "rack"   // one rack after the other
	OrderSerial Order = "serial" // one instance after the other
)

// Wave is an operator's request to reboot the instances of pools or racks, each under its pool's budget.
type Wave struct {
	Pools     []string `json:"pools,omitempty"`     // none means every pool
	Racks     []string `json:"racks,omitempty"`     // none means every rack
	Instances []string `json:"instances,omitempty"` // none means every instance
	Order     Order    `json:"order,omitempty"`
	Pace      int      `json:"pace,omitempty"`      // most instances of one pool that the wave has out at once; zero leaves it to the budget
	Paused    bool     `json:"paused,omitempty"`    // takes no further instances; those out finish
	Cancelled bool     `json:"cancelled,omitempty"` // ends when those out have finished
	Resumed   int      `json:"resumed,omitempty"`   // raised by the operator to go on after the wave stopped itself
}

// Kind returns KindWave.
func (*Wave) Kind() Kind { return KindWave }

// Schema returns 1.
func (*Wave) Schema() int { return 1 }

// Check finds waves over nothing in particular and orders that don't exist.
func (w *Wave) Check() error {
	if len(w.Pools) == 0 && len(w.Racks) == 0 && len(w.Instances) == 0 {
		return fault.New(fault.Invalid, "wave: name the pools, racks or instances that it goes over")
	}
	if !slices.Contains([]Order{"", OrderSpread, OrderRack, OrderSerial}, w.Order) {
		return fault.New(fault.Invalid, "wave: order %q is none of spread, rack and serial", w.Order)
	}
	if w.Pace < 0 || w.Resumed < 0 {
		return fault.New(fault.Invalid, "wave: pace and resumed can't be negative")
	}
	return nil
}

// Covers tells whether the wave goes over the instances of a pool.
func (w *Wave) Covers(pool string) bool {
	return len(w.Pools) == 0 || slices.Contains(w.Pools, pool)
}

// Holds tells whether the wave goes over an instance of one of its pools that stands in rack.
func (w *Wave) Holds(id, rack string) bool {
	if len(w.Instances) > 0 && !slices.Contains(w.Instances, id) {
		return false
	}
	return len(w.Racks) == 0 || slices.Contains(w.Racks, rack)
}
