package member

import "slices"

// Assign shares services out over daemons, by weight; the same input gives the same result everywhere.
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

// weight is a daemon's weight, which an odd row must not make zero.
func weight(n Node) float64 {
	return max(n.Weight, 0.01)
}
