package approvals

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/platform"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// Limits for calls.
const (
	timeoutSlack = 2 * time.Second // added to the time that an answer takes by the service's terms: the way there and back, and a busy service
	maxPatience  = 8               // the time by the terms is multiplied by at most this, after calls that timed out
	minPause     = 250 * time.Millisecond
	maxPause     = 4 * time.Second // between two calls while the service fails
)

// Call asks the policy service which of the runners may run a step.
type Call func(ctx context.Context, step string, runners []string) (platform.Approval, error)

// Request is what the policy service is asked.
type Request struct {
	Step     string
	Runners  []string
	Terms    work.ApprovalTiming
	Priority int // of the step's queue; 0 is the most urgent
}

// answerTime returns how long the service takes to answer by its terms.
func (r Request) answerTime() time.Duration {
	return r.Terms.Base + time.Duration(len(r.Runners))*r.Terms.Each
}

// Sender makes calls one at a time. The service handles a machine's calls one after the other, so that a call beside another would
// only spend its timeout waiting for it.
type Sender struct {
	call Call
	log  *zap.Logger
	now  clock.Clock

	mu       sync.Mutex
	calling  bool
	waiting  []*turn // in the order of arrival
	failures int     // in a row
	patience int     // by which the time by the terms is multiplied
	pausedAt time.Time
}

// turn is a request that waits for the call in progress.
type turn struct {
	priority int
	granted  chan struct{}
}

// New returns a Sender that makes its calls with call.
func New(call Call, log *zap.Logger, now clock.Clock) *Sender {
	return &Sender{call: call, log: log, now: now, patience: 1}
}

// Ask waits for its turn, and for the pause after a failed call, and returns the service's answer.
func (s *Sender) Ask(ctx context.Context, r Request) (platform.Approval, error) {
	if err := s.acquire(ctx, r.Priority); err != nil {
		return platform.Approval{}, err
	}
	defer s.release()
	if err := sleep.For(ctx, s.pause()); err != nil {
		return platform.Approval{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, s.timeout(r))
	defer cancel()
	approval, err := s.call(callCtx, r.Step, r.Runners)
	switch {
	case err == nil:
		s.noteAnswer()
	case ctx.Err() == nil: // otherwise the request is no longer wanted
		s.noteFailure(r, err, callCtx.Err() != nil)
	}
	return approval, err
}

// acquire waits until no call is in progress and no request that is more urgent waits.
func (s *Sender) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if !s.calling {
		s.calling = true
		s.mu.Unlock()
		return nil
	}
	own := &turn{priority, make(chan struct{})}
	s.waiting = append(s.waiting, own)
	s.mu.Unlock()
	select {
	case <-own.granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	i := slices.Index(s.waiting, own)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.mu.Unlock()
	if i < 0 {
		s.release() // it was granted meanwhile
	}
	return ctx.Err()
}

// release ends a call and grants the next turn: to the most urgent request, and of equally urgent ones to the first.
func (s *Sender) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.calling = false
		return
	}
	next := 0
	for i, t := range s.waiting {
		if t.priority < s.waiting[next].priority {
			next = i
		}
	}
	close(s.waiting[next].granted)
	s.waiting = slices.Delete(s.waiting, next, next+1)
}

// timeout returns how long a call may take.
func (s *Sender) timeout(r Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.patience)*r.answerTime() + timeoutSlack
}

// pause returns the time until the next call may be made.
func (s *Sender) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures == 0 {
		return 0
	}
	pause := min(minPause<<min(s.failures-1, 10), maxPause)
	return s.pausedAt.Add(pause).Sub(s.now())
}

// noteAnswer records that the service has answered.
func (s *Sender) noteAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures > 0 {
		s.log.Info("the policy service answers again", zap.Int("failed calls", s.failures))
	}
	s.failures, s.patience = 0, 1
}

// noteFailure records a call that failed. After one that timed out, the service may still be at work on it, and be slower than its
// terms.
func (s *Sender) noteFailure(r Request, err error, timedOut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures == 0 {
		s.log.Warn("cannot get approvals from the policy service", zap.String("step", r.Step), zap.Int("runners", len(r.Runners)),
			zap.Duration("by its terms", r.answerTime()), zap.Error(err))
	}
	s.failures++
	s.pausedAt = s.now()
	if timedOut {
		s.patience = min(2*s.patience, maxPatience)
	}
}
