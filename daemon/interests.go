package daemon

import (
	"slices"

	"gypsumlead/watch"
)

// interests holds the interests in the tables that a daemon follows closely only while it leads a service.
type interests struct {
	runners *watch.Interest // runners' list: on while the daemon leads a service
	waves   *watch.Interest // maintenance waves: on while the daemon leads a service
	claims  *watch.Interest // claims on machines: on while the daemon is the coordinator
}

func newInterests() interests {
	return interests{runners: watch.NewInterest(), waves: watch.NewInterest(), claims: watch.NewInterest()}
}

// updateInterests sets the interests according to the services led here.
func (d *Daemon) updateInterests(led []string) {
	d.interests.runners.Set(len(led) > 0)
	d.interests.waves.Set(len(led) > 0)
	d.interests.claims.Set(slices.Contains(led, d.coordinatorService()))
}

// ledServices returns the names of the services led here, sorted.
func (d *Daemon) ledServices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.leaders))
	for s := range d.leaders {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}
