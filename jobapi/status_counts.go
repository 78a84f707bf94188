package jobapi

import (
	"maps"
	"sync"
)

// StatusCounts counts answers by their status.
type StatusCounts struct {
	mu sync.Mutex
	by map[string]int64
}

func (c *StatusCounts) add(status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[string]int64{}
	}
	c.by[status]++
}

// Snapshot returns the answers so far by their status.
func (c *StatusCounts) Snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.by)
}
