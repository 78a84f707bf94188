package leader

import (
	"time"

	"gypsumlead/sched"
	"gypsumlead/sleep"
)

// SetEvacuating starts or ends the evacuation of a runner.
func (h *Leader) SetEvacuating(runner string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.SetEvacuating(runner, on)
	sleep.Wake(h.wakePlan)
}

// SetMaintenanceDue sets whether a runner will be evacuated for maintenance soon.
func (h *Leader) SetMaintenanceDue(runner string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.SetMaintenanceDue(runner, on)
}

// RunnerEmpty reports whether nothing runs on a runner. It returns false while that is unknown.
func (h *Leader) RunnerEmpty(runner string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.RunnerEmpty(runner)
}

// Availability returns the number of runners that accept work and whether the pool is busy.
func (h *Leader) Availability() (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Availability(h.Now())
}

// Demand returns the demand of the service's work for resources.
func (h *Leader) Demand() sched.Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Demand(h.Now(), time.Now())
}

// RunnerStatuses returns the status of each of the service's runners.
func (h *Leader) RunnerStatuses() []sched.RunnerStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.RunnerStatuses(h.Now())
}

// SetRetained sets the runners that the service keeps when it gives machines back.
func (h *Leader) SetRetained(runners map[string]struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.SetRetained(runners)
}

// Stats returns the scheduler's counters and its pending work.
func (h *Leader) Stats() sched.Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pool.Stats(h.Now())
}

// Term returns the number of this leadership term of the service, counted from 1.
func (h *Leader) Term() int { return h.lease.Row.Term }
