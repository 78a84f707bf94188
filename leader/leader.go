package leader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"gypsumlead/clock"
	"gypsumlead/fault"
	"gypsumlead/member"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// Deps are the dependencies of a Leader.
type Deps struct {
	Store            *platform.Store
	Runners          *platform.RunnerClient
	Approvals        *platform.ApprovalClient // nil if the platform has no policy service
	Log              *zap.Logger
	Heartbeat        func() member.HeartbeatState // state of this daemon's own heartbeat
	HeartbeatTimeout time.Duration                // how long an acknowledged heartbeat keeps the daemon alive
	OnViolation      func(error)
	Now              clock.Clock
}

// Leader schedules one service while this daemon holds its lease of leadership.
type Leader struct {
	Deps
	lease       Lease
	leaseConfig sched.LeaseConfig

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
	storeTime       time.Duration          // the store's clock at the last commit that it answered
	storeTimeReadAt time.Time              // when storeTime was read, on this daemon's clock
	leaseRow        LeaseRow
	leaseVersion    int64         // version of the lease row
	commitDone      chan struct{} // closed and replaced after each commit that took effect
	lostErr         error
	epoch           int64 // heartbeat epoch in which the store last confirmed the lease

	wakePlan   chan struct{}
	wakeCommit chan struct{}
	group      *errgroup.Group
	ctx        context.Context
	stop       context.CancelFunc
	done       chan struct{} // closed when Run returns
}

// New returns a Leader for an acquired lease. Call Restore and then Run.
func New(lease Lease, config sched.LeaseConfig, deps Deps) *Leader {
	config.InheritedTTL = lease.InheritedTTL
	h := &Leader{
		Deps:          deps,
		lease:         lease,
		leaseConfig:   config,
		sessions:      map[string]*session{},
		storedRunners: map[string]work.Runner{},
		listedRunners: map[string]work.Runner{},
		leaseRow:      lease.Row,
		leaseVersion:  lease.Version,
		cancelWaiters: map[work.ID][]chan Result{},
		unanswered:    map[int64]commitBatch{},
		commitDone:    make(chan struct{}),
		wakePlan:      make(chan struct{}, 1),
		wakeCommit:    make(chan struct{}, 1),
		done:          make(chan struct{}),
		epoch:         lease.HeartbeatEpoch,
	}
	h.Log = deps.Log.With(zap.String("service", lease.Service), zap.Int("term", lease.Row.Term))
	h.pool = sched.New(lease.AcquiredAt, lease.Row.Term, config, sched.WithViolationHook(deps.OnViolation), sched.WithAbandonHook(h.logAbandoned), sched.WithJobEndHook(h.logFinished))
	return h
}

// logAbandoned logs a run that the scheduler has abandoned.
func (h *Leader) logAbandoned(run sched.AbandonedRun) {
	h.Log.Info("run given up", zap.Stringer("task", run.Task), zap.Int("run", run.Run), zap.String("runner", run.Runner), zap.String("why", run.Reason))
}

// logFinished logs the end of a job.
func (h *Leader) logFinished(end sched.JobEnd) {
	h.Log.Info("job is over", zap.String("job", string(end.Job)), zap.String("queue", end.Queue), zap.String("state", string(end.State)),
		zap.Duration("waited", end.QueueTime), zap.Duration("took", end.Elapsed), zap.Duration("aim", end.Objective))
}

// Service returns the name of the led service.
func (h *Leader) Service() string { return h.lease.Service }

// Run schedules until ctx ends or the lease is lost. If the lease was lost, it returns the reason.
func (h *Leader) Run(ctx context.Context) error {
	defer close(h.done)
	ctx, h.stop = context.WithCancel(ctx)
	defer h.stop()
	h.group, h.ctx = errgroup.WithContext(ctx)
	h.mu.Lock()
	for id := range h.sessions {
		h.runSession(h.sessions[id])
	}
	h.mu.Unlock()
	h.group.Go(func() error { return h.planLoop(h.ctx) })
	h.group.Go(func() error { return h.commitLoop(h.ctx) })
	h.group.Go(func() error { return h.inboxLoop(h.ctx) })
	err := h.group.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuseAll()
	if h.lostErr != nil {
		return h.lostErr
	}
	return err
}

// loseLease stops the leader and records why the lease was lost.
func (h *Leader) loseLease(err error) {
	if h.lostErr == nil {
		h.lostErr = err
		h.Log.Warn("leadership lost", zap.Error(err))
	}
	if h.stop != nil {
		h.stop()
	}
}

