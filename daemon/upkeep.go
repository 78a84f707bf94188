package daemon

import (
	"gypsumlead/upkeep"
)

// makeUpkeep builds what carries waves out, where the platform has a service for machines.
func (d *Daemon) makeUpkeep() {
	if d.machines == nil {
		return
	}
	d.upkeep = upkeep.New(upkeep.Parts{
		Store:    d.store,
		Machines: d.machines,
		Log:      d.log,
		Name:     d.set.Instance,
		Boot:     d.boot,
		Lease:    d.set.Bounds.Lease,
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
}

// standby tells whether a service's machines are off.
func (d *Daemon) standby(service string) bool {
	c := d.operator.Config()
	if c == nil {
		return false
	}
	for _, s := range c.Services {
		if s.Name == service {
			return s.Standby
		}
	}
	return false
}
