package machines

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/claims"
	"gypsumlead/fault"
	"gypsumlead/maintenance"
	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/watch"
)

// lossyStore is the stand-in's store. It doesn't answer the transactions that take effect with the given numbers.
type lossyStore struct {
	inner   *standin.Store
	lost    []int
	applied int
}

func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.URL.Path, "rows-tx") {
		s.inner.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	s.inner.ServeHTTP(answer, r)
	if answer.Code == http.StatusOK {
		s.applied++
		if slices.Contains(s.lost, s.applied) {
			panic(http.ErrAbortHandler) // closes the connection
		}
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // an error means that the caller has disconnected
}

func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// fakeMachine is a machine service with the one machine m1, whose maintenance takes a second.
type fakeMachine struct {
	mu         sync.Mutex
	now        time.Time
	downUntil  time.Time
	maintained map[int64]int // by wave
}

func (m *fakeMachine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Wave int64 `json:"Wave"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.maintained[order.Wave] == 0 {
		if m.now.Before(m.downUntil) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"Reason":"busy"}`)) // an error means that the caller has disconnected
			return
		}
		m.maintained[order.Wave]++
		m.downUntil = m.now.Add(time.Second)
	}
	_, _ = w.Write([]byte("{}")) // an error means that the caller has disconnected
}

func (m *fakeMachine) time() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// list returns the list of machines and when it was read, and then lets 300 ms pass.
func (m *fakeMachine) list() (map[string]platform.Machine, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	machine := platform.Machine{Name: "m1", Pool: "spare", State: platform.MachineUp}
	if m.now.Before(m.downUntil) {
		machine.State = platform.MachineMaintenance
	}
	listedAt := m.now
	m.now = m.now.Add(300 * time.Millisecond)
	return map[string]platform.Machine{"m1": machine}, listedAt
}

func newTestCoordinator(t *testing.T, m *fakeMachine, lost ...int) *Coordinator {
	store := platform.NewStore(serve(t, &lossyStore{inner: standin.NewStore(rand.New(rand.NewPCG(1, 1))), lost: lost}), platform.DialTCP, platform.NewMeter())
	t.Cleanup(store.Close)
	client := platform.NewMachineClient(serve(t, m), platform.DialTCP, platform.NewMeter())
	t.Cleanup(client.Close)
	registry := claims.New(claims.Deps{Store: store, Machines: client, Log: zap.NewNop(), Now: m.time, Name: "a", Boot: "x"})
	ctx, cancel := context.WithCancel(t.Context())
	watched := make(chan error)
	go func() { watched <- registry.Watch(ctx) }()
	require.Eventually(t, func() bool { return registry.CanClaim("m1") }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-watched)
	return NewCoordinator(CoordinatorDeps{
		Log: zap.NewNop(), Now: m.time, Claims: registry, Machines: client,
		Waves: NewWaveTracker(store, zap.NewNop(), watch.NewInterest()), MaintenanceDuration: time.Second, SparePool: func() string { return "spare" },
	})
}

// advanceAll advances waves with the machine m1 until all are completed.
func advanceAll(t *testing.T, c *Coordinator, m *fakeMachine, waves ...int64) {
	for range 100 {
		open := 0
		machines, listedAt := m.list()
		for _, number := range waves {
			if row, _ := c.Waves.get(number); !row.Complete {
				open++
				c.decidedAt = m.time()
				wave := platform.Wave{Number: number, Machines: []string{"m1"}, MaxDown: 1}
				c.advanceWave(t.Context(), m.time(), wave, machines, listedAt, nil, c.claimable(m.time(), wave, machines, nil))
			}
		}
		if open == 0 {
			return
		}
	}
	require.Fail(t, "the waves are not completed")
}

func TestWaveIsNotCompletedByTheMaintenanceOfAnotherWave(t *testing.T) {
	want := map[int64]int{1: 1, 2: 1}
	t.Run("at the same time, and the answer to the end of the first is lost", func(t *testing.T) {
		m := &fakeMachine{now: time.Now(), maintained: map[int64]int{}}
		advanceAll(t, newTestCoordinator(t, m, 3), m, 1, 2)
		require.Equal(t, want, m.maintained)
	})
	t.Run("earlier, and the answers to its end and to the claim of the second are lost", func(t *testing.T) {
		m := &fakeMachine{now: time.Now(), maintained: map[int64]int{}}
		c := newTestCoordinator(t, m, 2, 4)
		advanceAll(t, c, m, 1)
		advanceAll(t, c, m, 2)
		require.Equal(t, want, m.maintained)
	})
}

