package daemon

import (
	"slices"

	"gypsumlead/watch"
)

// needs are the tables that only a daemon with a seat has to follow closely.
type interests struct {
	runners *watch.Interest // of runners: while it schedules a service
	waves   *watch.Interest // the same
	claims  *watch.Interest // of machines: while it gives the orders for them
}

func newInterests() interests {
	return interests{runners: watch.NewInterest(), waves: watch.NewInterest(), claims: watch.NewInterest()}
}

// setNeeds takes in which services are scheduled here.
func (d *Daemon) updateInterests(led []string) {
	d.interests.runners.Set(len(led) > 0)
	d.interests.waves.Set(len(led) > 0)
	d.interests.claims.Set(slices.Contains(led, d.coordinatorService()))
}

// heldNames returns the services that are scheduled here, sorted.
func (d *Daemon) ledNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.leaders))
	for s := range d.leaders {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}
