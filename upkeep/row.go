package upkeep

import (
	"encoding/json"
	"strconv"
	"time"

	"gypsumlead/fault"
	"gypsumlead/platform"
)

// table has a row for each wave.
const table = "wave"

// Stage is how far one machine of a wave is.
type Stage string

// The stages of a machine; one that isn't in the row hasn't begun.
const (
	Claimed Stage = "claimed" // it counts as down
	Done    Stage = "done"    // it has come back
	Left    Stage = "left"    // it is no longer there, or not a machine of the wave
)

// Entry is what the row says of a machine.
type Entry struct {
	Stage  Stage         `json:"stage"`
	By     string        `json:"by"`   // daemon that orders it
	Boot   string        `json:"boot"` // and its start
	At     time.Duration `json:"at"`   // the store's clock when that was written
	Runner string        `json:"runner,omitempty"`
}

// Row is how far a wave is; at most as many machines as the operator allows are claimed at once.
type Row struct {
	Machines map[string]Entry `json:"machines"`
	Complete bool             `json:"complete,omitempty"`
}

// down returns how many machines are claimed.
func (r Row) down() int {
	n := 0
	for _, e := range r.Machines {
		if e.Stage == Claimed {
			n++
		}
	}
	return n
}

// over tells whether a machine needs nothing more.
func (r Row) over(machine string) bool {
	s := r.Machines[machine].Stage
	return s == Done || s == Left
}

// with returns a copy in which a machine has another entry.
func (r Row) with(machine string, e Entry) Row {
	all := make(map[string]Entry, len(r.Machines)+1)
	for k, v := range r.Machines {
		all[k] = v
	}
	all[machine] = e
	return Row{Machines: all, Complete: r.Complete}
}

func keyOf(wave int64) string { return strconv.FormatInt(wave, 10) }

func decodeRow(r platform.Row) (Row, error) {
	var row Row
	err := json.Unmarshal(r.Value, &row)
	return row, fault.Wrap(fault.Invalid, err, "row of wave %s", r.Key)
}

func (r Row) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, fault.Wrap(fault.Internal, err, "encode the row of a wave")
}
