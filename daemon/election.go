package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"gypsumlead/fault"
	"gypsumlead/leader"
	"gypsumlead/member"
	"gypsumlead/platform"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// Timing of elections.
const (
	electionInterval = 200 * time.Millisecond  // between checks for services without a leader
	startupDelay     = 1200 * time.Millisecond // wait after the start, for the heartbeats of the other daemons
	vacancyTimeout   = 700 * time.Millisecond  // for the planned daemon to acquire a leaderless service; then others may
	rankDelay        = 300 * time.Millisecond  // additional wait for each rank of the daemon; see rank
	unfitTime        = 3 * time.Second         // for which a daemon leaves a service to others after it could not load its state
	abandonTimeout   = time.Second             // for releasing a lease under which nothing has run
	transferDelay    = 2 * time.Second         // how long a much larger daemon must be the planned leader before it gets the lease

	minCandidates        = 6 // daemons that are ready to lead, however few services there are
	candidatesPerService = 3 // daemons that are ready to lead, for each service

	transferWeightFactor = 2 // leadership is transferred to daemons of at least this many times the leader's weight
)

// runElections acquires and transfers leases of leadership until ctx ends. Leaders run in goroutines of g.
func (d *Daemon) runElections(ctx context.Context, g *errgroup.Group) error {
	t := time.NewTicker(electionInterval)
	defer t.Stop()
	for started := false; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-d.recheck:
		}
		if d.now().Sub(d.startedAt) < startupDelay {
			continue
		}
		if !started {
			started = true
			d.updateInterests(d.ledServices())
		}
		d.deposeSucceeded()
		for _, l := range d.leadersToTransfer(d.now()) {
			g.Go(func() error {
				d.releaseLeases([]*leader.Leader{l})
				return nil
			})
		}
		for _, s := range d.servicesToLead(d.now()) {
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

// servicesToLead returns the services without a leader whose leases this daemon is to acquire now, and marks them as
// being acquired.
func (d *Daemon) servicesToLead(now time.Time) []string {
	c := d.operatorState.Config()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c == nil || d.leaving || now.Sub(d.members.OwnHeartbeat().Acked) > member.HeartbeatTimeout {
		return nil // a lease acquired without a recent heartbeat would be lost immediately
	}
	live := d.members.Candidates()
	if !slices.ContainsFunc(live, func(n member.Node) bool { return n.Boot == d.boot }) {
		return nil
	}
	services := d.servicesToServe()
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
		if _, acquiring := d.acquiring[s]; acquiring || now.Before(d.unfitUntil[s]) {
			continue
		}
		if plan[s] == d.settings.Instance || now.Sub(since) > vacancyTimeout+time.Duration(rank(live, d.settings.Instance, i))*rankDelay {
			list = append(list, s)
			d.acquiring[s] = struct{}{}
		}
	}
	return list
}

