package machines

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/claims"
	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/watch"
)

// Addresses and times of the site.
var (
	storeAddr    = netip.MustParseAddrPort("10.0.0.1:80")
	machinesAddr = netip.MustParseAddrPort("10.0.0.2:80")
	firstAddr    = netip.MustParseAddr("10.0.1.1")
	secondAddr   = netip.MustParseAddr("10.0.1.2")
)

const (
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	machineLease    = 3 * time.Second
	orderDelay      = 2500 * time.Millisecond // more than the caller waits for an answer
	sparePool       = "spare"
)

// site is a store, a machine service and the coordinators of two daemons.
type site struct {
	net           *standin.Network
	store         *standin.Store
	machines      *standin.MachineService
	checker       *standin.Checker
	waves         []platform.Wave
	first, second *testDaemon
	mu            sync.Mutex
	throttled     map[string]struct{} // lease holders whose orders are refused as too many
	pause         atomic.Int64        // how far the daemons' clocks are ahead after the pauses so far
	onList        func()              // called before the list of machines is answered; may be nil
	delayed       string              // a machine whose orders get no answer and are executed after orderDelay
}

// testDaemon is one daemon's coordinator.
type testDaemon struct {
	*Coordinator
	held  atomic.Bool
	store *platform.Store
}

// newSite starts a site, in a synctest bubble, until the test ends.
func newSite(t *testing.T, waves ...platform.Wave) *site {
	t.Helper()
	s := &site{
		net: standin.NewNetwork(), store: standin.NewStore(rand.New(rand.NewPCG(1, 1))), checker: standin.NewChecker(),
		waves: waves, throttled: map[string]struct{}{},
	}
	s.machines = standin.NewMachineService(sparePool, moveTime, maintenanceTime, machineLease, s.checker,
		func(*standin.Runner) {}, func(*standin.Machine, int) *standin.Runner { return nil })
	for _, wave := range waves {
		s.machines.AllowWave(wave.Number, wave.Machines, int(wave.MaxDown))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var servers []*http.Server
	for addr, handler := range map[netip.AddrPort]http.Handler{storeAddr: s.store, machinesAddr: http.HandlerFunc(s.serveMachines)} {
		l, err := s.net.Listen(addr)
		require.NoError(t, err)
		server := &http.Server{Handler: handler}
		wg.Go(func() { _ = server.Serve(l) }) // it returns when the server is closed
		servers = append(servers, server)
	}
	s.first = s.startDaemon(ctx, &wg, "first", firstAddr)
	s.second = s.startDaemon(ctx, &wg, "second", secondAddr)
	t.Cleanup(func() {
		cancel()
		for _, d := range []*testDaemon{s.first, s.second} {
			d.store.Close()
			d.Machines.Close()
		}
		for _, server := range servers {
			_ = server.Close() // there are no requests to finish
		}
		wg.Wait()
		time.Sleep(time.Second) // for the handlers in progress
	})
	return s
}

// startDaemon runs a daemon's coordinator until ctx ends.
func (s *site) startDaemon(ctx context.Context, wg *sync.WaitGroup, name string, addr netip.Addr) *testDaemon {
	dial := platform.DialFunc(s.net.Dialer(addr))
	d := &testDaemon{store: platform.NewStore(storeAddr, dial, platform.NewMeter())}
	machineClient := platform.NewMachineClient(machinesAddr, dial, platform.NewMeter())
	interest := watch.NewInterest()
	interest.Set(watch.Immediate)
	now := func() time.Time { return time.Now().Add(time.Duration(s.pause.Load())) }
	registry := claims.New(claims.Deps{
		Store: d.store, Machines: machineClient, Log: zap.NewNop(), Name: name, Boot: name, Now: now, TTL: machineLease, Interest: interest,
	})
	tracker := NewWaveTracker(d.store, zap.NewNop(), interest)
	d.Coordinator = NewCoordinator(CoordinatorDeps{
		Log: zap.NewNop(), Now: now, Claims: registry, Waves: tracker, Machines: machineClient,
		MoveDuration: moveTime, MaintenanceDuration: maintenanceTime, OrderRate: 10,
		RequestedWaves: func() []platform.Wave { return s.waves },
		SparePool:      func() string { return sparePool },
		Held:           d.held.Load,
	})
	for _, run := range []func(context.Context) error{registry.Watch, tracker.Watch, d.Run} {
		wg.Go(func() { _ = run(ctx) }) // it returns when ctx ends
	}
	return d
}

// serveMachines serves the machine service, which refuses the orders of throttled daemons.
func (s *site) serveMachines(w http.ResponseWriter, r *http.Request) {
	if s.onList != nil && r.Method == http.MethodGet {
		s.onList()
	}
	s.mu.Lock()
	_, throttled := s.throttled[r.Header.Get("X-Gypsumlead-Lease-Holder")]
	s.mu.Unlock()
	if throttled {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	if s.delayed != "" && bytes.Contains(body, []byte(s.delayed)) {
		time.Sleep(orderDelay)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.machines.ServeHTTP(w, r)
}

// throttle sets whether the machine service refuses a daemon's orders.
func (s *site) throttle(holder string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.throttled[holder] = struct{}{}
	} else {
		delete(s.throttled, holder)
	}
}

// handOver lets the second daemon coordinate while the store turns the first one away.
func (s *site) handOver() {
	s.store.SetFaults(standin.StoreFaults{RejectFrom: map[netip.Addr]struct{}{firstAddr: {}}})
	s.second.held.Store(true)
}

// report sends a coordinator the reports of pools for a time.
func (d *testDaemon) report(duration time.Duration, reports ...Report) {
	for range duration / reportInterval {
		for _, r := range reports {
			d.HandleReport(r)
		}
		time.Sleep(reportInterval)
	}
}

// A daemon that the store turned away sent an order for maintenance again after another daemon had claimed the machine.
func TestMaintenanceIsNotOrderedAgainUnderAnExpiredClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, platform.Wave{Number: 1, Machines: []string{"m0"}, MaxDown: 1, TimeLimit: time.Minute})
		s.machines.Add(&standin.Machine{Name: "m0", Pool: sparePool})
		s.throttle("first", true)
		s.first.held.Store(true)
		time.Sleep(time.Second)
		s.handOver()
		time.Sleep(8 * time.Second)
		require.Equal(t, 1, s.machines.MaintenanceCount("m0"), "by the second daemon")
		s.throttle("first", false)
		time.Sleep(3 * time.Second)
		require.Empty(t, s.checker.Violations)
	})
}

