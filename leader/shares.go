package leader

import (
	"time"

	"gypsumlead/budget"
	"gypsumlead/platform"
)

// weights returns the weights of the workspaces by name.
func weights(workspaces []platform.Workspace) map[string]float64 {
	byName := make(map[string]float64, len(workspaces))
	for _, w := range workspaces {
		byName[w.Name] = w.Weight
	}
	return byName
}

// fractions returns which part of each workspace's guaranteed rate this service gives. While a workspace keeps its rate over
// all services, that is the whole rate: its jobs come to one service after the other, and parts that follow its arrivals
// would be too small whenever its load changes over. The caller holds l.mu.
func (l *Leader) fractions(now time.Time, a budget.Answer) map[string]float64 {
	parts := make(map[string]float64, len(l.workspaces))
	for _, w := range l.workspaces {
		parts[w.Name] = 1
		if total := a.Portions[w.Name].Arrivals; total > w.Weight {
			parts[w.Name] = min(1, l.pool.WorkspaceArrivals(now, w.Name)/total)
		}
	}
	return parts
}
