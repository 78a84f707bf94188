package member

import (
	"encoding/json"
	"net/netip"

	"gypsumlead/fault"
)

// Node describes a daemon; it is the content of the daemon's row.
type Node struct {
	Name   string         `json:"name"`
	Boot   string         `json:"boot"` // identifies this incarnation; new with each start of the process
	Peer   netip.AddrPort `json:"peer"` // address for other daemons
	Centre string         `json:"centre"`
	Region string         `json:"region"`
	Weight float64        `json:"weight"`          // processor share; larger daemons lead more services
	Holds  []string       `json:"holds,omitempty"` // services that it leads
	// Terms has the terms of leadership of these services. Rows of earlier releases lack it.
	Terms   map[string]int `json:"terms,omitempty"`
	Leaving bool           `json:"leaving,omitempty"`
	// Infrequent states that the daemon's heartbeats are rareInterval apart: it leads nothing, and enough others are to
	// lead before it does.
	Infrequent bool `json:"rare,omitempty"`
}

func (n Node) encode() ([]byte, error) {
	b, err := json.Marshal(n)
	return b, fault.Wrap(fault.Internal, err, "encode the daemon's row")
}

func decodeNode(value []byte) (Node, error) {
	var n Node
	err := json.Unmarshal(value, &n)
	return n, fault.Wrap(fault.Invalid, err, "decode a daemon's row")
}
