package leader

import (
	"time"

	"gypsumlead/sched"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// SetEvacuating starts or ends the evacuation of a runner.
func (l *Leader) SetEvacuating(runner string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.SetEvacuating(runner, on)
	sleep.Wake(l.wakePlan)
}

// SetEndPlanned records that an order may take a machine down, so that the end of its runner is no crash.
func (l *Leader) SetEndPlanned(machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.SetEndPlanned(l.Now(), machine)
}

// SetMaintenanceDue sets whether a runner will be evacuated for maintenance soon.
func (l *Leader) SetMaintenanceDue(runner string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.SetMaintenanceDue(runner, on)
}

// RunnerEmpty reports whether nothing runs on a runner. It returns false while that is unknown.
func (l *Leader) RunnerEmpty(runner string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.RunnerEmpty(runner)
}

// Availability returns the number of runners that accept work and whether the pool is busy.
func (l *Leader) Availability() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.Availability(l.Now())
}

// Demand returns the CPU that the service's work needs.
func (l *Leader) Demand() sched.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.Demand(l.Now(), time.Now())
}

// RunnerStatuses returns the status of each of the service's runners.
func (l *Leader) RunnerStatuses() []sched.RunnerStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.RunnerStatuses(l.Now())
}

// SetRetained sets the runners that the service keeps when it releases machines.
func (l *Leader) SetRetained(runners map[string]struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.SetRetained(runners)
}

// Stats returns the scheduler's counters and its pending work.
func (l *Leader) Stats() sched.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.Stats(l.Now())
}

// RackWaits returns the tasks of a job that wait for room in a rack.
func (l *Leader) RackWaits(id work.ID) []sched.RackWait {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.RackWaits(id)
}

// Term returns the number of this leadership term of the service, counted from 1.
func (l *Leader) Term() int { return l.lease.Row.Term }