// A daemon that the store turned away moved a machine shortly before another daemon did.
func TestMoveIsNotOrderedAgainUnderAnExpiredClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.machines.Add(&standin.Machine{Name: "m0", Pool: sparePool})
		s.throttle("first", true)
		s.first.held.Store(true)
		s.first.report(time.Second, Report{Service: "s0", Want: 1})
		s.handOver()
		wants := []Report{{Service: "s0", Offers: []string{"m0"}}, {Service: "s1", Want: 1}}
		s.second.report(2500*time.Millisecond, wants...)
		s.throttle("first", false)
		s.second.report(6*time.Second, wants...)
		require.Empty(t, s.checker.Violations)
		require.Equal(t, []string{"m0"}, s.machines.Names("s1"))
	})
}

// A permission that is used up while its machine service is busy must be renewed, or the order is never given.
func TestOrderIsGivenUnderANewClaimOnceTheOldOneHasExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, platform.Wave{Number: 1, Machines: []string{"m0"}, MaxDown: 1, TimeLimit: time.Minute})
		s.machines.Add(&standin.Machine{Name: "m0", Pool: sparePool})
		s.machines.Add(&standin.Machine{Name: "m1", Pool: sparePool})
		s.throttle("first", true)
		s.first.held.Store(true)
		s.first.report(3*time.Second, Report{Service: "s0", Want: 1})
		s.throttle("first", false)
		s.first.report(2*time.Second, Report{Service: "s0", Want: 1})
		require.Equal(t, 1, s.machines.MaintenanceCount("m0"))
		require.Equal(t, []string{"m1"}, s.machines.Names("s0"))
		require.Empty(t, s.checker.Violations)
	})
}

// A coordinator that lost and regained its role took a machine for gone at once, and its wave for completed.
func TestAbsenceBeforeARoleWasLostDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, platform.Wave{Number: 1, Machines: []string{"m0"}, MaxDown: 1, TimeLimit: time.Minute})
		s.first.held.Store(true)
		time.Sleep(time.Second)
		s.first.held.Store(false)
		time.Sleep(5 * time.Second)
		s.first.held.Store(true)
		time.Sleep(time.Second)
		s.machines.Add(&standin.Machine{Name: "m0", Pool: sparePool})
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, s.machines.MaintenanceCount("m0"))
		row, _ := s.first.Waves.get(1)
		require.True(t, row.Complete)
	})
}

