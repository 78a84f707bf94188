package leader

import (
	"time"

	"gypsumlead/sched"
	"gypsumlead/sleep"
)

// SetEvacuating has a runner emptied, or lets it take work again.
func (h *Leader) SetEvacuating(runner string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.SetEvacuating(runner, on)
	sleep.Wake(h.kick)
}

// SetMaintenanceDue tells that a runner will have to become empty soon, or won't any more.
func (h *Leader) SetMaintenanceDue(runner string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.SetMaintenanceDue(runner, on)
}

// RunnerEmpty tells whether nothing runs on a runner.
func (h *Leader) RunnerEmpty(runner string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.RunnerEmpty(runner)
}

// Availability returns how many runners take work and whether the pool is busy.
func (h *Leader) Availability() (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Availability(h.Now())
}

// Demand returns what the service's work asks for.
func (h *Leader) Demand() sched.Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Demand(h.Now(), time.Now())
}

// RunnerStatuses returns the service's runners.
func (h *Leader) RunnerStatuses() []sched.RunnerStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.RunnerStatuses(h.Now())
}

// SetRetained names the runners that stay when machines are given back.
func (h *Leader) SetRetained(runners map[string]struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.SetRetained(runners)
}

// Stats returns what the scheduler has done and has to do.
func (h *Leader) Stats() sched.Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Stats(h.Now())
}

// Term returns which holder of the service this is, counted from 1.
func (h *Leader) Term() int { return h.claim.Row.Term }
