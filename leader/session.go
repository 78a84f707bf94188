package leader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sched"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// session is the communication with one runner: a loop of polls, and orders sent concurrently.
type session struct {
	h       *Leader
	target  platform.Target
	mu      sync.Mutex
	orders  []sched.Order
	senders int                // running sendLoops
	cancel  context.CancelFunc // ends pollLoop
}

// RunnerListed handles a runner's entry in the platform's list.
func (h *Leader) RunnerListed(runner work.Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listedRunners[runner.ID] = runner
	if old, ok := h.storedRunners[runner.ID]; !ok || old.Addr != runner.Addr {
		sleep.Wake(h.wakeCommit) // the runner gets no work before the store lists it as possibly having work
		return
	}
	h.admitRunner(runner)
}

// admitRunner makes a runner that the store lists available for work.
func (h *Leader) admitRunner(runner work.Runner) {
	h.pool.UpdateRunner(h.Now(), runner)
	if s, ok := h.sessions[runner.ID]; ok && s.target.Addr == runner.Addr {
		sleep.Wake(h.wakePlan)
		return
	}
	h.startSession(runner)
	sleep.Wake(h.wakePlan)
}

// startSession creates the session of a runner, in place of one with an earlier address. The session runs once Run has
// started.
func (h *Leader) startSession(runner work.Runner) {
	if old, ok := h.sessions[runner.ID]; ok && old.cancel != nil {
		old.cancel()
	}
	s := &session{h: h, target: platform.Target{ID: runner.ID, Addr: runner.Addr}}
	h.sessions[runner.ID] = s
	if h.group != nil {
		h.runSession(s)
	}
}

func (h *Leader) runSession(s *session) {
	ctx, cancel := context.WithCancel(h.ctx)
	s.cancel = cancel
	h.group.Go(func() error {
		s.pollLoop(ctx)
		return nil
	})
}

// RunnerUnlisted handles the removal of a runner from the platform's list.
func (h *Leader) RunnerUnlisted(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.listedRunners, id)
	h.pool.MarkUnlisted(h.Now(), id)
	sleep.Wake(h.wakeCommit)
}

// RunnerMoved handles a runner of another service, whose start ends earlier incarnations of its machine's runner.
func (h *Leader) RunnerMoved(runner work.Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.HandleReplacement(h.Now(), runner)
	if _, ok := h.listedRunners[runner.ID]; ok {
		delete(h.listedRunners, runner.ID)
		h.pool.MarkUnlisted(h.Now(), runner.ID)
	}
	sleep.Wake(h.wakeCommit)
}

// pollLoop polls the runner for its runs until ctx ends or the scheduler has forgotten the runner.
func (s *session) pollLoop(ctx context.Context) {
	h := s.h
	wait := time.Duration(0) // the first poll is answered immediately
	for ctx.Err() == nil {
		now := h.Now()
		if !h.mayOrder(now) {
			return
		}
		req := platform.PollRequest{Token: h.lease.Token, Wait: wait}
		h.mu.Lock()
		if !h.pool.HasRunner(s.target.ID) {
			h.close(s)
			h.mu.Unlock()
			return
		}
		req.AckCursor = h.pool.AckCursor(s.target.ID)
		req.LeaseExpiry = h.pool.ExtendLease(now, s.target.ID)
		h.pool.PollSent(now, s.target.ID, wait)
		h.mu.Unlock()
		if s.poll(ctx, now, req) {
			wait = pollWait
			sleep.ForOrWake(ctx, pollInterval, nil)
			s.awaitCommitted(ctx)
			continue
		}
		wait = 0
		sleep.ForOrWake(ctx, pollRetryInterval, nil)
	}
}

// poll sends one poll, applies its result and reports whether the runner answered.
func (s *session) poll(ctx context.Context, sentAt time.Time, req platform.PollRequest) bool {
	h := s.h
	pollCtx, cancel := context.WithTimeout(ctx, req.Wait+pollSlack)
	defer cancel()
	result, err := h.Runners.Poll(pollCtx, s.target, req)
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer sleep.Wake(h.wakePlan)
	if err != nil {
		if ctx.Err() == nil {
			h.pool.HandlePollFailure(now, s.target.ID)
			h.Log.Debug("runner did not answer a poll", zap.String("runner", s.target.ID), zap.Error(err))
		}
		return false
	}
	h.pool.HandlePollResult(now, s.target.ID, sentAt, result)
	for _, e := range result.Ends {
		if e.N > req.AckCursor {
			sleep.Wake(h.wakeCommit)
			break
		}
	}
	return true
}