// mayOrder reports whether orders may still be sent; see LeaseGrace.
func (h *Leader) mayOrder(now time.Time) bool {
	return now.Before(h.Heartbeat().Acked.Add(h.HeartbeatTimeout + LeaseGrace))
}

// leaseConfirmed reports whether no other daemon can have acquired the lease yet. A leader whose lease is unconfirmed
// continues for LeaseGrace, but another leader may already control the runners and jobs that it can't see. It therefore
// doesn't treat runs on silent runners as ended and accepts no jobs that it didn't commit itself. The lease is confirmed
// again once the store has accepted a commit that was sent after the gap in the heartbeats.
func (h *Leader) leaseConfirmed(now time.Time) bool {
	heartbeat := h.Heartbeat()
	return heartbeat.Epoch == h.epoch && now.Before(heartbeat.Acked.Add(h.HeartbeatTimeout))
}

// planLoop plans after each event, and every idleInterval without one.
func (h *Leader) planLoop(ctx context.Context) error {
	lastForget := h.Now()
	for ctx.Err() == nil {
		sleep.ForOrWake(ctx, idleInterval, h.wakePlan)
		now := h.Now()
		if !h.mayOrder(now) {
			h.mu.Lock()
			h.loseLease(fault.New(fault.Fenced, "the store has not answered a heartbeat within the timeout and the lease grace"))
			h.mu.Unlock()
			return nil
		}
		h.plan(now)
		if now.Sub(lastForget) > forgetInterval {
			lastForget = now
			h.forgetFinished(now)
		}
		sleep.ForOrWake(ctx, minPlanInterval, nil)
	}
	return nil
}

// plan runs the scheduler and dispatches its orders.
func (h *Leader) plan(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pool.Fenced() {
		h.loseLease(fault.New(fault.Fenced, "a runner has seen a later leader"))
		return
	}
	for _, o := range h.pool.Plan(now, time.Now(), h.leaseConfirmed(now)) {
		h.dispatch(o)
	}
	if at, ok := h.pool.NextCommit(); ok && !now.Before(at) {
		sleep.Wake(h.wakeCommit)
	}
}

// dispatch passes an order to the session of its runner, or an approval request to the policy service.
func (h *Leader) dispatch(o sched.Order) {
	switch o := o.(type) {
	case sched.Start:
		h.Log.Debug("start", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner))
		h.enqueueOrder(o.Runner, o)
	case sched.Stop:
		h.Log.Info("stop", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner), zap.String("why", o.Reason))
		h.enqueueOrder(o.Runner, o)
	case sched.Pace:
		h.Log.Info("pace", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner), zap.Int("percent", o.Percent))
		h.enqueueOrder(o.Runner, o)
	case sched.ApprovalRequest:
		h.requestApproval(o)
	}
}

func (h *Leader) enqueueOrder(runner string, o sched.Order) {
	s, ok := h.sessions[runner]
	if !ok {
		h.Log.Error("cannot send an order to a runner without a session", zap.String("runner", runner))
		return
	}
	s.enqueue(o)
}

// requestApproval asks the policy service in the background which runners it approves for a step.
func (h *Leader) requestApproval(request sched.ApprovalRequest) {
	if h.Approvals == nil {
		h.Log.Error("a queue requires approvals but the platform has no policy service", zap.String("step", request.Step))
		return
	}
	h.group.Go(func() error {
		ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
		defer cancel()
		approval, err := h.Approvals.Approve(ctx, request.Step, request.Runners)
		if err != nil {
			h.Log.Warn("cannot get approvals from the policy service", zap.String("step", request.Step), zap.Error(err))
			return nil // the scheduler asks again
		}
		h.mu.Lock()
		h.pool.HandleApproval(h.Now(), request, approval.Tickets, approval.Valid)
		h.mu.Unlock()
		sleep.Wake(h.wakePlan)
		return nil
	})
}

// forgetFinished removes finished jobs whose state callers may no longer query.
func (h *Leader) forgetFinished(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.pool.ForgetJobs(now.Add(-finishedTTL)) {
		h.intents = append(h.intents, &intent{kind: deleteJob, id: id})
	}
}

// SetQueues sets the configured queues of the service.
func (h *Leader) SetQueues(queues []work.Queue) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.SetQueues(queues)
	sleep.Wake(h.wakePlan)
}
