package home

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/work"
)

var seeds = flag.Uint64("seeds", 40, "number of seeds that TestNoJobIsStoredByTwoServices runs")

var storeAddr = netip.MustParseAddrPort("10.0.0.2:80")

// site is a store with several daemons, on virtual time.
type site struct {
	store   *standin.Store
	clients []*platform.Store
}

// onSite runs a test with a number of daemons.
func onSite(t *testing.T, daemons int, seed uint64, test func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{store: standin.NewStore(rand.New(rand.NewPCG(seed, 1)))}
		network := standin.NewNetwork()
		server, err := network.Serve(storeAddr, s.store)
		require.NoError(t, err)
		for i := range daemons {
			s.clients = append(s.clients, platform.NewStore(storeAddr, network.Dialer(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)})), platform.NewMeter()))
		}
		defer func() {
			time.Sleep(30 * time.Second) // calls in progress end
			for _, client := range s.clients {
				client.Close()
			}
			_ = server.Close()
		}()
		test(t, s)
	})
}

// openGates returns the number of open gates of the queue.
func (s *site) openGates(services []string) int {
	open := 0
	for _, service := range services {
		if strings.Contains(string(s.store.Get(tableGate, service, "jobs.example/q/")), `"open":true`) {
			open++
		}
	}
	return open
}

// queueAt returns the queue as a version of the configuration sends it to a service.
func queueAt(service string, version int64) work.Queue {
	return work.Queue{Name: "q" + service, Service: service, Version: version, Path: "jobs.example/q/"}
}

func TestGateFollowsTheNewestConfiguration(t *testing.T) {
	onSite(t, 2, 1, func(t *testing.T, s *site) {
		ctx := t.Context()
		newDirectory := func() *Directory { return NewDirectory(s.clients[0], zap.NewNop()) }
		d, other := newDirectory(), NewDirectory(s.clients[1], zap.NewNop())
		first, err := d.Open(ctx, queueAt("a", 1))
		require.NoError(t, err)
		require.Empty(t, first.Former)
		again, err := other.Open(ctx, queueAt("a", 4))
		require.NoError(t, err)
		require.Equal(t, first, again, "a later configuration that sends the queue to the same service changes nothing")

		atB, err := other.Open(ctx, queueAt("b", 7))
		require.NoError(t, err)
		require.Equal(t, []string{"a"}, atB.Former)
		var moved *Moved
		_, err = newDirectory().Open(ctx, queueAt("a", 4))
		require.ErrorAs(t, err, &moved)
		require.EqualValues(t, 7, moved.Config)

		back, err := newDirectory().Open(ctx, queueAt("a", 10))
		require.NoError(t, err)
		require.Equal(t, []string{"b"}, back.Former)
		require.NotEqual(t, first.Version, back.Version, "what was admitted before the queue moved is not admitted now")
		_, err = newDirectory().Open(ctx, queueAt("b", 7))
		require.ErrorAs(t, err, &moved)

		atC, err := newDirectory().Open(ctx, queueAt("c", 13))
		require.NoError(t, err)
		require.Equal(t, []string{"a", "b"}, atC.Former)
		services, err := newDirectory().Services(ctx, "jobs.example/q/")
		require.NoError(t, err)
		require.Equal(t, []string{"c", "a", "b"}, services, "also for a daemon that started after the moves")
	})
}

// A queue that no job was stored for has no rows, and asking for it writes none.
func TestServicesOfAnUnknownQueue(t *testing.T) {
	onSite(t, 1, 1, func(t *testing.T, s *site) {
		services, err := NewDirectory(s.clients[0], zap.NewNop()).Services(t.Context(), "jobs.example/q/")
		require.NoError(t, err)
		require.Empty(t, services)
		require.Empty(t, s.store.Values())
	})
}

// A leader that takes over must not wait for each gate at the first job of its queue.
func TestLoadReadsTheOpenGatesOfAService(t *testing.T) {
	onSite(t, 1, 1, func(t *testing.T, s *site) {
		d := NewDirectory(s.clients[0], zap.NewNop())
		opened, err := d.Open(t.Context(), queueAt("a", 1))
		require.NoError(t, err)
		next := NewDirectory(s.clients[0], zap.NewNop())
		found, err := next.Load(t.Context(), "a", []work.Queue{queueAt("a", 1), {Name: "new", Service: "a", Path: "jobs.example/new/"}})
		require.NoError(t, err)
		require.True(t, found)
		known, ok := next.Known(queueAt("a", 1))
		require.True(t, ok)
		require.Equal(t, opened, known)
		_, ok = next.Known(work.Queue{Name: "new", Service: "a", Path: "jobs.example/new/"})
		require.False(t, ok)
	})
}

// A queue that has moved must not cost a read for each new job for good.
func TestFormerServiceWithoutJobsIsDropped(t *testing.T) {
	onSite(t, 1, 1, func(t *testing.T, s *site) {
		d := NewDirectory(s.clients[0], zap.NewNop())
		for version, service := range []string{"a", "b", "c"} {
			_, err := d.Open(t.Context(), queueAt(service, int64(version)))
			require.NoError(t, err)
		}
		gate, err := d.Open(t.Context(), queueAt("c", 2))
		require.NoError(t, err)
		require.Equal(t, []string{"a", "b"}, gate.Former)
		dropped, err := d.DropFormer(t.Context(), gate, "a")
		require.NoError(t, err)
		require.Equal(t, []string{"b"}, dropped.Former)
		again, err := NewDirectory(s.clients[0], zap.NewNop()).Open(t.Context(), queueAt("c", 2))
		require.NoError(t, err)
		require.Equal(t, dropped, again)
		services, err := d.Services(t.Context(), "jobs.example/q/")
		require.NoError(t, err)
		require.Equal(t, []string{"c", "b"}, services)
		_, err = d.DropFormer(t.Context(), gate, "b")
		require.Error(t, err, "by an earlier version of the gate")
	})
}

