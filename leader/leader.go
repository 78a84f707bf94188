package leader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"gypsumlead/approvals"
	"gypsumlead/clock"
	"gypsumlead/contact"
	"gypsumlead/fault"
	"gypsumlead/home"
	"gypsumlead/member"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// Deps are the dependencies of a Leader.
type Deps struct {
	Store            *platform.Store
	Homes            *home.Directory // which service holds the jobs of a queue
	Runners          *platform.RunnerClient
	Approvals        *approvals.Sender // nil if the platform has no policy service
	RunnersReadAt    func() time.Time  // when the runners' list was last read
	Machines         MachineLister     // nil if the platform has no machine service
	Log              *zap.Logger
	Heartbeat        func() member.HeartbeatState // state of this daemon's own heartbeat
	HeartbeatTimeout time.Duration                // how long an acknowledged heartbeat keeps the daemon alive
	RemoteFactor     float64                      // by which tasks are slower away from their rack
	OnViolation      func(error)
	Now              clock.Clock
	RunnerHeartbeat  time.Duration // between two entries of a runner in the platform's list
	StopTime         time.Duration // that runners take at the longest to stop a run
	StatusFor        time.Duration // after a job's end, for which callers may ask for its state
	CancelWithin     time.Duration // after which no task of a cancelled job is started any more
	RateWindow       time.Duration // over which the jobs of a workspace are counted against its rate
}

// MachineLister returns the platform's machines by name, and false if they could not be read.
type MachineLister func(ctx context.Context) (map[string]platform.Machine, bool)

// Leader schedules one service while this daemon holds its lease of leadership.
type Leader struct {
	Deps
	lease       Lease
	leaseConfig sched.LeaseConfig
	storeLink   *contact.Link

	mu              sync.Mutex
	pool            *sched.Pool
	sessions        map[string]*session
	intents         []*intent
	cancelWaiters   map[work.ID][]chan Result
	unanswered      map[int64]commitBatch  // commits that the store has not answered, by number
	storedRunners   map[string]work.Runner // runners that the store lists as possibly having work
	listedRunners   map[string]work.Runner // runners in the platform's list, which the store is to list too
	silentDirty     bool                   // the store may list silent runners that storedSilent doesn't have
	storedSilent    map[string]time.Time   // silent runners in the store, with the time when all their runs have ended
	storedKeepUntil map[string]time.Time   // restarted runners in the store, with the time until which earlier orders may keep their runs alive
	storeTime       time.Duration          // the store's clock at the last commit that it answered
	storeTimeReadAt time.Time              // when storeTime was read, on this daemon's clock
	leaseRow        LeaseRow
	leaseVersion    int64         // version of the lease row
	commitDone      chan struct{} // closed and replaced after each commit that took effect
	lostErr         error
	epoch           int64                  // heartbeat epoch in which the store last confirmed the lease
	confirmedAck    time.Time              // when the newest acknowledged heartbeat of that epoch was sent
	leaseSeenAt     time.Time              // when the store last had the lease row as this leader's
	inboxReadAt     time.Time              // when the store last answered a reading of the inbox, all of which was applied
	unloadedJobs    map[work.ID]work.Queue // jobs that inbox rows submit and that are not loaded yet, with the name and path of their queues
	progressRows    map[work.ID]int        // rows of progress that the store may have of each job
	isolation       isolation
	admission       admission
	sentTo          map[string]string    // service that the configuration sends each queue to, by the queue's key
	queues          []work.Queue         // that the configuration sends to this service
	queuesAhead     []work.Queue         // whose gates are to be opened before jobs need them
	guarded         bool                 // the service's runners reject what exceeds their room
	workspaces      []platform.Workspace // as configured; empty if callers need no keys
	services        int                  // number of configured services
	caps            caps
	runnersRead     bool      // the runners' list was up to date since this leader took over
	commitSentAt    time.Time // when the commit that is being sent began; zero if there is none
	commitFailed    bool      // the last commit was refused or not answered

	wakePlan    chan struct{}
	wakeCommit  chan struct{}
	wakeConfirm chan struct{}
	wakeGates   chan struct{}
	group       *errgroup.Group
	ctx         context.Context
	stop        context.CancelFunc
	done        chan struct{} // closed when Run returns
}