// candidateCount returns how many daemons are to be ready to lead: one for each service, and as many again for when a
// data centre is lost.
func (d *Daemon) candidateCount() int {
	return max(minCandidates, candidatesPerService*len(d.services()))
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

// acquireLease acquires the lease of one service and runs its leader in a goroutine of g.
func (d *Daemon) acquireLease(ctx context.Context, g *errgroup.Group, service string) {
	self := leader.Incarnation{Name: d.settings.Instance, Boot: d.boot}
	epoch := d.members.OwnHeartbeat().Epoch
	timing := leader.Timing{RunnerLease: d.leaseConfig.TTL, HeartbeatTimeout: member.HeartbeatTimeout}
	lease, err := leader.Acquire(ctx, d.store, service, self, timing, d.now, d.members)
	if err != nil {
		if !fault.Is(err, fault.Conflict) {
			d.log.Warn("failed to acquire leadership", zap.String("service", service), zap.Error(err))
		}
		return
	}
	lease.HeartbeatEpoch = epoch
	l := leader.New(*lease, d.leaseConfig, leader.Deps{
		Store:            d.store,
		Homes:            d.homes,
		Runners:          d.runnerClient,
		Approvals:        d.approvals,
		RunnersReadAt:    d.runnerList.ReadAt,
		Machines:         d.machineLister(),
		Log:              d.log,
		Heartbeat:        d.members.OwnHeartbeat,
		HeartbeatTimeout: member.HeartbeatTimeout,
		Now:              d.now,
		RunnerHeartbeat:  d.settings.Bounds.RunnerHeartbeat,
		StopTime:         d.settings.Bounds.StopTime,
		StatusFor:        d.settings.Bounds.StatusFor,
		CancelWithin:     d.settings.Bounds.CancelWithin,
		RateWindow:       d.settings.Bounds.RateWindow,
		RemoteFactor:     d.settings.Bounds.RemoteFactor,
		OnViolation:      d.reportViolation,
	})
	if err := l.Restore(ctx); err != nil {
		d.log.Warn("leadership acquired, but failed to restore state", zap.String("service", service), zap.Error(err))
		d.mu.Lock()
		d.unfitUntil[service] = d.now().Add(unfitTime)
		d.mu.Unlock()
		d.abandon(l)
		return
	}
	d.mu.Lock()
	if d.leaving {
		d.mu.Unlock()
		d.abandon(l)
		return
	}
	d.leaders[service] = l
	d.leaseChanges.Add(1)
	delete(d.leaderless, service)
	d.mu.Unlock()
	d.configure(l)
	d.runnerList.Replay(service, l.RunnerListed)
	d.publishLedServices()
	g.Go(func() error {
		d.reportUsage(ctx, l)
		return nil
	})
	g.Go(func() error {
		err := l.Run(ctx)
		d.log.Info("leadership ended", zap.String("service", service), zap.Error(err))
		d.mu.Lock()
		if d.leaders[service] == l {
			delete(d.leaders, service)
			d.leaseChanges.Add(1)
		}
		d.mu.Unlock()
		d.publishLedServices()
		return nil // the daemon continues without this leader
	})
}

// deposeSucceeded ends the leaders here of whose services a daemon has announced a later term. A leader with nothing to commit
// and no runners meets its successor nowhere else.
func (d *Daemon) deposeSucceeded() {
	for _, l := range d.localLeaders() {
		l.ObserveTerm(d.members.NewestTerm(l.Service()))
	}
}

// abandon releases the lease of a leader that doesn't run.
func (d *Daemon) abandon(l *leader.Leader) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	l.Abandon(ctx)
}

// localLeaders returns the leaders that run on this daemon.
func (d *Daemon) localLeaders() []*leader.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*leader.Leader, 0, len(d.leaders))
	for _, l := range d.leaders {
		list = append(list, l)
	}
	return list
}

// publishLedServices announces to the other daemons which services are led here, and updates the interests.
func (d *Daemon) publishLedServices() {
	terms := map[string]int{}
	for _, l := range d.localLeaders() {
		terms[l.Service()] = l.Term()
	}
	d.members.SetLedServices(terms)
	d.updateInterests(slices.Sorted(maps.Keys(terms)))
}

// leaderOf returns the leader of a service if it runs on this daemon, or nil.
func (d *Daemon) leaderOf(service string) *leader.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaders[service]
}

// configure gives a leader the configuration of its service.
func (d *Daemon) configure(l *leader.Leader) {
	c := d.operatorState.Config()
	if c == nil {
		return
	}
	queues := make([]work.Queue, 0, len(c.Routes))
	for _, r := range c.Routes {
		queues = append(queues, r.Queue)
	}
	guarded := slices.ContainsFunc(c.Services, func(s platform.Service) bool { return s.Name == l.Service() && s.RejectsOverload })
	l.Configure(c.Version, queues, guarded, c.Workspaces, len(c.Services))
}

// configChanged applies a change of the operator's configuration.
func (d *Daemon) configChanged() {
	for _, l := range d.localLeaders() {
		d.configure(l)
	}
	d.noteServices()
	d.updatePeerTargets()
	d.updateInterests(d.ledServices())
	d.wakeElections()
}

// membersChanged handles a change among the daemons.
func (d *Daemon) membersChanged() {
	d.updatePeerTargets()
	d.updateInterests(d.ledServices())
	d.wakeElections()
}

// wakeElections makes runElections check immediately.
func (d *Daemon) wakeElections() {
	sleep.Wake(d.recheck)
}

// runnerListed passes a runner's entry in the list to the leader of its service. The other leaders learn that the
// runner belongs to another service.
func (d *Daemon) runnerListed(r work.Runner) {
	configured := slices.Contains(d.services(), r.Service)
	for _, l := range d.localLeaders() {
		switch {
		case l.Service() == r.Service:
			l.RunnerListed(r)
		case configured: // an entry of another writer may name a service that there isn't, and a machine that there is
			l.RunnerMoved(r)
		}
	}
}

// runnerUnlisted informs the leaders that a runner is no longer listed.
func (d *Daemon) runnerUnlisted(r work.Runner) {
	for _, l := range d.localLeaders() {
		l.RunnerUnlisted(r.ID)
	}
}
