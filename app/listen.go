package app

import (
	"net"
	"net/netip"

	"gypsumlead/fault"
	"gypsumlead/settings"
)

// listeners are the daemon's open listeners.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// listen opens all listeners or none.
func listen(l settings.Listen) (listeners, error) {
	var ls listeners
	for _, one := range []struct {
		addr netip.AddrPort
		at   *net.Listener
	}{{l.Callers, &ls.callers}, {l.Operators, &ls.operators}, {l.Peers, &ls.peers}} {
		open, err := net.Listen("tcp", one.addr.String())
		if err != nil {
			ls.close()
			return listeners{}, fault.Wrap(fault.Invalid, err, "listen on %s", one.addr)
		}
		*one.at = open
	}
	return ls, nil
}

func (ls listeners) close() {
	for _, l := range []net.Listener{ls.callers, ls.operators, ls.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (ls listeners) addrs() Addrs {
	return Addrs{
		Callers:   addrOf(ls.callers),
		Operators: addrOf(ls.operators),
		Peers:     addrOf(ls.peers),
	}
}

func addrOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}
