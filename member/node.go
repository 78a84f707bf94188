package member

import (
	"encoding/json"
	"net/netip"

	"gypsumlead/fault"
)

// Node is what a daemon says of itself.
type Node struct {
	Name    string         `json:"name"`
	Boot    string         `json:"boot"` // another one after each start of the process
	Peer    netip.AddrPort `json:"peer"` // where other daemons reach it
	Centre  string         `json:"centre"`
	Region  string         `json:"region"`
	Weight  float64        `json:"weight"`          // processor share; larger daemons take more duties
	Holds   []string       `json:"holds,omitempty"` // services that it schedules
	Leaving bool           `json:"leaving,omitempty"`
}

func (n Node) encode() ([]byte, error) {
	b, err := json.Marshal(n)
	return b, fault.Wrap(fault.Internal, err, "encode the daemon's row")
}

func decodeNode(value []byte) (Node, error) {
	var n Node
	err := json.Unmarshal(value, &n)
	return n, fault.Wrap(fault.Invalid, err, "row of a daemon")
}
