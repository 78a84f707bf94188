package daemon

import (
	"slices"

	"gypsumlead/watch"
)

// interests holds the interests in the tables that only leaders need. The other candidates follow them loosely, so that
// they can take over; daemons that aren't to lead don't follow them.
type interests struct {
	runners *watch.Interest // runners' list: immediate while the daemon leads a service
	waves   *watch.Interest // maintenance waves: immediate while the daemon leads a service
	claims  *watch.Interest // claims on machines: immediate while the daemon is the coordinator, occasional while it leads another service
}

func newInterests() interests {
	i := interests{runners: watch.NewInterest(), waves: watch.NewInterest(), claims: watch.NewInterest()}
	for _, interest := range []*watch.Interest{i.runners, i.waves, i.claims} {
		interest.Set(watch.Dormant)
	}
	return i
}

// updateInterests sets the interests according to the services led here. For startupDelay a daemon that doesn't know the
// others yet takes itself for a candidate.
func (d *Daemon) updateInterests(led []string) {
	idle := watch.Dormant
	if d.now().Sub(d.startedAt) >= startupDelay && d.members.IsCandidate() {
		idle = watch.Occasional
	}
	level := func(needed bool) watch.Level {
		if needed {
			return watch.Immediate
		}
		return idle
	}
	d.interests.runners.Set(level(len(led) > 0))
	d.interests.waves.Set(level(len(led) > 0))
	if len(led) > 0 {
		idle = watch.Occasional
	}
	d.interests.claims.Set(level(slices.Contains(led, d.coordinatorService())))
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
