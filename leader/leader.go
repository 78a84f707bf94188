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

// Deps are what a holder works with.
type Deps struct {
	Store            *platform.Store
	Runners          *platform.RunnerClient
	Approvals        *platform.ApprovalClient // nil where the platform has none
	Log              *zap.Logger
	Heartbeat        func() member.HeartbeatState // of this daemon's life
	HeartbeatTimeout time.Duration                // for how long a sign of life holds
	OnViolation      func(error)
	Now              clock.Clock
}

// Leader schedules one service for as long as this daemon holds its seat.
type Leader struct {
	Deps
	claim  Lease
	bounds sched.LeaseConfig

	mu       sync.Mutex
	pool     *sched.Pool
	sessions map[string]*session
	queue    []*intent
	cancels  map[work.ID][]chan Result
	flights  map[int64]flight       // commits that weren't answered, by their number
	useful   map[string]work.Runner // runners that the store knows we may give work
	wanted   map[string]work.Runner // and those that it should
	marks    bool                   // the store may have runners as silent that h.silent doesn't name
	silent   map[string]time.Time   // runners that the store has as silent
	storeNow time.Duration          // the store's clock
	storeAt  time.Time              // when it was read
	seat     LeaseRow
	version  int64 // of the seat's row
	saved    chan struct{}
	lost     error
	spell    int64 // of the signs of life in which the seat was last seen to be ours

	kick   chan struct{}
	commit chan struct{}
	group  *errgroup.Group
	ctx    context.Context
	stop   context.CancelFunc
	fate   chan struct{} // closed once the seat is lost or left
}

// New returns the holder of a claimed seat; Restore and Run follow.
func New(c Lease, b sched.LeaseConfig, p Deps) *Leader {
	b.InheritedTTL = c.InheritedTTL
	h := &Leader{
		Deps:     p,
		claim:    c,
		bounds:   b,
		sessions: map[string]*session{},
		useful:   map[string]work.Runner{},
		wanted:   map[string]work.Runner{},
		seat:     c.Row,
		version:  c.Version,
		cancels:  map[work.ID][]chan Result{},
		flights:  map[int64]flight{},
		saved:    make(chan struct{}),
		kick:     make(chan struct{}, 1),
		commit:   make(chan struct{}, 1),
		fate:     make(chan struct{}),
		spell:    c.HeartbeatEpoch,
	}
	h.Log = p.Log.With(zap.String("service", c.Service), zap.Int("term", c.Row.Term))
	h.pool = sched.New(c.AcquiredAt, c.Row.Term, b, sched.WithViolationHook(p.OnViolation), sched.WithAbandonHook(h.givenUp), sched.WithJobEndHook(h.over))
	return h
}

// givenUp logs a run that is no longer counted on.
func (h *Leader) givenUp(n sched.AbandonedRun) {
	h.Log.Info("run given up", zap.Stringer("task", n.Task), zap.Int("run", n.Run), zap.String("runner", n.Runner), zap.String("why", n.Reason))
}

// over logs the end of a job.
func (h *Leader) over(o sched.JobEnd) {
	h.Log.Info("job is over", zap.String("job", string(o.Job)), zap.String("queue", o.Queue), zap.String("state", string(o.State)),
		zap.Duration("waited", o.QueueTime), zap.Duration("took", o.Elapsed), zap.Duration("aim", o.Objective))
}

// Service returns the service that is held.
func (h *Leader) Service() string { return h.claim.Service }

// Run schedules until ctx ends or the seat is lost.
func (h *Leader) Run(ctx context.Context) error {
	defer close(h.fate)
	ctx, h.stop = context.WithCancel(ctx)
	defer h.stop()
	h.group, h.ctx = errgroup.WithContext(ctx)
	h.mu.Lock()
	for id := range h.sessions {
		h.open(h.sessions[id])
	}
	h.mu.Unlock()
	h.group.Go(func() error { return h.planLoop(h.ctx) })
	h.group.Go(func() error { return h.commitLoop(h.ctx) })
	h.group.Go(func() error { return h.mailLoop(h.ctx) })
	err := h.group.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuseAll()
	if h.lost != nil {
		return h.lost
	}
	return err
}

