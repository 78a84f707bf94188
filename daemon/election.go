package daemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"gypsumlead/fault"
	"gypsumlead/leader"
	"gypsumlead/member"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// Times of taking seats.
const (
	electionInterval = 200 * time.Millisecond  // between two looks for vacant seats
	startupDelay     = 1200 * time.Millisecond // after its start a daemon waits so long for the others to show themselves
	vacancyTimeout   = 700 * time.Millisecond  // another daemon's seat that stays vacant for so long may be taken
	rankDelay        = 300 * time.Millisecond  // and by each further daemon so much later
	transferDelay    = 2 * time.Second         // for so long a much larger daemon has to be live before a seat goes to it

	transferWeightFactor = 2 // times the weight of the daemon that has the seat
)

// keepSeats takes the seats that fall to this daemon until ctx ends.
func (d *Daemon) runElections(ctx context.Context, g *errgroup.Group) error {
	t := time.NewTicker(electionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-d.recheck:
		}
		if d.now().Sub(d.startedAt) < startupDelay {
			continue
		}
		for _, l := range d.leasesToTransfer(d.now()) {
			g.Go(func() error {
				d.releaseLeases([]*leader.Leader{l})
				return nil
			})
		}
		for _, s := range d.leasesToAcquire(d.now()) {
			g.Go(func() error {
				d.acquireLease(ctx, g, s)
				d.mu.Lock()
				defer d.mu.Unlock()
				delete(d.acquiring, s)
				return nil
			})
		}
	}
}

// due returns the vacant seats that this daemon is to take now.
func (d *Daemon) leasesToAcquire(now time.Time) []string {
	c := d.operatorState.Config()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c == nil || d.leaving || now.Sub(d.members.OwnHeartbeat().Acked) > member.HeartbeatTimeout {
		return nil // a seat taken without a sign of life would be lost at once
	}
	live := d.activeNodes()
	if !slices.ContainsFunc(live, func(n member.Node) bool { return n.Boot == d.boot }) {
		return nil
	}
	services := d.services()
	plan := member.Assign(services, live)
	var list []string
	for i, s := range services {
		if _, led := d.leaders[s]; led {
			delete(d.leaderless, s)
			continue
		}
		if n, ok := d.members.Leader(s); ok && n.Boot != d.boot {
			delete(d.leaderless, s)
			continue
		}
		since, ok := d.leaderless[s]
		if !ok {
			since = now
			d.leaderless[s] = now
		}
		if _, now := d.acquiring[s]; now {
			continue
		}
		if plan[s] == d.settings.Instance || now.Sub(since) > vacancyTimeout+time.Duration(rank(live, d.settings.Instance, i))*rankDelay {
			list = append(list, s)
			d.acquiring[s] = struct{}{}
		}
	}
	return list
}

// staying returns the live daemons that aren't leaving, by name.
func (d *Daemon) activeNodes() []member.Node {
	return slices.DeleteFunc(d.members.Live(), func(n member.Node) bool { return n.Leaving })
}

// services returns the names of the configured services.
func (d *Daemon) services() []string {
	c := d.operatorState.Config()
	if c == nil {
		return nil
	}
	names := make([]string, 0, len(c.Services))
	for _, s := range c.Services {
		names = append(names, s.Name)
	}
	return names
}

// take takes one seat and schedules its service in a goroutine of g.
func (d *Daemon) acquireLease(ctx context.Context, g *errgroup.Group, service string) {
	self := leader.Incarnation{Name: d.settings.Instance, Boot: d.boot}
	epoch := d.members.OwnHeartbeat().Epoch
	lease, err := leader.Acquire(ctx, d.store, service, self, d.leaseConfig.TTL, d.now, d.members)
	if err != nil {
		if !fault.Is(err, fault.Conflict) {
			d.log.Warn("seat not taken", zap.String("service", service), zap.Error(err))
		}
		return
	}
	lease.HeartbeatEpoch = epoch
	l := leader.New(*lease, d.leaseConfig, leader.Deps{
		Store:            d.store,
		Runners:          d.runnerClient,
		Approvals:        d.approvalClient,
		Log:              d.log,
		Heartbeat:        d.members.OwnHeartbeat,
		HeartbeatTimeout: member.HeartbeatTimeout,
		Now:              d.now,
		OnViolation:      d.reportViolation,
	})
	if err := l.Restore(ctx); err != nil {
		d.log.Warn("seat taken, its rows can't be read", zap.String("service", service), zap.Error(err))
		return // it is vacant for us as before, and taken again
	}
	d.mu.Lock()
	if d.leaving {
		d.mu.Unlock()
		return
	}
	d.leaders[service] = l
	d.leaseChanges.Add(1)
	delete(d.leaderless, service)
	d.mu.Unlock()
	d.setQueues(l)
	for _, r := range d.runnerList.ByService(service) {
		l.RunnerListed(r)
	}
	d.publishLedServices()
	g.Go(func() error {
		err := l.Run(ctx)
		d.log.Info("seat left", zap.String("service", service), zap.Error(err))
		d.mu.Lock()
		if d.leaders[service] == l {
			delete(d.leaders, service)
			d.leaseChanges.Add(1)
		}
		d.mu.Unlock()
		d.publishLedServices()
		return nil // the daemon goes on without this seat
	})
}

// held returns the holders of this daemon.
func (d *Daemon) ledHere() []*leader.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*leader.Leader, 0, len(d.leaders))
	for _, l := range d.leaders {
		list = append(list, l)
	}
	return list
}

// tellHeld lets the other daemons know which services are scheduled here.
func (d *Daemon) publishLedServices() {
	names := d.ledNames()
	d.members.SetLedServices(names)
	d.updateInterests(names)
}

// holderOf returns this daemon's holder of a service, or nil.
func (d *Daemon) leaderOf(service string) *leader.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaders[service]
}

// setQueues gives a holder the queues of its service.
func (d *Daemon) setQueues(l *leader.Leader) {
	c := d.operatorState.Config()
	if c == nil {
		return
	}
	var queues []work.Queue
	for _, r := range c.Routes {
		if r.Queue.Service == l.Service() {
			queues = append(queues, r.Queue)
		}
	}
	l.SetQueues(queues)
}

// configured takes in a change of what the operator wants.
func (d *Daemon) configChanged() {
	for _, l := range d.ledHere() {
		d.setQueues(l)
	}
	d.updatePeerTargets()
	d.updateInterests(d.ledNames())
	d.wakeElections()
}

// membersChanged takes in a change among the daemons.
func (d *Daemon) membersChanged() {
	d.updatePeerTargets()
	d.wakeElections()
}

func (d *Daemon) wakeElections() {
	sleep.Wake(d.recheck)
}

// runnerSeen hands a runner's entry to the holder of its service.
func (d *Daemon) runnerListed(r work.Runner) {
	for _, l := range d.ledHere() {
		if l.Service() == r.Service {
			l.RunnerListed(r)
		} else {
			l.RunnerMoved(r)
		}
	}
}

// runnerGone tells the holders that a runner is no longer listed.
func (d *Daemon) runnerUnlisted(r work.Runner) {
	for _, l := range d.ledHere() {
		l.RunnerUnlisted(r.ID)
	}
}
