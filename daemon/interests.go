package daemon

import (
	"slices"

	"gypsumlead/watch"
)

// needs are the tables that only a daemon with a seat has to follow closely.
type needs struct {
	list  *watch.Interest // of runners: while it schedules a service
	waves *watch.Interest // the same
	book  *watch.Interest // of machines: while it gives the orders for them
}

func newNeeds() needs {
	return needs{list: watch.NewInterest(), waves: watch.NewInterest(), book: watch.NewInterest()}
}

// setNeeds takes in which services are scheduled here.
func (d *Daemon) setNeeds(held []string) {
	d.needs.list.Set(len(held) > 0)
	d.needs.waves.Set(len(held) > 0)
	d.needs.book.Set(slices.Contains(held, d.masterSeat()))
}

// heldNames returns the services that are scheduled here, sorted.
func (d *Daemon) heldNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.seats))
	for s := range d.seats {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}
