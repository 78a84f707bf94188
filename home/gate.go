package home

import (
	"gypsumlead/fault"
	"gypsumlead/platform"
)

// Gate is the open gate of a queue at one service. While its row has this version, no other partition takes new jobs of the
// queue, and those that Former names don't get any before the gate is closed. What is absent there stays absent.
type Gate struct {
	Service string
	Path    string // of the queue
	Version int64  // of the gate's row
	Former  []string
}

// Condition returns the condition under which a transaction stores jobs of the queue.
func (g Gate) Condition() platform.Condition {
	return platform.Condition{RowKey: g.Key(), Version: g.Version}
}

// Key returns the key of the gate's row.
func (g Gate) Key() platform.RowKey { return gateKey(g.Service, g.Path) }

// Moved is the error of a queue that a later configuration sends to another service.
type Moved struct {
	Config int64 // version of that configuration, or of a later one
}

// Error returns the text of a queue that has moved.
func (*Moved) Error() string { return "a later configuration sends the queue to another service" }

func movedError(config int64) error {
	return fault.Wrap(fault.Conflict, &Moved{config}, "open the gate of a queue")
}
