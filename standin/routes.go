package standin

import (
	"net/http"
	"time"
)

// Bounds on the configuration, from the settings of the smallest sites.
const (
	ApplyTime    = 2 * time.Second // after a version is stored, requests are handled by it
	contactGrace = 3 * time.Second // after its contact with the store was disturbed, a daemon may still go by what it had
)

// Request is a request to a daemon, and its answer.
type Request struct {
	Daemon       string
	SentAt       time.Time
	ContactSince time.Time // since when nothing has disturbed the daemon's contact with the store; zero if something does
	Status       int       // 0 without an answer
}

// inContact reports whether the daemon was in contact with the store for long enough.
func (r Request) inContact() bool {
	return !r.ContactSince.IsZero() && r.SentAt.Sub(r.ContactSince) > contactGrace
}

// must reports whether the request has to be handled by a configuration that was stored at a time.
func (r Request) must(storedAt time.Time) bool {
	return r.inContact() && r.SentAt.Sub(storedAt) > ApplyTime
}

// routeRecord is what the checker knows of a route that a configuration had.
type routeRecord struct {
	addedAt   time.Time
	droppedAt time.Time // zero while the newest configuration has it
}

// RoutesInForce records that the store has acknowledged a configuration with these routes, named by their prefixes.
func (c *Checker) RoutesInForce(prefixes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	present := map[string]struct{}{}
	for _, prefix := range prefixes {
		present[prefix] = struct{}{}
		if _, ok := c.routes[prefix]; !ok {
			c.routes[prefix] = &routeRecord{addedAt: now}
		}
	}
	for prefix, record := range c.routes {
		if _, ok := present[prefix]; !ok && record.droppedAt.IsZero() {
			record.droppedAt = now
		}
	}
}

// RouteAnswered checks the answer to a request on a route. It is a violation if a daemon in contact with the store refuses
// a route that was added longer ago than ApplyTime, or serves one that was dropped longer ago.
func (c *Checker) RouteAnswered(prefix string, r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.routes[prefix]
	known := r.Status != 0 && r.Status < http.StatusInternalServerError // an answer that depends on the configuration
	refused := r.Status == http.StatusNotFound
	switch {
	case !known:
	case refused && record.droppedAt.IsZero() && r.must(record.addedAt):
		c.addViolation("%s refused the route %s in a request of %s, added %v before", r.Daemon, prefix, r.SentAt.Format("05.000"), r.SentAt.Sub(record.addedAt))
	case !refused && !record.droppedAt.IsZero() && r.must(record.droppedAt):
		c.addViolation("%s served the route %s in a request of %s, dropped %v before", r.Daemon, prefix, r.SentAt.Format("05.000"), r.SentAt.Sub(record.droppedAt))
	}
}
