package peer

import (
	"net/netip"

	"gypsumlead/peer/wire"
)

const protocolVersion = 1 // incremented when an older daemon could misread a message

// Identity identifies a daemon and its incarnation.
type Identity struct {
	Instance string
	Boot     string
	Centre   string
	Region   string
}

// Target is a daemon that a Mesh keeps a session with.
type Target struct {
	Instance string // may be empty if only the address is configured
	Addr     netip.AddrPort
	Centre   string
}

// hello returns the message by which a daemon introduces itself.
func (i Identity) hello() *wire.Hello {
	return &wire.Hello{Instance: i.Instance, Boot: i.Boot, Centre: i.Centre, Region: i.Region, Protocol: protocolVersion}
}

// identityOf returns the identity that a hello message carries.
func identityOf(h *wire.Hello) Identity {
	return Identity{Instance: h.GetInstance(), Boot: h.GetBoot(), Centre: h.GetCentre(), Region: h.GetRegion()}
}