// New returns a Leader for an acquired lease. Call Restore and then Run.
func New(lease Lease, config sched.LeaseConfig, deps Deps) *Leader {
	config.LateOrders = lateOrders
	config.InheritedTTL, config.InheritedPlacements = lease.InheritedTTL, lease.Row.Placements
	l := &Leader{
		Deps:            deps,
		lease:           lease,
		leaseConfig:     config,
		storeLink:       newStoreLink(deps.Store, lease.Service, deps.Now),
		sessions:        map[string]*session{},
		storedRunners:   map[string]work.Runner{},
		listedRunners:   map[string]work.Runner{},
		storedKeepUntil: map[string]time.Time{},
		leaseRow:        lease.Row,
		leaseVersion:    lease.Version,
		cancelWaiters:   map[work.ID][]chan Result{},
		unloadedJobs:    map[work.ID]work.Queue{},
		unanswered:      map[int64]commitBatch{},
		progressRows:    map[work.ID]int{},
		isolation:       newIsolation(),
		admission:       newAdmission(),
		commitDone:      make(chan struct{}),
		wakePlan:        make(chan struct{}, 1),
		wakeCommit:      make(chan struct{}, 1),
		wakeConfirm:     make(chan struct{}, 1),
		wakeGates:       make(chan struct{}, 1),
		leaseSeenAt:     lease.AcquiredAt,
		done:            make(chan struct{}),
		epoch:           lease.HeartbeatEpoch,
		confirmedAck:    lease.AcquiredAt.Add(-deps.HeartbeatTimeout), // a daemon acquires a lease only with a heartbeat that recent
		caps:            newCaps(lease),
	}
	l.Log = deps.Log.With(zap.String("service", lease.Service), zap.Int("term", lease.Row.Term))
	l.pool = sched.New(lease.AcquiredAt, lease.Row.Term, config, sched.WithToken(lease.Token), sched.WithRateWindow(deps.RateWindow), sched.WithViolationHook(deps.OnViolation), sched.WithAbandonHook(l.logAbandoned), sched.WithJobEndHook(l.logFinished), sched.WithHeldUpHook(l.logHeldUp),
		sched.WithRemoteFactor(deps.RemoteFactor), sched.WithStopTime(deps.StopTime), sched.WithRackWaitHook(l.logRackWait),
		sched.WithRestartHook(l.logRestart), sched.WithOrphanHook(l.logOrphan))
	return l
}

// logAbandoned logs a run that the scheduler has abandoned.
func (l *Leader) logAbandoned(run sched.AbandonedRun) {
	l.Log.Info("run given up", zap.Stringer("task", run.Task), zap.Int("run", run.Run), zap.String("runner", run.Runner), zap.String("why", run.Reason))
}

// logRestart logs that a runner has started again under its ID.
func (l *Leader) logRestart(r sched.Restart) {
	l.Log.Info("runner has restarted", zap.String("runner", r.Runner), zap.Int64("born", r.Born), zap.Int64("earlier", r.Earlier), zap.Int("listed", r.Listed), zap.Int("unlisted", r.Unlisted))
}

// logOrphan logs that a runner lists a run that nobody wants.
func (l *Leader) logOrphan(o sched.OrphanRun) {
	l.Log.Info("runner lists an unwanted run", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner))
}

// logRackWait logs that the first task of a step waits for a rack.
func (l *Leader) logRackWait(w sched.RackWait) {
	l.Log.Info("waits for its rack", zap.Stringer("task", w.Task), zap.String("rack", w.Rack), zap.String("until", w.Until.Format(time.RFC3339Nano)), zap.String("latest", w.Latest.Format(time.RFC3339Nano)))
}

