package share

import (
	"gypsumlead/fault"
)

// check returns an error of kind fault.Breach where the sums of the pool don't agree or the
// event has started requests beyond the slots or past another kind's floor.
func (p *Pool) check() error {
	running, waiting := 0, 0
	for _, k := range p.kinds {
		if k.running < 0 || k.group.running < k.running {
			return fault.New(fault.Breach, "pool %s: %s/%s runs %d of its service's %d", p.name, k.group.name, k.work.Name, k.running, k.group.running)
		}
		running += k.running
		waiting += len(k.queue)
	}
	if running != p.running || waiting != p.waiting || running+waiting != len(p.requests) {
		return fault.New(fault.Breach, "pool %s: %d running and %d waiting by kind, %d and %d in sum, %d in all",
			p.name, running, waiting, p.running, p.waiting, len(p.requests))
	}
	if p.started > 0 && p.running > p.slots {
		return fault.New(fault.Breach, "pool %s: started a request with %d of %d slots in use", p.name, p.running, p.slots)
	}
	return p.checkFloors()
}

// checkFloors finds a kind of work that waits below its floor while a slot is idle, or while
// the event has started a request above another's floor.
func (p *Pool) checkFloors() error {
	if p.waiting == 0 {
		return nil
	}
	for _, k := range p.kinds {
		if len(k.queue) == 0 || !k.below(1) {
			continue
		}
		if p.running < p.slots || p.lent > 0 {
			return fault.New(fault.Breach, "pool %s: %s/%s waits with %d of its floor of %.1f slots; %d of %d are in use, %d just lent",
				p.name, k.group.name, k.work.Name, k.running, k.floor, p.running, p.slots, p.lent)
		}
	}
	return nil
}
