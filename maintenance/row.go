package maintenance

import (
	"encoding/json"
	"maps"

	"gypsumlead/fault"
)

// Stage is the progress of one machine of a wave.
type Stage string

// The stages of a machine; a machine that isn't in the row hasn't begun.
const (
	Pending Stage = ""        // it still takes work, or is being evacuated
	Claimed Stage = "claimed" // it counts as down
	Done    Stage = "done"    // it is back in service
	Gone    Stage = "left"    // it no longer exists, or is not a machine of the wave
)

// Row is the stored progress of a wave. No more machines are claimed at a time than the operator allows.
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

// Finished reports whether a machine is done or gone.
func (r Row) Finished(machine string) bool {
	s := r.Machines[machine]
	return s == Done || s == Gone
}

// AllFinished reports whether all machines are done or gone.
func (r Row) AllFinished(machines []string) bool {
	for _, m := range machines {
		if !r.Finished(m) {
			return false
		}
	}
	return true
}

// With returns a copy in which a machine has the given stage.
func (r Row) With(machine string, stage Stage) Row {
	stages := maps.Clone(r.Machines)
	if stages == nil {
		stages = map[string]Stage{}
	}
	stages[machine] = stage
	return Row{Machines: stages, Complete: r.Complete}
}

// Encode returns the row in its stored form.
func (r Row) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, fault.Wrap(fault.Internal, err, "encode wave row")
}

// DecodeRow decodes a wave's row from its stored form.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	err := json.Unmarshal(value, &r)
	return r, fault.Wrap(fault.Invalid, err, "decode wave row")
}
