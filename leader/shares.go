package leader

import "gypsumlead/platform"

// weights returns the weights of the workspaces by name.
func weights(workspaces []platform.Workspace) map[string]float64 {
	byName := make(map[string]float64, len(workspaces))
	for _, w := range workspaces {
		byName[w.Name] = w.Weight
	}
	return byName
}

// SetFractions sets the fractions of the workspaces' arrivals that this service gets. A workspace without one is assumed to
// send the same to all services.
func (l *Leader) SetFractions(fractions map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.SetFractions(fractions)
}
