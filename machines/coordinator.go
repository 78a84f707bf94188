package machines

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/claims"
	"gypsumlead/clock"
	"gypsumlead/platform"
	"gypsumlead/sleep"
)

// Times and bounds of the master.
const (
	masterEvery = 100 * time.Millisecond
	reportAge   = 600 * time.Millisecond // an older report says nothing any more
	orderLimit  = 2 * time.Second        // for an order to the service for machines
	orderGap    = 500 * time.Millisecond // between two orders for the same machine
	comeSlack   = 3 * time.Second        // beyond the time of a move, before a machine that hasn't come counts as lost
	busyPause   = time.Second            // before a machine that was busy is ordered again
	missing     = 3 * time.Second        // a machine that isn't in the list for so long has left
	backSlack   = 100 * time.Millisecond // beyond the maintenance, before a machine that is up counts as back
	atOnce      = 16                     // orders that go out together
)

// CoordinatorDeps are what the master works with.
type CoordinatorDeps struct {
	Log                 *zap.Logger
	Now                 clock.Clock
	Claims              *claims.Registry
	Waves               *WaveTracker
	Machines            *platform.MachineClient
	Name                string // of this daemon
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
	OrderRate           float64 // orders a second that the service for machines takes
	RequestedWaves      func() []platform.Wave
	SparePool           func() string
	Held                func() bool // whether this daemon is the master now
}

// Coordinator gives all orders for machines while this daemon is the one to do so.
type Coordinator struct {
	CoordinatorDeps
	mu      sync.Mutex
	reports map[string]report
	count   int64 // of moving, for others to read
	reply   Reply
	// what follows is used by Run alone
	moving  map[string]move
	downs   map[string]down
	absent  map[string]time.Time
	refused map[string]time.Time // machines that were busy, by when to try again
	wrong   map[string]struct{}  // machines that don't fit into other pools
}

// report is a pool's newest report and when it came.
type report struct {
	Report
	at time.Time
}

// NewCoordinator returns the master's part; Run works.
func NewCoordinator(m CoordinatorDeps) *Coordinator {
	return &Coordinator{
		CoordinatorDeps: m,
		reports:         map[string]report{},
		moving:          map[string]move{},
		downs:           map[string]down{},
		absent:          map[string]time.Time{},
		refused:         map[string]time.Time{},
		wrong:           map[string]struct{}{},
	}
}

// HandleReport takes in a pool's report and returns what its daemon has to know.
func (m *Coordinator) HandleReport(r Report) Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[r.Service] = report{r, m.Now()}
	return m.reply
}

// setReply notes what the pools are told.
func (m *Coordinator) setReply(r Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reply = r
}

// looked tells whether the machines have been looked at since this daemon is the master.
func (m *Coordinator) looked() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reply.Known
}

// fresh returns the reports that still say something.
func (m *Coordinator) fresh(now time.Time) []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Report
	for _, r := range m.reports {
		if now.Sub(r.at) < reportAge {
			list = append(list, r.Report)
		}
	}
	return list
}

// Run gives orders until ctx ends.
func (m *Coordinator) Run(ctx context.Context) error {
	sleep.Every(ctx, masterEvery, func() {
		if m.Held() {
			m.step(ctx)
			return
		}
		clear(m.moving)
		clear(m.downs)
		m.setReply(Reply{})
	})
	return nil
}

// Moving returns how many machines are on their way to another pool.
func (m *Coordinator) Moving() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count
}

// step gives the orders that are due.
func (m *Coordinator) step(ctx context.Context) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.count = int64(len(m.moving))
	}()
	now := m.Now()
	reports := m.fresh(now)
	if !m.due(reports) {
		return
	}
	list, listed, ok := m.Claims.List(ctx)
	if !ok {
		return
	}
	for _, w := range m.RequestedWaves() {
		if row, _ := m.Waves.get(w.Number); !row.Complete {
			m.wave(ctx, now, w, list, listed, reports)
		}
	}
	if m.SparePool() != "" {
		m.moves(ctx, now, list, reports)
	}
}

// due tells whether there is anything to look after, so that the list needn't be read without need.
func (m *Coordinator) due(reports []Report) bool {
	if len(m.moving) > 0 || (len(reports) > 0 && m.SparePool() != "" && !m.looked()) {
		return true
	}
	for _, r := range reports {
		if len(r.Offers) > 0 || (m.SparePool() != "" && len(r.Machines) < r.Want) {
			return true
		}
	}
	for _, w := range m.RequestedWaves() {
		if row, _ := m.Waves.get(w.Number); !row.Complete {
			return true
		}
	}
	return false
}

// busy notes that a machine can't be ordered for a while.
func (m *Coordinator) busy(machine string, now time.Time) {
	m.refused[machine] = now.Add(busyPause)
}

// free tells whether a machine may be ordered now.
func (m *Coordinator) free(machine string, now time.Time) bool {
	return m.Claims.CanClaim(machine) && !now.Before(m.refused[machine])
}
