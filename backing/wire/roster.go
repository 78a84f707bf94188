package wire

import (
	"gypsumlead/backing"
)

// Paths of the roster.
const (
	PathRoster = "/instances/roster"
	PathLook   = "/instances/look"

	PathLookWorkers = "/workers/look"
)

// Roster asks for what has changed since a stamp.
type Roster struct {
	Known backing.Stamp `json:"known"`
}

// Delta answers Roster.
type Delta struct {
	Stamp   backing.Stamp      `json:"stamp"`
	Whole   bool               `json:"whole,omitempty"`   // replaces the list held
	Changed []backing.Instance `json:"changed,omitempty"` // with Seen left out
	Removed []string           `json:"removed,omitempty"`
}

// Look asks for the newest signs of life of instances, or for workers.
type Look struct {
	Instances []string `json:"instances"`
}
