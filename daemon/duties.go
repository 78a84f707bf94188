package daemon

import (
	"gypsumlead/duty"
	"gypsumlead/lend"
	"gypsumlead/upkeep"
)

// makeDuties builds what gives machines orders, where the platform has a service for machines.
func (d *Daemon) makeDuties() {
	if d.machines == nil {
		return
	}
	d.book = duty.New(duty.Parts{
		Store:    d.store,
		Machines: d.machines,
		Log:      d.log,
		Name:     d.set.Instance,
		Boot:     d.boot,
		Lease:    d.set.Bounds.Lease,
	})
	d.upkeep = upkeep.New(upkeep.Parts{
		Store:    d.store,
		Machines: d.machines,
		Book:     d.book,
		Log:      d.log,
		Name:     d.set.Instance,
		Boot:     d.boot,
		Upkeep:   d.set.Bounds.Upkeep,
		Waves:    d.operator.Waves,
		Standby:  d.standby,
		Seat: func(service string) (upkeep.Seat, bool) {
			if h := d.holderOf(service); h != nil {
				return h, true
			}
			return nil, false
		},
	})
	d.lender = lend.New(lend.Parts{
		Book:     d.book,
		Machines: d.machines,
		Log:      d.log,
		Name:     d.set.Instance,
		Move:     d.set.Bounds.Move,
		Seats:    d.lendSeats,
		Spare:    d.spare,
		Held:     d.upkeep.Holds,
	})
}

func (d *Daemon) lendSeats() []lend.Seat {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []lend.Seat
	for _, h := range d.held() {
		list = append(list, h)
	}
	return list
}

// standby tells whether a service's machines are off.
func (d *Daemon) standby(service string) bool {
	return service != "" && service == d.spare()
}

// spare returns the service whose machines are off until they are moved, or "".
func (d *Daemon) spare() string {
	c := d.operator.Config()
	if c == nil {
		return ""
	}
	for _, s := range c.Services {
		if s.Standby {
			return s.Name
		}
	}
	return ""
}
