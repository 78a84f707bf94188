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
	seatTick  = 200 * time.Millisecond  // between two looks for vacant seats
	settle    = 1200 * time.Millisecond // after its start a daemon waits so long for the others to show themselves
	patience  = 700 * time.Millisecond  // another daemon's seat that stays vacant for so long may be taken
	rankDelay = 300 * time.Millisecond  // and by each further daemon so much later
	largerFor = 2 * time.Second         // for so long a much larger daemon has to be live before a seat goes to it

	muchLarger = 2 // times the weight of the daemon that has the seat
)

// keepSeats takes the seats that fall to this daemon until ctx ends.
func (d *Daemon) keepSeats(ctx context.Context, g *errgroup.Group) error {
	t := time.NewTicker(seatTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-d.look:
		}
		if d.now().Sub(d.began) < settle {
			continue
		}
		for _, h := range d.surplus(d.now()) {
			g.Go(func() error {
				d.release([]*leader.Leader{h})
				return nil
			})
		}
		for _, s := range d.due(d.now()) {
			g.Go(func() error {
				d.take(ctx, g, s)
				d.mu.Lock()
				defer d.mu.Unlock()
				delete(d.taking, s)
				return nil
			})
		}
	}
}

// due returns the vacant seats that this daemon is to take now.
func (d *Daemon) due(now time.Time) []string {
	c := d.operator.Config()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c == nil || d.leaving || now.Sub(d.members.OwnHeartbeat().Acked) > member.HeartbeatTimeout {
		return nil // a seat taken without a sign of life would be lost at once
	}
	live := d.staying()
	if !slices.ContainsFunc(live, func(n member.Node) bool { return n.Boot == d.boot }) {
		return nil
	}
	services := d.services()
	plan := member.Assign(services, live)
	var list []string
	for i, s := range services {
		if _, mine := d.seats[s]; mine {
			delete(d.vacant, s)
			continue
		}
		if n, ok := d.members.Leader(s); ok && n.Boot != d.boot {
			delete(d.vacant, s)
			continue
		}
		since, ok := d.vacant[s]
		if !ok {
			since = now
			d.vacant[s] = now
		}
		if _, now := d.taking[s]; now {
			continue
		}
		if plan[s] == d.set.Instance || now.Sub(since) > patience+time.Duration(rank(live, d.set.Instance, i))*rankDelay {
			list = append(list, s)
			d.taking[s] = struct{}{}
		}
	}
	return list
}

// staying returns the live daemons that aren't leaving, by name.
func (d *Daemon) staying() []member.Node {
	return slices.DeleteFunc(d.members.Live(), func(n member.Node) bool { return n.Leaving })
}

// services returns the names of the configured services.
func (d *Daemon) services() []string {
	c := d.operator.Config()
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
func (d *Daemon) take(ctx context.Context, g *errgroup.Group, service string) {
	me := leader.Incarnation{Name: d.set.Instance, Boot: d.boot}
	spell := d.members.OwnHeartbeat().Epoch
	claim, err := leader.Acquire(ctx, d.store, service, me, d.bounds.TTL, d.now, d.members)
	if err != nil {
		if !fault.Is(err, fault.Conflict) {
			d.log.Warn("seat not taken", zap.String("service", service), zap.Error(err))
		}
		return
	}
	claim.HeartbeatEpoch = spell
	h := leader.New(*claim, d.bounds, leader.Deps{
		Store:            d.store,
		Runners:          d.runners,
		Approvals:        d.policy,
		Log:              d.log,
		Heartbeat:        d.members.OwnHeartbeat,
		HeartbeatTimeout: member.HeartbeatTimeout,
		Now:              d.now,
		OnViolation:      d.breach,
	})
	if err := h.Restore(ctx); err != nil {
		d.log.Warn("seat taken, its rows can't be read", zap.String("service", service), zap.Error(err))
		return // it is vacant for us as before, and taken again
	}
	d.mu.Lock()
	if d.leaving {
		d.mu.Unlock()
		return
	}
	d.seats[service] = h
	d.seated.Add(1)
	delete(d.vacant, service)
	d.mu.Unlock()
	d.setQueues(h)
	for _, w := range d.list.ByService(service) {
		h.RunnerListed(w)
	}
	d.tellHeld()
	g.Go(func() error {
		err := h.Run(ctx)
		d.log.Info("seat left", zap.String("service", service), zap.Error(err))
		d.mu.Lock()
		if d.seats[service] == h {
			delete(d.seats, service)
			d.seated.Add(1)
		}
		d.mu.Unlock()
		d.tellHeld()
		return nil // the daemon goes on without this seat
	})
}

// held returns the holders of this daemon.
func (d *Daemon) held() []*leader.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*leader.Leader, 0, len(d.seats))
	for _, h := range d.seats {
		list = append(list, h)
	}
	return list
}

// tellHeld lets the other daemons know which services are scheduled here.
func (d *Daemon) tellHeld() {
	names := d.heldNames()
	d.members.SetHolds(names)
	d.setNeeds(names)
}

// holderOf returns this daemon's holder of a service, or nil.
func (d *Daemon) holderOf(service string) *leader.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seats[service]
}

// setQueues gives a holder the queues of its service.
func (d *Daemon) setQueues(h *leader.Leader) {
	c := d.operator.Config()
	if c == nil {
		return
	}
	var queues []work.Queue
	for _, r := range c.Routes {
		if r.Queue.Service == h.Service() {
			queues = append(queues, r.Queue)
		}
	}
	h.SetQueues(queues)
}

// configured takes in a change of what the operator wants.
func (d *Daemon) configured() {
	for _, h := range d.held() {
		d.setQueues(h)
	}
	d.retarget()
	d.setNeeds(d.heldNames())
	d.lookAgain()
}

// membersChanged takes in a change among the daemons.
func (d *Daemon) membersChanged() {
	d.retarget()
	d.lookAgain()
}

func (d *Daemon) lookAgain() {
	sleep.Wake(d.look)
}

// runnerSeen hands a runner's entry to the holder of its service.
func (d *Daemon) runnerSeen(w work.Runner) {
	for _, h := range d.held() {
		if h.Service() == w.Service {
			h.RunnerListed(w)
		} else {
			h.RunnerMoved(w)
		}
	}
}

// runnerGone tells the holders that a runner is no longer listed.
func (d *Daemon) runnerGone(w work.Runner) {
	for _, h := range d.held() {
		h.RunnerUnlisted(w.ID)
	}
}
