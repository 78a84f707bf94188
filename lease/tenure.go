package lease

import (
	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Tenure is a duty held under one epoch; it is checked right before each act and its condition
// goes into each transaction made under it.
type Tenure struct {
	Duty  string
	Epoch int64

	k *Keeper
}

// Check returns an error of kind fault.Fenced when the duty may be held by another or under a newer epoch.
func (t Tenure) Check() error {
	if t.k.holds(t.Duty, t.Epoch) {
		return nil
	}
	return fault.New(fault.Fenced, "duty %s isn't held under epoch %d any more", t.Duty, t.Epoch)
}

// Cond returns the step that conditions a transaction on the epoch still being the newest.
func (t Tenure) Cond() backing.Op {
	return Cond(t.Duty, t.Epoch)
}
