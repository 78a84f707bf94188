package record

import (
	"gypsumlead/fault"
)

// KindPool is the kind of Pool records.
const KindPool Kind = "pool"

// Pool is an operator's description of a pool of instances.
type Pool struct {
	Budget Budget `json:"budget"`
	Spare  bool   `json:"spare,omitempty"` // lends its instances to other pools
	Floor  int    `json:"floor,omitempty"` // fewest instances that the pool keeps when it lends
}

// Budget is a pool's availability budget: how many instances may be out at once, for
// planned and unplanned causes together.
type Budget struct {
	Out    int `json:"out"`              // in all
	Rack   int `json:"rack,omitempty"`   // in one rack; zero means no bound of its own
	Centre int `json:"centre,omitempty"` // in one data centre; zero means no bound of its own
}

// Kind returns KindPool.
func (*Pool) Kind() Kind { return KindPool }

// Schema returns 2; schema 1 had a bare number named "out" in place of the budget.
func (*Pool) Schema() int { return 2 }

// Check finds budgets that no pool can have.
func (p *Pool) Check() error {
	b := p.Budget
	if b.Out < 0 || b.Rack < 0 || b.Centre < 0 || p.Floor < 0 {
		return fault.New(fault.Invalid, "pool: budget and floor can't be negative")
	}
	if b.Rack > b.Out || b.Centre > b.Out {
		return fault.New(fault.Invalid, "pool: budget.rack (%d) and budget.centre (%d) can't be more than budget.out (%d)", b.Rack, b.Centre, b.Out)
	}
	return nil
}