// awaitCommitted waits up to maxCommitWait until the run ends from the last poll are stored. While they are not
// acknowledged, the runner would answer the next poll immediately.
func (s *session) awaitCommitted(ctx context.Context) {
	h := s.h
	deadline := h.Now().Add(maxCommitWait)
	for ctx.Err() == nil {
		h.mu.Lock()
		uncommitted, commitDone := h.pool.HasUncommittedEnds(s.target.ID), h.commitDone
		h.mu.Unlock()
		remaining := deadline.Sub(h.Now())
		if !uncommitted || remaining <= 0 {
			return
		}
		sleep.ForOrWake(ctx, remaining, commitDone)
	}
}

// close removes the session of a runner that the scheduler has forgotten.
func (h *Leader) close(s *session) {
	if h.sessions[s.target.ID] == s {
		delete(h.sessions, s.target.ID)
	}
}

// enqueue queues an order. Up to maxConcurrentOrders are sent at the same time, in the order of the queue.
func (s *session) enqueue(o sched.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	if s.senders < maxConcurrentOrders {
		s.senders++
		s.h.group.Go(func() error {
			s.sendLoop(s.h.ctx)
			return nil
		})
	}
}

// sendLoop sends queued orders until there are none or ctx ends.
func (s *session) sendLoop(ctx context.Context) {
	for {
		s.mu.Lock()
		if len(s.orders) == 0 || ctx.Err() != nil {
			s.senders--
			s.mu.Unlock()
			return
		}
		o := s.orders[0]
		s.orders = s.orders[1:]
		s.mu.Unlock()
		s.send(ctx, o)
	}
}

// send sends one order to the runner and passes the result to the scheduler.
func (s *session) send(ctx context.Context, o sched.Order) {
	h := s.h
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch o := o.(type) {
	case sched.Start:
		s.sendStart(ctx, o)
	case sched.Stop:
		err := h.Runners.Stop(ctx, s.target, o.Task, o.Run, h.lease.Token)
		h.mu.Lock()
		h.pool.HandleStopResult(h.Now(), o, outcome(err))
		h.mu.Unlock()
		sleep.Wake(h.wakePlan)
	case sched.Pace:
		if err := h.Runners.Pace(ctx, s.target, o.Task, o.Run, o.Percent, h.lease.Token); err != nil {
			h.Log.Warn("cannot set the pace of a run", zap.Stringer("task", o.Task), zap.String("runner", s.target.ID), zap.Error(err))
			h.mu.Lock()
			h.pool.HandlePaceFailure(o)
			h.mu.Unlock()
		}
	}
}

func (s *session) sendStart(ctx context.Context, o sched.Start) {
	h := s.h
	now := h.Now()
	h.mu.Lock()
	shouldSend := h.mayOrder(now) && h.pool.ShouldSend(o)
	leaseExpiry := h.pool.ExtendLease(now, s.target.ID)
	if !shouldSend {
		h.pool.WithdrawStart(now, o)
	}
	h.mu.Unlock()
	if !shouldSend {
		return
	}
	result, err := h.Runners.Start(ctx, s.target, platform.StartRequest{
		Task: o.Task, Run: o.Run, Spec: o.Spec, LeaseExpiry: leaseExpiry, Token: h.lease.Token, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	})
	if err != nil || result.Refused != "" {
		h.Log.Info("runner did not carry out a start", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", s.target.ID),
			zap.String("refused", string(result.Refused)), zap.Error(err))
	}
	h.mu.Lock()
	h.pool.HandleStartResult(h.Now(), o, outcome(err), result.Refused, result.Clock)
	h.mu.Unlock()
	sleep.Wake(h.wakePlan)
}

// outcome converts the error of an order to its outcome.
func outcome(err error) sched.Outcome {
	switch {
	case err == nil:
		return sched.OutcomeDone
	case fault.Is(err, fault.Overload):
		return sched.OutcomeNotSent
	}
	return sched.OutcomeUnknown
}
