package emulator

import (
	"net/netip"
	"testing/synctest"
)

// cut cuts the links between two groups of hosts once all messages of this instant are written. A message of yamux takes
// two writes. If only the first one arrives, its reader waits under a lock that other goroutines need, and a synctest
// bubble's clock stops while a goroutine waits for a lock.
func cut(c *Cluster, a, b []netip.Addr) {
	synctest.Wait()
	c.Net.Cut(a, b)
}

// blackhole makes the open connections of a host silent, at a moment that is chosen as for cut.
func blackhole(c *Cluster, host netip.Addr) {
	synctest.Wait()
	c.Net.Blackhole(host)
}