// Long paths have keys of their own within the store's limit.
func TestKeysOfLongPaths(t *testing.T) {
	long := "jobs.example/" + strings.Repeat("x", 300)
	require.LessOrEqual(t, len(keyOf(long+"a/")), 200)
	require.NotEqual(t, keyOf(long+"a/"), keyOf(long+"b/"))
	require.Equal(t, "jobs.example/q/", keyOf("jobs.example/q/"))
}

// placer stores jobs as leaders and daemons do that hand them off: through a gate, after a look at the former services.
type placer struct {
	directory *Directory
	client    *platform.Store
	config    int // version of the configuration that the daemon goes by
}

// place tries once to store a job where the daemon's configuration sends it. The attempt may end at any step, as with a daemon that is
// killed.
func (p *placer) place(t *testing.T, id, service string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	gate, err := p.directory.Open(ctx, queueAt(service, int64(p.config)))
	if err != nil {
		return
	}
	gate = p.dropEmpty(ctx, gate)
	for _, former := range gate.Former {
		page, err := p.client.GetRow(ctx, platform.RowKey{Table: "job", Partition: former, Key: id})
		if err != nil || len(page.Rows) > 0 {
			return
		}
	}
	key := platform.RowKey{Table: "job", Partition: service, Key: id}
	_, err = p.client.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{RowKey: key}, gate.Condition()},
		Puts:       []platform.Row{{RowKey: key, Value: []byte(service)}},
	})
	if errors.As(err, new(*platform.Conflict)) {
		p.directory.Forget(gate)
	} else if err != nil {
		require.False(t, fault.Is(err, fault.Invalid), "%v", err)
	}
}

// dropEmpty drops the first former service that has no jobs, as leaders do from time to time.
func (p *placer) dropEmpty(ctx context.Context, gate Gate) Gate {
	for _, former := range gate.Former {
		page, err := p.client.ScanPartition(ctx, "job", former)
		if err != nil || len(page.Rows) > 0 {
			continue
		}
		if gate, err = p.directory.DropFormer(ctx, gate, former); err != nil {
			p.directory.Forget(gate)
		}
		break
	}
	return gate
}

// Guards against a job that is stored by two services: daemons with different versions of the configuration hand in the same jobs at
// the same time, again and again, while queues move there and back, answers are lost and writes are carried out late.
func TestNoJobIsStoredByTwoServices(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			onSite(t, 4, seed, func(t *testing.T, s *site) {
				rng := rand.New(rand.NewPCG(seed, 2))
				services := []string{"a", "b", "c"}
				var sentTo []string // by version of the configuration
				for range 12 {
					sentTo = append(sentTo, services[rng.IntN(len(services))])
				}
				faults := []standin.StoreFaults{
					{},
					{LostReplyRate: 0.3},
					{DelayedCommitRate: 0.3},
					{LostReplyRate: 0.2, DelayedCommitRate: 0.2, ExtraLatency: 60 * time.Millisecond},
				}
				s.store.SetFaults(faults[seed%4])
				var wg sync.WaitGroup
				for i, client := range s.clients {
					daemonRand := rand.New(rand.NewPCG(seed, uint64(10+i)))
					wg.Go(func() {
						p := &placer{directory: NewDirectory(client, zap.NewNop()), client: client}
						for n := range 40 {
							// Daemons learn of versions at different times, and may start again.
							p.config = max(p.config, min(len(sentTo)-1, (n+daemonRand.IntN(12)-6)/3))
							if daemonRand.IntN(8) == 0 {
								p.directory = NewDirectory(client, zap.NewNop())
							}
							timeout := 2 * time.Second
							if daemonRand.IntN(3) == 0 {
								timeout = time.Duration(1+daemonRand.IntN(80)) * time.Millisecond
							}
							p.place(t, fmt.Sprint("job", n/4), sentTo[p.config], timeout)
							time.Sleep(time.Duration(daemonRand.IntN(400)) * time.Millisecond)
						}
					})
				}
				ended := make(chan struct{})
				go func() {
					wg.Wait()
					close(ended)
				}()
				for running := true; running; time.Sleep(time.Millisecond) {
					require.LessOrEqual(t, s.openGates(services), 1)
					select {
					case <-ended:
						running = false
					default:
					}
				}
				s.store.SetFaults(standin.StoreFaults{})
				time.Sleep(10 * time.Second) // late writes are carried out
				require.LessOrEqual(t, s.openGates(services), 1)
				stored := 0
				for n := range 10 {
					holders := 0
					for _, service := range services {
						if s.store.Get("job", service, fmt.Sprint("job", n)) != nil {
							holders++
						}
					}
					require.LessOrEqual(t, holders, 1, "job%d", n)
					stored += holders
				}
				require.Positive(t, stored)
			})
		})
	}
}
