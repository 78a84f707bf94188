package standin

import (
	"context"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Instances is the stand-in's lagging list of instances and its acts on them.
type Instances struct {
	gate  *gate
	fleet *fleet
}

// List returns the instances as they were a lag ago; it never goes back in time.
func (s *Instances) List(ctx context.Context) ([]backing.Instance, error) {
	var list []backing.Instance
	err := s.gate.read(ctx, "list instances", func() error {
		list = s.fleet.list()
		s.gate.count(Counts{Rows: int64(len(list))})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

// Drain marks the instance leaving while boot is its boot.
func (s *Instances) Drain(ctx context.Context, id, boot string) error {
	return s.gate.write(ctx, "drain "+id, func() error { return s.fleet.drain(id, boot) })
}

// Reboot restarts the instance while r.Boot is its boot.
func (s *Instances) Reboot(ctx context.Context, r backing.Reboot) error {
	return s.gate.write(ctx, "reboot "+r.Instance, func() error { return s.fleet.reboot(r) })
}

// PutInstance adds an instance, or replaces one; it beats by itself until it is killed.
func (p *Platform) PutInstance(i backing.Instance) {
	p.fleet.put(backing.Worker{Instance: i}, true)
}

// PutWorker adds a worker, or replaces one; it beats by itself until it is killed.
func (p *Platform) PutWorker(w backing.Worker) {
	w.Role = backing.RoleWorker
	p.fleet.put(w, true)
}

// Heartbeat takes in that i is alive, adding it where it is unknown, and returns the platform's
// row of it; another boot there means that the instance is to restart under that boot.
func (p *Platform) Heartbeat(i backing.Instance) backing.Instance {
	return p.fleet.beat(i)
}

// Kill stops an instance without notice: it beats no more and its tasks end.
func (p *Platform) Kill(id string) error {
	return p.fleet.kill(id)
}

// Revive starts a killed instance under a new boot and returns it.
func (p *Platform) Revive(id string) (backing.Instance, error) {
	return p.fleet.revive(id)
}

// Remove marks an instance gone for good.
func (p *Platform) Remove(id string) error {
	return p.fleet.change(id, func(n *node) { n.State = backing.StateGone })
}

// Instance returns the instance as it is now, without the list's lag.
func (p *Platform) Instance(id string) (backing.Instance, error) {
	return p.fleet.instance(id)
}

// SetLag sets by how much the list of instances lags; while the lag grows the list stands still.
func (p *Platform) SetLag(d time.Duration) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.lag = d
}

// SetReportLag sets by how much the workers' reports lag.
func (p *Platform) SetReportLag(d time.Duration) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.reportLag = d
}

func errNoInstance(id string) error {
	return fault.New(fault.Missing, "there is no instance %s", id)
}