// logFinished logs the end of a job.
func (l *Leader) logFinished(end sched.JobEnd) {
	fields := []zap.Field{
		zap.String("job", string(end.Job)), zap.String("queue", end.Queue), WorkspaceField(end.Workspace), zap.String("state", string(end.State)),
		zap.Duration("waited", end.QueueTime), zap.Duration("took", end.Elapsed), zap.Duration("aim", end.Objective),
	}
	if end.Class != "" {
		fields = append(fields, zap.String("class", string(end.Class)), zap.String("shed", end.ShedFor))
	}
	l.Log.Info("job is over", fields...)
}

// Service returns the name of the led service.
func (l *Leader) Service() string { return l.lease.Service }

// Run schedules until ctx ends or the lease is lost. If the lease was lost, it returns the reason.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	ctx, l.stop = context.WithCancel(ctx)
	defer l.stop()
	l.group, l.ctx = errgroup.WithContext(ctx)
	l.mu.Lock()
	if l.lostErr != nil {
		l.stop() // a later leader was announced before this one began
	}
	for id := range l.sessions {
		l.runSession(l.sessions[id])
	}
	l.mu.Unlock()
	l.group.Go(func() error { return l.planLoop(l.ctx) })
	l.group.Go(func() error { return l.commitLoop(l.ctx) })
	l.group.Go(func() error { return l.inboxLoop(l.ctx) })
	l.group.Go(func() error { return l.resolveLoop(l.ctx) })
	l.group.Go(func() error { return l.confirmLoop(l.ctx) })
	l.group.Go(func() error { return l.gateLoop(l.ctx) })
	l.group.Go(func() error { return l.formerLoop(l.ctx) })
	err := l.group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answerUnknown()
	if l.lostErr != nil {
		return l.lostErr
	}
	return err
}

// loseLease stops the leader and records why the lease was lost.
func (l *Leader) loseLease(err error) {
	if l.lostErr == nil {
		l.lostErr = err
		l.Log.Warn("leadership lost", zap.Error(err))
	}
	if l.stop != nil {
		l.stop()
	}
}

// mayOrder reports whether orders may still be sent.
func (l *Leader) mayOrder(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.ordersEnd())
}

// ordersEnd returns until when orders may be sent, and runners be given leases; see LeaseGrace. Later heartbeats don't put
// it off after a gap in them, before the store has confirmed the lease: another leader counts from the last heartbeat before the
// gap. The caller holds l.mu.
func (l *Leader) ordersEnd() time.Time {
	if heartbeat := l.Heartbeat(); heartbeat.Epoch == l.epoch && heartbeat.Acked.After(l.confirmedAck) {
		l.confirmedAck = heartbeat.Acked
	}
	return l.confirmedAck.Add(l.HeartbeatTimeout + LeaseGrace)
}

// extendLease extends a runner's lease by an order that is sent now, as sched.Pool.ExtendLease does, but not beyond the time
// until which orders may be sent. Otherwise another leader would have to wait for both, one after the other. The caller holds
// l.mu.
func (l *Leader) extendLease(now time.Time, runner string) time.Duration {
	l.pool.LimitLeases(l.ordersEnd())
	return l.pool.ExtendLease(now, runner)
}

// leaseConfirmed reports whether no other daemon can have acquired the lease yet. A leader whose lease is unconfirmed
// continues for LeaseGrace, but another leader may already control the runners and jobs that it can't see. It therefore
// doesn't treat runs on silent runners as ended and accepts no jobs that it didn't commit itself. The lease is
// confirmed again once the store has accepted a commit that was sent after the gap in the heartbeats.
func (l *Leader) leaseConfirmed(now time.Time) bool {
	heartbeat := l.Heartbeat()
	return heartbeat.Epoch == l.epoch && now.Before(heartbeat.Acked.Add(l.HeartbeatTimeout))
}

// planLoop plans after each event, and every idleInterval without one.
func (l *Leader) planLoop(ctx context.Context) error {
	lastForget := l.Now()
	for ctx.Err() == nil {
		sleep.ForOrWake(ctx, idleInterval, l.wakePlan)
		now := l.Now()
		if !l.mayOrder(now) {
			l.mu.Lock()
			l.loseLease(fault.New(fault.Fenced, "the store has not answered a heartbeat within the timeout and the lease grace"))
			l.mu.Unlock()
			return nil
		}
		l.plan(now)
		if now.Sub(lastForget) > forgetInterval {
			lastForget = now
			l.forgetFinished(now)
		}
		sleep.ForOrWake(ctx, max(minPlanInterval, planShare*l.Now().Sub(now)), nil)
	}
	return nil
}

