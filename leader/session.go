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
	leader  *Leader
	target  platform.Target
	mu      sync.Mutex
	orders  []sched.Order
	senders int                // running sendLoops
	cancel  context.CancelFunc // ends pollLoop
}

// RunnerListed handles a runner's entry in the platform's list.
func (l *Leader) RunnerListed(runner work.Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listedRunners[runner.ID] = runner
	if old, ok := l.storedRunners[runner.ID]; !ok || old.Addr != runner.Addr {
		sleep.Wake(l.wakeCommit) // the runner gets no work before the store lists it as possibly having work
		return
	}
	if old := l.storedRunners[runner.ID]; old.Born < runner.Born {
		sleep.Wake(l.wakeCommit)
	}
	l.admitRunner(runner)
}

// admitRunner makes a runner that the store lists available for work.
func (l *Leader) admitRunner(runner work.Runner) {
	l.pool.UpdateRunner(l.Now(), runner)
	if s, ok := l.sessions[runner.ID]; ok && s.target.Addr == runner.Addr {
		sleep.Wake(l.wakePlan)
		return
	}
	l.startSession(runner)
	sleep.Wake(l.wakePlan)
}

// startSession creates the session of a runner, in place of one with an earlier address. The session runs once Run has
// started.
func (l *Leader) startSession(runner work.Runner) {
	if old, ok := l.sessions[runner.ID]; ok && old.cancel != nil {
		old.cancel()
	}
	s := &session{leader: l, target: platform.Target{ID: runner.ID, Addr: runner.Addr}}
	l.sessions[runner.ID] = s
	if l.group != nil {
		l.runSession(s)
	}
}

func (l *Leader) runSession(s *session) {
	ctx, cancel := context.WithCancel(l.ctx)
	s.cancel = cancel
	l.group.Go(func() error {
		s.pollLoop(ctx)
		return nil
	})
}

// RunnerUnlisted handles the removal of a runner from the platform's list.
func (l *Leader) RunnerUnlisted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.listedRunners, id)
	l.pool.MarkUnlisted(l.Now(), id)
	sleep.Wake(l.wakeCommit)
}

// RunnerMoved handles a runner of another service: earlier runners on the same machine no longer exist.
func (l *Leader) RunnerMoved(runner work.Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.HandleReplacement(l.Now(), runner)
	if _, ok := l.listedRunners[runner.ID]; ok {
		delete(l.listedRunners, runner.ID)
		l.pool.MarkUnlisted(l.Now(), runner.ID)
	}
	sleep.Wake(l.wakeCommit)
}