// A machine whose maintenance was over before another daemon could claim it stayed claimed for good, and its wave open.
func TestWaveGoesOnAfterAHandOverDuringMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, platform.Wave{Number: 1, Machines: []string{"m0"}, MaxDown: 1, TimeLimit: time.Minute})
		s.machines.Add(&standin.Machine{Name: "m0", Pool: "s0"})
		s.first.held.Store(true)
		ready := Report{Service: "s0", Ready: []ReadyMachine{{Machine: "m0", Wave: 1}}}
		s.first.report(reportInterval, ready)
		time.Sleep(time.Second)
		require.Equal(t, 1, s.machines.MaintenanceCount("m0"))
		s.handOver()
		for range 100 {
			row, _ := s.second.Waves.get(1)
			report := Report{Service: "s0"}
			if row.Machines["m0"] == "" { // a claimed machine is not reported, see PoolManager.evacuateForWave
				report = ready
			}
			s.second.report(reportInterval, report)
		}
		row, _ := s.second.Waves.get(1)
		require.True(t, row.Complete)
		require.Equal(t, 1, s.machines.MaintenanceCount("m0"))
		require.Empty(t, s.checker.Violations)
	})
}

// A machine must count as down for as long as an unanswered order may still take it down.
func TestClaimIsNotUndoneWhileAnOrderMayBeExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, platform.Wave{Number: 1, Machines: []string{"m0", "m1"}, MaxDown: 1, TimeLimit: time.Minute})
		s.delayed = "m0"
		s.machines.Add(&standin.Machine{Name: "m0", Pool: "s0"})
		s.machines.Add(&standin.Machine{Name: "m1", Pool: "s0"})
		s.first.held.Store(true)
		s.first.report(reportInterval, Report{Service: "s0", Ready: []ReadyMachine{{Machine: "m0", Wave: 1}}})
		s.first.report(12*time.Second, Report{Service: "s0", Ready: []ReadyMachine{{Machine: "m1", Wave: 1}}})
		require.Equal(t, 1, s.machines.MaintenanceCount("m0"))
		require.Equal(t, 1, s.machines.MaintenanceCount("m1"))
		require.Empty(t, s.checker.Violations)
	})
}

// A coordinator that was paused after it had read that a machine was empty took it down seconds later.
func TestPausedCoordinatorDoesNotActOnWhatItKnewBefore(t *testing.T) {
	for name, tc := range map[string]struct {
		pause            time.Duration
		maintenances, to int
	}{
		"not paused": {0, 1, 1},
		"paused":     {4 * time.Second, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, platform.Wave{Number: 1, Machines: []string{"m0"}, MaxDown: 1, TimeLimit: time.Minute})
				s.machines.Add(&standin.Machine{Name: "m0", Pool: "s0"})
				s.machines.Add(&standin.Machine{Name: "m1", Pool: "s0"})
				time.Sleep(time.Second) // the claims have been read
				s.onList = func() { s.pause.Add(int64(tc.pause)) }
				s.first.HandleReport(Report{Service: "s0", Ready: []ReadyMachine{{Machine: "m0", Wave: 1}}, Offers: []string{"m1"}})
				s.first.HandleReport(Report{Service: "s1", Want: 1})
				s.first.held.Store(true)
				time.Sleep(2 * time.Second)
				require.Equal(t, tc.maintenances, s.machines.MaintenanceCount("m0"))
				require.Len(t, s.machines.Names("s1"), tc.to)
			})
		})
	}
}

// A leader that had a successor offered machines on which that one already ran tasks, and they were moved.
func TestOffersOfALeaderWithASuccessorAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.machines.Add(&standin.Machine{Name: "m0", Pool: "s0"})
		s.first.held.Store(true)
		successor := Report{Service: "s0", Term: 2, Machines: []string{"m0"}, Want: 1}
		s.first.report(time.Second, successor)
		former := Report{Service: "s0", Term: 1, Offers: []string{"m0"}}
		s.first.report(3*time.Second, successor, former, Report{Service: "s1", Term: 1, Want: 1})
		require.Equal(t, []string{"m0"}, s.machines.Names("s0"))

		s.first.report(4*time.Second, Report{Service: "s0", Term: 2, Offers: []string{"m0"}}, former, Report{Service: "s1", Term: 1, Want: 1})
		require.Equal(t, []string{"m0"}, s.machines.Names("s1"), "what the successor offers is moved")
		require.Empty(t, s.checker.Violations)
	})
}
