package member

import "slices"

// Assign distributes services over daemons in proportion to their weights and returns the daemon's name by service.
// It is deterministic, so that every daemon computes the same result.
func Assign(services []string, nodes []Node) map[string]string {
	plan := map[string]string{}
	if len(nodes) == 0 {
		return plan
	}
	sorted := slices.Sorted(slices.Values(services))
	load := make([]float64, len(nodes))
	for _, s := range sorted {
		best := 0
		for i, n := range nodes {
			if (load[i]+1)/weight(n) < (load[best]+1)/weight(nodes[best]) {
				best = i
			}
		}
		load[best]++
		plan[s] = nodes[best].Name
	}
	return plan
}

// weight returns a daemon's weight, at least 0.01: an invalid row must not make it zero.
func weight(n Node) float64 {
	return max(n.Weight, 0.01)
}