// plan runs the scheduler and dispatches its orders.
func (l *Leader) plan(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.SetStoreAvailable(l.storeTakesCommits(now))
	l.pool.AllowStarts(l.mayStart(now))
	l.expirePortions(now)
	if l.pool.Fenced() {
		l.loseLease(fault.New(fault.Fenced, "a runner has seen a later leader"))
		return
	}
	for _, o := range l.pool.Plan(now, time.Now(), l.leaseConfirmed(now)) {
		l.dispatch(o)
	}
	if l.pool.NewlyHeldUp() {
		sleep.Wake(l.caps.reported)
	}
	if at, ok := l.pool.NextCommit(); ok && !now.Before(at) {
		sleep.Wake(l.wakeCommit)
	}
}

// dispatch passes an order to the session of its runner, or an approval request to the policy service.
func (l *Leader) dispatch(o sched.Order) {
	switch o := o.(type) {
	case sched.Start:
		l.Log.Debug("start", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner))
		l.enqueueOrder(o.Runner, o)
	case sched.Stop:
		l.logStop(o)
		l.enqueueOrder(o.Runner, o)
	case sched.Pace:
		l.Log.Info("pace", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner), zap.Int("percent", o.Percent))
		l.enqueueOrder(o.Runner, o)
	case sched.ApprovalRequest:
		l.requestApproval(o)
	}
}

// logStop logs a stop, with what decided it.
func (l *Leader) logStop(o sched.Stop) {
	fields := []zap.Field{zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner), zap.String("why", o.Reason)}
	if o.Detail != "" {
		fields = append(fields, zap.String("others", o.Detail))
	}
	l.Log.Info("stop", fields...)
}

func (l *Leader) enqueueOrder(runner string, o sched.Order) {
	s, ok := l.sessions[runner]
	if !ok {
		l.Log.Error("cannot send an order to a runner without a session", zap.String("runner", runner))
		return
	}
	s.enqueue(o)
}

// requestApproval asks the policy service in the background which runners it approves for a step.
func (l *Leader) requestApproval(request sched.ApprovalRequest) {
	if l.Approvals == nil {
		l.Log.Error("a queue requires approvals but the platform has no policy service", zap.String("step", request.Step))
		return
	}
	l.group.Go(func() error {
		approval, err := l.Approvals.Ask(l.ctx, approvals.Request{Step: request.Step, Runners: request.Runners, Terms: request.Terms, Priority: request.Priority})
		l.mu.Lock()
		if err != nil {
			l.pool.HandleApprovalFailure(request) // the scheduler asks again
		} else {
			l.pool.HandleApproval(l.Now(), request, approval.Tickets, approval.Valid)
		}
		l.mu.Unlock()
		sleep.Wake(l.wakePlan)
		return nil
	})
}

// forgetFinished removes finished jobs whose state callers may no longer query.
func (l *Leader) forgetFinished(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.pool.ForgetJobs(now.Add(-l.StatusFor - finishedSlack)) {
		l.intents = append(l.intents, &intent{kind: deleteJob, id: id})
		delete(l.progressRows, id)
		delete(l.isolation.refused, commitPart{job: id})
	}
	l.forgetRefused(now)
}

// Configure sets the queues of a version of the configuration, whether the service's runners reject what exceeds their room, and the
// workspaces with the number of services that they share.
func (l *Leader) Configure(version int64, queues []work.Queue, guarded bool, workspaces []platform.Workspace, services int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.SetQueues(version, queues)
	l.noteQueues(queues)
	l.guarded = guarded
	l.workspaces, l.services = workspaces, services
	l.configureCaps(workspaces)
	l.pool.SetWorkspaces(weights(workspaces), services)
	sleep.Wake(l.wakePlan)
}
