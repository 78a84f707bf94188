package leader

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/member"
	"gypsumlead/platform"
	"gypsumlead/sched"
)

// fakeLiveness is what a daemon knows of the others.
type fakeLiveness struct {
	live, restarted, known bool
	version                int64
	changedAt              time.Time
}

func (f fakeLiveness) Observe(platform.Row)          {}
func (f fakeLiveness) Gone(string, string) bool      { return !f.live }
func (f fakeLiveness) Restarted(string, string) bool { return f.restarted }
func (f fakeLiveness) LastChange(string, string) (int64, time.Time, bool) {
	return f.version, f.changedAt, f.known
}

// leaseState is what the former leader has done with its lease.
type leaseState int

const (
	held leaseState = iota
	released
	abandoned // without having given an order
	earlier   // held by a leader of an earlier release
)

// Guards against a wait for silent runners that adds up the grace of the leader that was lost, the lease of a runner and the
// time until somebody took over; and against one that is too short where a later heartbeat of that leader may count.
func TestWaitForSilentRunnersCountsFromTheLastHeartbeat(t *testing.T) {
	timing := Timing{RunnerLease: 7 * time.Second, HeartbeatTimeout: 1600 * time.Millisecond}
	whole, lease := timing.afterHeartbeat(), slowed(timing.RunnerLease)
	for _, scenario := range []struct {
		name     string
		lease    leaseState
		liveness func(version int64, now time.Time) fakeLiveness
		chained  time.Duration // until which leaders before the previous one may count, from now
		want     time.Duration
	}{
		{"its last heartbeat is known", held, func(version int64, now time.Time) fakeLiveness {
			return fakeLiveness{known: true, version: version, changedAt: now.Add(-3 * time.Second)}
		}, 0, whole - 3*time.Second},
		{"it was so long ago that nothing is in progress", held, func(version int64, now time.Time) fakeLiveness {
			return fakeLiveness{known: true, version: version, changedAt: now.Add(-time.Minute)}
		}, 0, 0},
		{"the store has a later heartbeat", held, func(version int64, now time.Time) fakeLiveness {
			return fakeLiveness{known: true, version: version - 1, changedAt: now.Add(-3 * time.Second)}
		}, 0, whole},
		{"no heartbeat is known", held, func(int64, time.Time) fakeLiveness { return fakeLiveness{} }, 0, whole},
		{"its daemon has restarted", held, func(int64, time.Time) fakeLiveness { return fakeLiveness{restarted: true} }, 0, lease},
		{"it released the service", released, func(int64, time.Time) fakeLiveness { return fakeLiveness{} }, 0, lease},
		{"it is of an earlier release", earlier, func(version int64, now time.Time) fakeLiveness {
			return fakeLiveness{known: true, version: version, changedAt: now.Add(-3 * time.Second)}
		}, 0, earlierGrace + lease},
		{"it was abandoned before any order", abandoned, func(int64, time.Time) fakeLiveness { return fakeLiveness{} }, 0, 0},
		{"it was abandoned, a leader before it counts", abandoned, func(int64, time.Time) fakeLiveness { return fakeLiveness{} }, 5 * time.Second, 5 * time.Second},
		{"a leader before it counts for longer", held, func(version int64, now time.Time) fakeLiveness {
			return fakeLiveness{known: true, version: version, changedAt: now.Add(-5 * time.Second)}
		}, 7 * time.Second, 7 * time.Second},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			store := newRefusingStore(t, "nothing", http.StatusBadRequest)
			stamp, err := store.Commit(t.Context(), platform.Tx{Puts: []platform.Row{{RowKey: platform.RowKey{Table: member.Table, Partition: "old", Key: "old"}}}})
			require.NoError(t, err)
			previous, err := encode(LeaseRow{Holder: "old", Boot: "1", Term: 3, Released: scenario.lease == released || scenario.lease == abandoned, Idle: scenario.lease == abandoned, Capped: scenario.lease != earlier, InheritedUntil: stamp.Now + scenario.chained})
			require.NoError(t, err)
			_, err = store.Commit(t.Context(), platform.Tx{Puts: []platform.Row{{RowKey: rowKey(tableLease, "s", keyLease), Value: previous}}})
			require.NoError(t, err)

			got, err := Acquire(t.Context(), store, "s", Incarnation{"new", "1"}, timing, time.Now, scenario.liveness(stamp.Version, time.Now()))
			require.NoError(t, err)
			require.InDelta(t, scenario.want.Seconds(), got.InheritedTTL.Seconds(), 0.4)
			require.Equal(t, 4, got.Row.Term)
		})
	}
}

// Guards against a leader that gives orders, or leases to runners, for longer than the next leader waits for.
func TestOrdersAndLeasesEndWithTheGraceOfTheLastConfirmedHeartbeat(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	begun := now
	heartbeat := member.HeartbeatState{Acked: now, Epoch: 1}
	const timeout = 1600 * time.Millisecond
	l := New(Lease{Service: "s", AcquiredAt: now, HeartbeatEpoch: 1}, sched.LeaseConfig{TTL: 45 * time.Second}, Deps{
		Log: newStoringLeader(nil).Log, OnViolation: func(error) {}, Now: func() time.Time { return now },
		HeartbeatTimeout: timeout, Heartbeat: func() member.HeartbeatState { return heartbeat },
	})
	end := begun.Add(timeout + LeaseGrace)
	l.mu.Lock()
	require.Equal(t, end, l.ordersEnd())
	l.mu.Unlock()
	require.True(t, l.mayOrder(end.Add(-time.Millisecond)))

	now = begun.Add(4 * time.Second)
	heartbeat = member.HeartbeatState{Acked: now, Epoch: 2} // after a gap in which another leader may have taken over
	require.False(t, l.mayOrder(end), "before the store has confirmed the lease")

	l.epoch = 2 // a commit has confirmed it
	require.True(t, l.mayOrder(end))
	require.False(t, l.mayOrder(now.Add(timeout+LeaseGrace)))
}