// pollLoop polls the runner for its runs until ctx ends or the scheduler has forgotten the runner.
func (s *session) pollLoop(ctx context.Context) {
	l := s.leader
	wait := time.Duration(0) // the first poll is answered immediately
	for ctx.Err() == nil {
		now := l.Now()
		if !l.mayOrder(now) {
			return
		}
		var req platform.PollRequest
		l.mu.Lock()
		if !l.pool.HasRunner(s.target.ID) {
			l.close(s)
			l.mu.Unlock()
			return
		}
		fence := l.pool.Fence(s.target.ID)
		req.Token = fence.Token
		req.AckCursor = l.pool.AckCursor(s.target.ID)
		req.LeaseExpiry = l.extendLease(now, s.target.ID)
		req.Wait = l.pool.PollWait(now, s.target.ID, wait)
		l.pool.PollSent(now, s.target.ID, req.Wait)
		l.mu.Unlock()
		if s.poll(ctx, now, fence, req) {
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
func (s *session) poll(ctx context.Context, sentAt time.Time, fence sched.Fence, req platform.PollRequest) bool {
	l := s.leader
	pollCtx, cancel := context.WithTimeout(ctx, req.Wait+pollSlack)
	defer cancel()
	result, err := l.Runners.Poll(pollCtx, s.target, req)
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	defer sleep.Wake(l.wakePlan)
	if err != nil {
		if ctx.Err() == nil {
			l.pool.HandlePollFailure(now, s.target.ID)
			l.Log.Debug("runner did not answer a poll", zap.String("runner", s.target.ID), zap.Error(err))
		}
		return false
	}
	l.pool.HandlePollResult(now, s.target.ID, sentAt, fence, result)
	if l.pool.AwaitsRecord(s.target.ID) {
		sleep.Wake(l.wakeCommit)
	}
	for _, e := range result.Ends {
		if e.N > req.AckCursor {
			sleep.Wake(l.wakeCommit)
			break
		}
	}
	return true
}

// awaitCommitted waits up to maxCommitWait until the run ends from the last poll are stored, and the runner's restart if there
// was one. Until then the runner would answer the next poll immediately, and to no use.
func (s *session) awaitCommitted(ctx context.Context) {
	l := s.leader
	deadline := l.Now().Add(maxCommitWait)
	for ctx.Err() == nil {
		l.mu.Lock()
		uncommitted, commitDone := l.pool.HasUncommittedEnds(s.target.ID) || l.pool.AwaitsRecord(s.target.ID), l.commitDone
		l.mu.Unlock()
		remaining := deadline.Sub(l.Now())
		if !uncommitted || remaining <= 0 {
			return
		}
		sleep.ForOrWake(ctx, remaining, commitDone)
	}
}

// close removes the session of a runner that the scheduler has forgotten.
func (l *Leader) close(s *session) {
	if l.sessions[s.target.ID] == s {
		delete(l.sessions, s.target.ID)
	}
}

// enqueue queues an order. Up to maxConcurrentOrders are sent at the same time, in the order of the queue.
func (s *session) enqueue(o sched.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
	if s.senders < maxConcurrentOrders {
		s.senders++
		s.leader.group.Go(func() error {
			s.sendLoop(s.leader.ctx)
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
	l := s.leader
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	switch o := o.(type) {
	case sched.Start:
		s.sendStart(ctx, o)
	case sched.Stop:
		err := l.Runners.Stop(ctx, s.target, o.Task, o.Run, o.Fence.Token)
		l.mu.Lock()
		l.pool.HandleStopResult(l.Now(), o, outcome(err))
		l.mu.Unlock()
		sleep.Wake(l.wakePlan)
	case sched.Pace:
		if err := l.Runners.Pace(ctx, s.target, o.Task, o.Run, o.Percent, o.Fence.Token); err != nil {
			l.Log.Warn("cannot set the pace of a run", zap.Stringer("task", o.Task), zap.String("runner", s.target.ID), zap.Error(err))
			l.mu.Lock()
			l.pool.HandlePaceFailure(o)
			l.mu.Unlock()
		}
	}
}

// sendStart sends a start unless it is no longer needed or this leader may no longer send orders.
func (s *session) sendStart(ctx context.Context, o sched.Start) {
	l := s.leader
	now := l.Now()
	l.mu.Lock()
	l.expirePortions(now)
	shouldSend := now.Before(l.ordersEnd()) && l.mayStart(now) && l.pool.ShouldSend(o)
	leaseExpiry := l.extendLease(now, s.target.ID)
	if !shouldSend {
		l.pool.WithdrawStart(now, o)
	}
	l.mu.Unlock()
	if !shouldSend {
		return
	}
	result, err := l.Runners.Start(ctx, s.target, platform.StartRequest{
		Task: o.Task, Run: o.Run, Spec: o.Spec, LeaseExpiry: leaseExpiry, Token: o.Fence.Token, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	})
	if err != nil || result.Refused != "" {
		l.Log.Info("runner did not confirm a start", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", s.target.ID),
			zap.String("refused", string(result.Refused)), zap.Error(err))
	}
	l.mu.Lock()
	l.pool.HandleStartResult(l.Now(), o, outcome(err), result.Refused, result.Clock)
	l.mu.Unlock()
	sleep.Wake(l.wakePlan)
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
