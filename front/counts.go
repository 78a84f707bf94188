package front

import (
	"maps"
	"sync"
)

// Counts counts answers by their status.
type Counts struct {
	mu sync.Mutex
	by map[string]int64
}

func (c *Counts) add(status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[string]int64{}
	}
	c.by[status]++
}

// Get returns the answers so far by their status.
func (c *Counts) Get() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.by)
}
