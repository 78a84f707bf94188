package leader

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/home"
	"gypsumlead/member"
	"gypsumlead/platform"
	"gypsumlead/sched"
)

// lead runs the leader of a lease until ctx ends, and returns a channel that is closed at its end.
func (f *fleet) lead(ctx context.Context, m *fleetMember, lease *Lease) (*Leader, chan struct{}) {
	l := New(*lease, sched.LeaseConfig{TTL: f.timing.RunnerLease}, Deps{
		Store: m.client, Homes: home.NewDirectory(m.client, zap.NewNop()), Log: zap.NewNop(), OnViolation: func(error) {}, Now: time.Now, CancelWithin: 4 * time.Second, RunnerHeartbeat: 1500 * time.Millisecond,
		HeartbeatTimeout: member.HeartbeatTimeout, Heartbeat: m.members.OwnHeartbeat, RunnersReadAt: time.Now,
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = l.Run(ctx)
	}()
	return l, ended
}

// leadIdle starts a daemon that leads the service, which has no jobs and no runners. The channel is closed when the leadership has ended.
func (f *fleet) leadIdle(ctx context.Context, t *testing.T) (*fleetMember, *Leader, chan struct{}) {
	m := f.start("old", "1", 1)
	time.Sleep(2 * time.Second)
	lease, err := f.acquire(ctx, m)
	require.NoError(t, err)
	l, ended := f.lead(ctx, m, lease)
	return m, l, ended
}

// Guards against a leader that goes on for good beside its successor, because it has nothing to commit and no runners.
func TestIdleLeaderLearnsOfItsSuccessor(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		signs  func(l *Leader)
		within time.Duration
	}{
		{"without a sign", func(*Leader) {}, confirmInterval + time.Second},
		{"another daemon announces a later term", func(l *Leader) { l.ObserveTerm(2) }, 10 * time.Millisecond},
		{"another daemon grants portions", func(l *Leader) { l.Doubt() }, 100 * time.Millisecond},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			onFleet(t, func(t *testing.T, f *fleet) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m, l, ended := f.leadIdle(ctx, t)
				time.Sleep(9 * time.Second)
				require.True(t, l.HasAuthority(), "the lease is still its own")
				l.Doubt()
				l.ObserveTerm(1)
				time.Sleep(time.Second)
				require.True(t, l.HasAuthority())

				value, err := encode(LeaseRow{Holder: "new", Boot: "1", Term: 2, Capped: true})
				require.NoError(t, err)
				_, err = m.client.Commit(t.Context(), platform.Tx{Puts: []platform.Row{{RowKey: rowKey(tableLease, "s", keyLease), Value: value}}})
				require.NoError(t, err)
				scenario.signs(l)
				select {
				case <-ended:
				case <-time.After(scenario.within):
					require.Fail(t, "it goes on")
				}
				require.False(t, l.HasAuthority())
			})
		})
	}
}

// Guards against confirming the lease more often than needed: a leader of an idle service costs at most one reading each
// confirmInterval, and no write.
func TestIdleLeaderConfirmsItsLeaseRarely(t *testing.T) {
	onFleet(t, func(t *testing.T, f *fleet) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, l, _ := f.leadIdle(ctx, t)
		time.Sleep(7 * time.Second)
		before, commits := f.store.CallCounts(), l.leaseRow.Commits
		time.Sleep(10 * confirmInterval)
		after := f.store.CallCounts()
		require.LessOrEqual(t, after["rows-get"]-before["rows-get"], 11)
		require.GreaterOrEqual(t, after["rows-get"]-before["rows-get"], 9)
		require.Equal(t, commits, l.leaseRow.Commits)
	})
}