// lose ends the tenure: somebody else holds the service.
func (h *Leader) lose(err error) {
	if h.lost == nil {
		h.lost = err
		h.Log.Warn("seat lost", zap.Error(err))
	}
	if h.stop != nil {
		h.stop()
	}
}

// valid tells whether orders may still be given; see LeaseGrace.
func (h *Leader) valid(now time.Time) bool {
	return now.Before(h.Heartbeat().Acked.Add(h.HeartbeatTimeout + LeaseGrace))
}

// sure tells whether nobody else can have taken the seat yet. A holder that isn't sure goes on, see LeaseGrace,
// but what it can't see any more may be another holder's by now: it takes nothing for ended because it is
// silent, and takes in no jobs that it didn't commit itself. It is sure again once the store has taken a
// commit that was sent after the gap.
func (h *Leader) sure(now time.Time) bool {
	s := h.Heartbeat()
	return s.Epoch == h.spell && now.Before(s.Acked.Add(h.HeartbeatTimeout))
}

// planLoop plans after each event, and now and then without one.
func (h *Leader) planLoop(ctx context.Context) error {
	swept := h.Now()
	for ctx.Err() == nil {
		sleep.ForOrWake(ctx, tick, h.kick)
		now := h.Now()
		if !h.valid(now) {
			h.mu.Lock()
			h.lose(fault.New(fault.Fenced, "the store hasn't answered for too long"))
			h.mu.Unlock()
			return nil
		}
		h.plan(now)
		if now.Sub(swept) > sweepEvery {
			swept = now
			h.sweep(now)
		}
		sleep.ForOrWake(ctx, planGap, nil)
	}
	return nil
}

// plan has the scheduler decide, and sends its orders on.
func (h *Leader) plan(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pool.Fenced() {
		h.lose(fault.New(fault.Fenced, "a runner has seen a later holder"))
		return
	}
	for _, o := range h.pool.Plan(now, time.Now(), h.sure(now)) {
		h.dispatch(o)
	}
	if at, ok := h.pool.NextCommit(); ok && !now.Before(at) {
		sleep.Wake(h.commit)
	}
}

// dispatch hands an order to the session of its runner.
func (h *Leader) dispatch(o sched.Order) {
	switch o := o.(type) {
	case sched.Start:
		h.Log.Debug("start", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner))
		h.give(o.Runner, o)
	case sched.Stop:
		h.Log.Info("stop", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner), zap.String("why", o.Reason))
		h.give(o.Runner, o)
	case sched.Pace:
		h.Log.Info("pace", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", o.Runner), zap.Int("percent", o.Percent))
		h.give(o.Runner, o)
	case sched.ApprovalRequest:
		h.ask(o)
	}
}

func (h *Leader) give(runner string, o sched.Order) {
	s, ok := h.sessions[runner]
	if !ok {
		h.Log.Error("order for a runner without a session", zap.String("runner", runner))
		return
	}
	s.push(o)
}

// ask puts a question to the policy service.
func (h *Leader) ask(o sched.ApprovalRequest) {
	if h.Approvals == nil {
		h.Log.Error("a queue needs approvals and the platform names no service for them", zap.String("step", o.Step))
		return
	}
	h.group.Go(func() error {
		ctx, cancel := context.WithTimeout(h.ctx, callLimit)
		defer cancel()
		a, err := h.Approvals.Approve(ctx, o.Step, o.Runners)
		if err != nil {
			h.Log.Warn("no approvals", zap.String("step", o.Step), zap.Error(err))
			return nil // it is asked again
		}
		h.mu.Lock()
		h.pool.HandleApproval(h.Now(), o, a.Tickets, a.Valid)
		h.mu.Unlock()
		sleep.Wake(h.kick)
		return nil
	})
}

// sweep has jobs forgotten that nobody may ask for any more.
func (h *Leader) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.pool.ForgetJobs(now.Add(-keepFinal)) {
		h.queue = append(h.queue, &intent{kind: forget, id: id})
	}
}

// SetQueues sets the queues of the service.
func (h *Leader) SetQueues(queues []work.Queue) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.SetQueues(queues)
	sleep.Wake(h.kick)
}
