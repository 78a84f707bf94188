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

// session is the conversation with one runner: a stream of looks, and orders beside it.
type session struct {
	h    *Leader
	to   platform.Target
	mu   sync.Mutex
	list []sched.Order
	busy int
	end  context.CancelFunc
}

// RunnerListed takes in a runner's entry in the platform's list.
func (h *Leader) RunnerListed(w work.Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted[w.ID] = w
	if old, ok := h.useful[w.ID]; !ok || old.Addr != w.Addr {
		sleep.Wake(h.commit) // no work before the store knows that it may have some
		return
	}
	h.admit(w)
}

// admit lets a runner get work; the store knows of it.
func (h *Leader) admit(w work.Runner) {
	h.pool.UpdateRunner(h.Now(), w)
	if s, ok := h.sessions[w.ID]; ok && s.to.Addr == w.Addr {
		sleep.Wake(h.kick)
		return
	}
	h.start(w)
	sleep.Wake(h.kick)
}

// start opens the session of a runner.
func (h *Leader) start(w work.Runner) {
	if old, ok := h.sessions[w.ID]; ok && old.end != nil {
		old.end()
	}
	s := &session{h: h, to: platform.Target{ID: w.ID, Addr: w.Addr}}
	h.sessions[w.ID] = s
	if h.group != nil {
		h.open(s)
	}
}

func (h *Leader) open(s *session) {
	ctx, cancel := context.WithCancel(h.ctx)
	s.end = cancel
	h.group.Go(func() error {
		s.look(ctx)
		return nil
	})
}

// RunnerUnlisted takes in that a runner is no longer in the platform's list.
func (h *Leader) RunnerUnlisted(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.wanted, id)
	h.pool.MarkUnlisted(h.Now(), id)
	sleep.Wake(h.commit)
}

// RunnerMoved takes in a runner of another service: earlier lives of its machine are over.
func (h *Leader) RunnerMoved(w work.Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.HandleReplacement(h.Now(), w)
	if _, ok := h.wanted[w.ID]; ok {
		delete(h.wanted, w.ID)
		h.pool.MarkUnlisted(h.Now(), w.ID)
	}
	sleep.Wake(h.commit)
}

// look asks the runner what it runs, again and again.
func (s *session) look(ctx context.Context) {
	h := s.h
	wait := time.Duration(0) // the first answer is wanted at once
	for ctx.Err() == nil {
		now := h.Now()
		if !h.valid(now) {
			return
		}
		l := platform.PollRequest{Token: h.claim.Token, Wait: wait}
		h.mu.Lock()
		if !h.pool.HasRunner(s.to.ID) {
			h.close(s)
			h.mu.Unlock()
			return
		}
		l.AckCursor = h.pool.AckCursor(s.to.ID)
		l.LeaseExpiry = h.pool.ExtendLease(now, s.to.ID)
		h.pool.PollSent(now, s.to.ID, wait)
		h.mu.Unlock()
		if s.looked(ctx, now, l) {
			wait = lookWait
			sleep.ForOrWake(ctx, lookGap, nil)
			s.awaitSaved(ctx)
			continue
		}
		wait = 0
		sleep.ForOrWake(ctx, lookAgain, nil)
	}
}

// looked sends one look and takes in its answer.
func (s *session) looked(ctx context.Context, sent time.Time, l platform.PollRequest) bool {
	h := s.h
	call, cancel := context.WithTimeout(ctx, l.Wait+lookSlack)
	defer cancel()
	got, err := h.Runners.Poll(call, s.to, l)
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer sleep.Wake(h.kick)
	if err != nil {
		if ctx.Err() == nil {
			h.pool.HandlePollFailure(now, s.to.ID)
			h.Log.Debug("look not answered", zap.String("runner", s.to.ID), zap.Error(err))
		}
		return false
	}
	h.pool.HandlePollResult(now, s.to.ID, sent, got)
	for _, e := range got.Ends {
		if e.N > l.AckCursor {
			sleep.Wake(h.commit)
			break
		}
	}
	return true
}

// awaitSaved waits until the store has the ends of the last look: as long as they aren't acknowledged, the next one would be answered at once.
func (s *session) awaitSaved(ctx context.Context) {
	h := s.h
	till := h.Now().Add(saveWait)
	for ctx.Err() == nil {
		h.mu.Lock()
		unsaved, saved := h.pool.HasUncommittedEnds(s.to.ID), h.saved
		h.mu.Unlock()
		left := till.Sub(h.Now())
		if !unsaved || left <= 0 {
			return
		}
		sleep.ForOrWake(ctx, left, saved)
	}
}

// close forgets the session of a runner that the scheduler has forgotten.
func (h *Leader) close(s *session) {
	if h.sessions[s.to.ID] == s {
		delete(h.sessions, s.to.ID)
	}
}

// push queues an order; the orders to one runner go out in turn.
func (s *session) push(o sched.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, o)
	if s.busy < orderAtOnce {
		s.busy++
		s.h.group.Go(func() error {
			s.work(s.h.ctx)
			return nil
		})
	}
}

// work sends queued orders until there are none.
func (s *session) work(ctx context.Context) {
	for {
		s.mu.Lock()
		if len(s.list) == 0 || ctx.Err() != nil {
			s.busy--
			s.mu.Unlock()
			return
		}
		o := s.list[0]
		s.list = s.list[1:]
		s.mu.Unlock()
		s.send(ctx, o)
	}
}

// send carries out one order.
func (s *session) send(ctx context.Context, o sched.Order) {
	h := s.h
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	switch o := o.(type) {
	case sched.Start:
		s.sendStart(ctx, o)
	case sched.Stop:
		err := h.Runners.Stop(ctx, s.to, o.Task, o.Run, h.claim.Token)
		h.mu.Lock()
		h.pool.HandleStopResult(h.Now(), o, outcome(err))
		h.mu.Unlock()
		sleep.Wake(h.kick)
	case sched.Pace:
		if err := h.Runners.Pace(ctx, s.to, o.Task, o.Run, o.Percent, h.claim.Token); err != nil {
			h.Log.Warn("pace not set", zap.Stringer("task", o.Task), zap.String("runner", s.to.ID), zap.Error(err))
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
	wanted := h.valid(now) && h.pool.ShouldSend(o)
	until := h.pool.ExtendLease(now, s.to.ID)
	if !wanted {
		h.pool.WithdrawStart(now, o)
	}
	h.mu.Unlock()
	if !wanted {
		return
	}
	got, err := h.Runners.Start(ctx, s.to, platform.StartRequest{
		Task: o.Task, Run: o.Run, Spec: o.Spec, LeaseExpiry: until, Token: h.claim.Token, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	})
	if err != nil || got.Refused != "" {
		h.Log.Info("start not carried out", zap.Stringer("task", o.Task), zap.Int("run", o.Run), zap.String("runner", s.to.ID),
			zap.String("refused", string(got.Refused)), zap.Error(err))
	}
	h.mu.Lock()
	h.pool.HandleStartResult(h.Now(), o, outcome(err), got.Refused, got.Clock)
	h.mu.Unlock()
	sleep.Wake(h.kick)
}

// outcome turns the error of an order into what is known of it.
func outcome(err error) sched.Outcome {
	switch {
	case err == nil:
		return sched.OutcomeDone
	case fault.Is(err, fault.Overload):
		return sched.OutcomeNotSent
	}
	return sched.OutcomeUnknown
}
