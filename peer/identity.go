package peer

import (
	"net/netip"

	"gypsumlead/peer/wire"
)

const protocol = 1 // raised when an older daemon could misread a message

// Identity is who a daemon is.
type Identity struct {
	Instance string
	Boot     string
	Centre   string
	Region   string
}

// Target is a daemon to keep a session with.
type Target struct {
	Instance string // may be empty for an address from the settings
	Addr     netip.AddrPort
	Centre   string
}

func (i Identity) hello() *wire.Hello {
	return &wire.Hello{Instance: i.Instance, Boot: i.Boot, Centre: i.Centre, Region: i.Region, Protocol: protocol}
}

func identityOf(h *wire.Hello) Identity {
	return Identity{Instance: h.GetInstance(), Boot: h.GetBoot(), Centre: h.GetCentre(), Region: h.GetRegion()}
}
