package emulator

import (
	"slices"
	"time"

	"gypsumlead/work"
)

// Stats summarizes the jobs from the callers' side.
type Stats struct {
	Submitted, Accepted, Done, Failed int
	MedianLatency, MaxLatency         time.Duration // from submission until the caller sees that the job is completed
}

// Stats returns the numbers and latencies so far.
func (c *Cluster) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	var stats Stats
	var latencies []time.Duration
	for _, sub := range c.jobs {
		stats.Submitted++
		if sub.accepted {
			stats.Accepted++
		}
		switch sub.state {
		case work.Done:
			stats.Done++
			latencies = append(latencies, sub.latency)
		case work.Failed:
			stats.Failed++
		case work.Queued, work.Running, work.Cancelled:
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		stats.MedianLatency, stats.MaxLatency = latencies[len(latencies)/2], latencies[len(latencies)-1]
	}
	return stats
}
