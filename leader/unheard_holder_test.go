package leader

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/member"
	"gypsumlead/platform"
	"gypsumlead/standin"
)

// fleet is a store with daemons that send heartbeats, on virtual time.
type fleet struct {
	store   *standin.Store
	network *standin.Network
	timing  Timing
	members []*fleetMember
}

// fleetMember is one daemon of a fleet.
type fleetMember struct {
	client  *platform.Store
	members *member.Members
	self    Incarnation
	stop    context.CancelFunc
}

var fleetStore = netip.MustParseAddrPort("10.0.0.2:80")

// onFleet runs a test with a fleet without daemons.
func onFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			store: standin.NewStore(rand.New(rand.NewPCG(1, 1))), network: standin.NewNetwork(),
			timing: Timing{RunnerLease: 7 * time.Second, HeartbeatTimeout: member.HeartbeatTimeout},
		}
		server, err := f.network.Serve(fleetStore, f.store)
		require.NoError(t, err)
		defer func() {
			for _, m := range f.members {
				m.stop()
			}
			time.Sleep(10 * time.Second) // calls in progress end
			for _, m := range f.members {
				m.client.Close()
			}
			_ = server.Close()
		}()
		test(t, f)
	})
}

// start starts a daemon with the given host number.
func (f *fleet) start(name, boot string, host byte) *fleetMember {
	client := platform.NewStore(fleetStore, f.network.Dialer(netip.AddrFrom4([4]byte{10, 0, 1, host})), platform.NewMeter())
	node := member.Node{Name: name, Boot: boot, Weight: 1}
	m := &fleetMember{client: client, self: Incarnation{name, boot}}
	m.members = member.New(client, node, zap.NewNop(), time.Now, func() int { return 6 }, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = m.members.RunHeartbeat(ctx) }()
	go func() { _ = m.members.Watch(ctx) }()
	m.stop = cancel
	f.members = append(f.members, m)
	return m
}

// acquire tries once to acquire the lease of the service s.
func (f *fleet) acquire(ctx context.Context, m *fleetMember) (*Lease, error) {
	return Acquire(ctx, m.client, "s", m.self, f.timing, time.Now, m.members)
}

// Guards against a daemon that takes over from a live leader because it has started during an outage of the store, or has lost
// the history of changes, and so has not heard of it.
func TestDaemonThatHasNotHeardOfALiveLeaderDoesNotTakeOver(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		trouble func(f *fleet) *fleetMember // starts the daemon that tries to take over
	}{
		{"starts during an outage", func(f *fleet) *fleetMember {
			f.store.SetFaults(standin.StoreFaults{Down: true})
			m := f.start("new", "1", 2)
			time.Sleep(1300 * time.Millisecond)
			f.store.SetFaults(standin.StoreFaults{})
			return m
		}},
		{"starts while the store is silent", func(f *fleet) *fleetMember {
			f.store.SetFaults(standin.StoreFaults{Unresponsive: true})
			m := f.start("new", "1", 2)
			time.Sleep(1300 * time.Millisecond)
			f.store.SetFaults(standin.StoreFaults{})
			return m
		}},
		{"starts while the store is slow", func(f *fleet) *fleetMember {
			f.store.SetFaults(standin.StoreFaults{ExtraLatency: 350 * time.Millisecond})
			return f.start("new", "1", 2)
		}},
		{"starts without trouble", func(f *fleet) *fleetMember { return f.start("new", "1", 2) }},
		{"knows the leader's former incarnation only", func(f *fleet) *fleetMember {
			m := f.start("new", "1", 2)
			m.members.Observe(nodeRow("old", "0", 1))
			return m
		}},
		{"the store forgets its history again and again", func(f *fleet) *fleetMember {
			m := f.start("new", "1", 2)
			go func() {
				for range 100 {
					time.Sleep(60 * time.Millisecond)
					f.store.Compact()
				}
			}()
			return m
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			onFleet(t, func(t *testing.T, f *fleet) {
				old := f.start("old", "1", 1)
				time.Sleep(2 * time.Second)
				_, err := f.acquire(t.Context(), old)
				require.NoError(t, err)

				successor := scenario.trouble(f)
				for range 60 {
					_, err := f.acquire(t.Context(), successor)
					require.Error(t, err, "the leader is live")
					time.Sleep(50 * time.Millisecond)
				}
				f.store.SetFaults(standin.StoreFaults{})
				old.stop()
				stopped := time.Now()
				for {
					if _, err = f.acquire(t.Context(), successor); err == nil {
						break
					}
					require.True(t, fault.Is(err, fault.Conflict), "%v", err)
					require.Less(t, time.Since(stopped), 2*member.HeartbeatTimeout)
					time.Sleep(50 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against a service that stays without a leader for longer than a heartbeat's timeout after all daemons were lost, since
// the next ones have not heard of the last leader.
func TestDaemonsThatStartAfterTheLeaderIsLostTakeOverSoon(t *testing.T) {
	onFleet(t, func(t *testing.T, f *fleet) {
		old := f.start("old", "1", 1)
		time.Sleep(2 * time.Second)
		_, err := f.acquire(t.Context(), old)
		require.NoError(t, err)
		old.stop()
		time.Sleep(3 * time.Second)

		started := time.Now()
		successor := f.start("new", "1", 2)
		for {
			if _, err = f.acquire(t.Context(), successor); err == nil {
				break
			}
			require.Less(t, time.Since(started), member.HeartbeatTimeout+member.HeartbeatInterval, "its own heartbeats show that the store answers")
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// nodeRow returns the row of a daemon as the store has it.
func nodeRow(name, boot string, version int64) platform.Row {
	value, err := encode(member.Node{Name: name, Boot: boot})
	if err != nil {
		panic(err) // names always encode
	}
	return platform.Row{RowKey: member.RowKey(name), Value: value, Version: version}
}
