package approvals

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/work"
)

// service is a fake policy service that takes a while to answer.
type service struct {
	mu      sync.Mutex
	time    time.Duration
	err     error
	calls   []string // the steps asked about
	open    int
	beside  int // calls that came while another was open
	callsAt []time.Time
}

func (s *service) call(ctx context.Context, step string, _ []string) (platform.Approval, error) {
	s.mu.Lock()
	s.beside += s.open
	s.open++
	s.calls, s.callsAt = append(s.calls, step), append(s.callsAt, time.Now())
	wait, err := s.time, s.err
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(wait):
		return platform.Approval{}, err
	case <-ctx.Done():
		return platform.Approval{}, ctx.Err()
	}
}

// Guards against a call that is given up before the service answers by its own terms.
func TestCallIsGivenTheTimeOfItsTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{time: 30 * time.Second}
		sender := New(s.call, zap.NewNop(), time.Now)
		_, err := sender.Ask(t.Context(), Request{Step: "a", Runners: make([]string, 10), Terms: work.ApprovalTiming{Base: 20 * time.Second, Each: time.Second}})
		require.NoError(t, err)
	})
}

// Guards against a service slower than its terms that never gets the time to answer.
func TestTimeGrowsAfterCallsThatTimedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{time: 9 * time.Second}
		sender := New(s.call, zap.NewNop(), time.Now)
		request := Request{Step: "a", Runners: []string{"r"}, Terms: work.ApprovalTiming{Base: 2 * time.Second}}
		tries := 1
		for ; ; tries++ {
			if _, err := sender.Ask(t.Context(), request); err == nil {
				break
			}
			require.Less(t, tries, 5)
		}
		require.Greater(t, tries, 1)
	})
}

// Guards against calls that spend their timeout waiting for others, and urgent requests that wait for all earlier ones.
func TestCallsAreMadeOneAtATimeTheMostUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{time: time.Second}
		sender := New(s.call, zap.NewNop(), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		ask := func(ctx context.Context, step string, priority int) {
			group.Go(func() { _, _ = sender.Ask(ctx, Request{Step: step, Priority: priority}) })
			synctest.Wait()
		}
		ask(t.Context(), "first", 2)
		ask(t.Context(), "less urgent", 2)
		ask(ctx, "no longer wanted", 0)
		ask(t.Context(), "urgent", 0)
		ask(t.Context(), "later", 2)
		cancel()
		group.Wait()
		require.Equal(t, []string{"first", "urgent", "less urgent", "later"}, s.calls)
		require.Zero(t, s.beside)
	})
}

// Guards against a service that is called without a pause while it fails.
func TestPausesGrowWhileTheServiceFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{err: errors.New("refused")}
		sender := New(s.call, zap.NewNop(), time.Now)
		for range 8 {
			_, err := sender.Ask(t.Context(), Request{Step: "a"})
			require.Error(t, err)
		}
		for i := 1; i < len(s.callsAt); i++ {
			require.Equal(t, min(minPause<<(i-1), maxPause), s.callsAt[i].Sub(s.callsAt[i-1]))
		}
	})
}
