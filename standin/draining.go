package standin

import (
	"net/netip"
	"time"
)

// DrainTime is how long after the store has accepted that a runner drains tasks may be started there, from the settings of
// the smallest sites.
const DrainTime = 2 * time.Second

// Drain records that the store has accepted that the runner drains.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainingAt = time.Now()
}

// WatchContact sets the function that tells since when nothing has disturbed a daemon's contact with the store, zero if
// something does. It has to be set before the first order; without it, draining is not checked.
func (c *Checker) WatchContact(contactSince func(daemon netip.Addr) time.Time) {
	c.contact = contactSince
}

// contactOf returns since when the contact of the daemon at an address and port is undisturbed.
func (c *Checker) contactOf(addrPort string) time.Time {
	from, err := netip.ParseAddrPort(addrPort)
	if err != nil {
		return time.Time{}
	}
	return c.contact(from.Addr())
}

// startedWhileDraining records a violation if the daemon that ordered a start is in contact with the store and the runner
// has drained for longer than DrainTime. The caller holds r.mu.
func (c *Checker) startedWhileDraining(r *Runner, o wireOrder) {
	order := Request{SentAt: time.Now(), ContactSince: o.contactSince}
	drained := time.Since(r.drainingAt)
	if !order.inContact() || drained <= DrainTime {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("%s started on %s at %s, which had drained for %v", o.Task, r.ID, order.SentAt.Format("05.000"), drained)
}
