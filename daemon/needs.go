package daemon

import (
	"slices"

	"gypsumlead/follow"
)

// needs are the tables that only a daemon with a seat has to follow closely.
type needs struct {
	list  *follow.Need // of runners: while it schedules a service
	waves *follow.Need // the same
	book  *follow.Need // of machines: while it gives the orders for them
}

func newNeeds() needs {
	return needs{list: follow.NewNeed(), waves: follow.NewNeed(), book: follow.NewNeed()}
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
