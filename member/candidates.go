package member

import (
	"cmp"
	"slices"
	"time"
)

// timeout returns how long a daemon's row may stay unchanged before the daemon counts as dead.
func (n Node) timeout() time.Duration {
	if n.Infrequent {
		return rareTimeout
	}
	return HeartbeatTimeout
}

// IsCandidate reports whether this daemon is to be ready to lead services.
func (m *Members) IsCandidate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isCandidate()
}

// isCandidate reports whether this daemon is among the first to lead, as far as it knows the others. The caller holds
// m.mu.
func (m *Members) isCandidate() bool {
	nodes := []Node{m.self}
	for _, row := range m.nodes {
		if row.node.Name != m.self.Name && !row.node.Leaving && m.fresh(row) {
			nodes = append(nodes, row.node)
		}
	}
	n := m.candidates()
	return len(nodes) <= n || slices.Contains(firstToLead(nodes, n), m.self.Name)
}

// firstToLead returns the names of the n daemons that are to lead first: the largest ones, by turns from each data centre,
// so that no data centre has them all.
func firstToLead(nodes []Node, n int) []string {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	position := make(map[string]int, len(sorted)) // within the daemons of equal weight of a data centre
	inCentre := map[string]map[float64]int{}
	for _, node := range sorted {
		if inCentre[node.Centre] == nil {
			inCentre[node.Centre] = map[float64]int{}
		}
		position[node.Name] = inCentre[node.Centre][node.Weight]
		inCentre[node.Centre][node.Weight]++
	}
	slices.SortStableFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(position[a.Name], position[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, node := range sorted[:min(n, len(sorted))] {
		names = append(names, node.Name)
	}
	return names
}
