package maintenance

import (
	"encoding/json"
	"maps"

	"gypsumlead/fault"
)

// Stage is how far one machine of a wave is.
type Stage string

// The stages of a machine; one that isn't in the row hasn't begun.
const (
	Claimed Stage = "claimed" // it counts as down
	Done    Stage = "done"    // it has come back
	Gone    Stage = "left"    // it is no longer there, or not a machine of the wave
)

// Row is how far a wave is, as the store keeps it; at most as many machines as the operator allows are claimed at once.
type Row struct {
	Machines map[string]Stage `json:"machines"`
	Complete bool             `json:"complete,omitempty"`
}

// Down returns how many machines are claimed.
func (r Row) Down() int {
	n := 0
	for _, s := range r.Machines {
		if s == Claimed {
			n++
		}
	}
	return n
}

// Finished tells whether a machine needs nothing more.
func (r Row) Finished(machine string) bool {
	s := r.Machines[machine]
	return s == Done || s == Gone
}

// AllFinished tells whether no machine needs anything more.
func (r Row) AllFinished(machines []string) bool {
	for _, m := range machines {
		if !r.Finished(m) {
			return false
		}
	}
	return true
}

// With returns a copy in which a machine has another stage.
func (r Row) With(machine string, s Stage) Row {
	all := maps.Clone(r.Machines)
	if all == nil {
		all = map[string]Stage{}
	}
	all[machine] = s
	return Row{Machines: all, Complete: r.Complete}
}

// Encode returns the row in the store's form.
func (r Row) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, fault.Wrap(fault.Internal, err, "encode the row of a wave")
}

// DecodeRow reads a wave's row from the store.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	err := json.Unmarshal(value, &r)
	return r, fault.Wrap(fault.Invalid, err, "row of a wave")
}
