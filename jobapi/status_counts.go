package jobapi

import (
	"maps"
	"sync"
)

// StatusCounts counts responses by status; the zero value is ready for use.
type StatusCounts struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (c *StatusCounts) add(status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[status]++
}

// Snapshot returns a copy of the number of responses by status.
func (c *StatusCounts) Snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