// The coordinator reads the list twice, with a minute between in which it was not the coordinator.
func TestMachineThatNobodyLookedForIsNotGone(t *testing.T) {
	m := &fakeMachine{now: time.Now(), maintained: map[int64]int{}}
	c := newTestCoordinator(t, m)
	wave := platform.Wave{Number: 1, Machines: []string{"m1"}, MaxDown: 1}
	for range 2 {
		now := m.time()
		c.decidedAt = now
		c.advanceWave(t.Context(), now, wave, map[string]platform.Machine{}, now, nil, nil)
		row, _ := c.Waves.get(1)
		require.False(t, row.Complete)
		m.now = now.Add(time.Minute)
	}
	advanceAll(t, c, m, 1)
	require.Equal(t, map[int64]int{1: 1}, m.maintained)
}

func TestMachineThatIsNotListedForSecondsIsGone(t *testing.T) {
	m := &fakeMachine{now: time.Now(), maintained: map[int64]int{}}
	c := newTestCoordinator(t, m)
	wave := platform.Wave{Number: 1, Machines: []string{"m1"}, MaxDown: 1}
	start := m.now
	for row := (maintenance.Row{}); !row.Complete; row, _ = c.Waves.get(1) {
		require.LessOrEqual(t, m.now.Sub(start), missingTimeout+time.Second)
		c.decidedAt = m.now
		c.advanceWave(t.Context(), m.now, wave, map[string]platform.Machine{}, m.now, nil, nil)
		m.now = m.now.Add(time.Second)
	}
	require.Equal(t, missingTimeout+2*time.Second, m.now.Sub(start))
}

// newSyncedClaims returns a registry that has read the claims of an empty store.
func newSyncedClaims(t *testing.T) *claims.Registry {
	t.Helper()
	server := httptest.NewServer(standin.NewStore(rand.New(rand.NewPCG(1, 1))))
	t.Cleanup(server.Close)
	store := platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), platform.DialTCP, platform.NewMeter())
	t.Cleanup(store.Close)
	registry := claims.New(claims.Deps{Store: store, Log: zap.NewNop(), Name: "e1", Boot: "b", Now: time.Now, Interest: watch.NewInterest()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = registry.Watch(ctx) // it ends with ctx
	}()
	t.Cleanup(func() { cancel(); <-done })
	require.Eventually(t, func() bool { return registry.CanClaim("m0") }, 5*time.Second, 10*time.Millisecond)
	return registry
}

// A maintenance order without an answer was repeated although the machine's new leader had begun to use it again.
func TestMaintenanceIsRepeatedOnlyOnAnEmptyMachine(t *testing.T) {
	registry := newSyncedClaims(t)
	for _, tc := range []struct {
		name     string
		state    platform.MachineState
		empty    bool
		repeated bool
	}{
		{"empty", platform.MachineUp, true, true},
		{"on its way", platform.MachineMaintenance, false, true},
		{"in use", platform.MachineUp, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			calls := 0
			dial := func(context.Context, string, string) (net.Conn, error) {
				calls++
				return nil, fault.New(fault.Unavailable, "no machine service in this test")
			}
			c := NewCoordinator(CoordinatorDeps{
				Log: zap.NewNop(), Now: time.Now, Claims: registry, Waves: NewWaveTracker(nil, zap.NewNop(), watch.NewInterest()),
				Machines: platform.NewMachineClient(netip.MustParseAddrPort("10.0.0.1:80"), dial, platform.NewMeter()),
			})
			now := time.Now()
			c.Waves.set(1, maintenance.Row{}.With("m0", maintenance.Claimed), 1)
			permit := platform.OrderPermit{Token: 7, Valid: func() bool { return true }}
			c.inMaintenance[waveMachine{1, "m0"}] = takenDown{orderedAt: now.Add(-time.Second), permit: permit}
			c.continueMaintenance(t.Context(), now, platform.Wave{Number: 1}, platform.Machine{Name: "m0", State: tc.state}, now, tc.empty)
			require.Equal(t, tc.repeated, calls > 0)
		})
	}
}
