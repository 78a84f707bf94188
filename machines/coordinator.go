package machines

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/claims"
	"gypsumlead/clock"
	"gypsumlead/platform"
	"gypsumlead/sleep"
)

// Intervals, timeouts and limits of the coordinator.
const (
	coordinateInterval  = 100 * time.Millisecond
	maxReportAge        = 600 * time.Millisecond // older reports are ignored
	orderTimeout        = 2 * time.Second        // for an order to the machine service
	orderRetryDelay     = 500 * time.Millisecond // before an unanswered order for a machine is repeated
	arrivalSlack        = 3 * time.Second        // added to MoveDuration before a machine that has not arrived counts as lost
	busyBackoff         = time.Second            // before a machine that was busy gets another order
	missingTimeout      = 3 * time.Second        // a machine absent from the list for longer is gone
	maintenanceSlack    = 100 * time.Millisecond // added to MaintenanceDuration before a machine that is up counts as back
	maxDecisionAge      = time.Second            // older decisions are not carried out, but made anew
	maxConcurrentOrders = 16                     // move orders sent together, or as many as the service takes in moveBatchTime
	moveBatchTime       = 150 * time.Millisecond // about what one step with orders takes
	maxMoveBatch        = 40                     // machines in one transaction of claims; each takes two entries
)

// CoordinatorDeps are the dependencies of a Coordinator.
type CoordinatorDeps struct {
	Log                 *zap.Logger
	Now                 clock.Clock
	Claims              *claims.Registry
	Waves               *WaveTracker
	Machines            *platform.MachineClient
	MoveDuration        time.Duration
	MaintenanceDuration time.Duration
	OrderRate           float64                // orders per second that the machine service accepts
	RequestedWaves      func() []platform.Wave // maintenance waves requested by the operator
	SparePool           func() string          // service of the spare pool, or "" if there is none
	Held                func() bool            // reports whether this daemon is the coordinator now
}

// Coordinator gives all orders for machines while this daemon is the coordinator.
type Coordinator struct {
	CoordinatorDeps
	mu          sync.Mutex
	reports     map[string]timedReport
	movingCount int64 // length of moving, for other goroutines
	reply       Reply
	// The fields below are used only by Run.
	decidedAt     time.Time // when the reports were read on which the present step is based
	moving        map[string]move
	inMaintenance map[waveMachine]takenDown
	absences      map[string]absence   // machines of waves that are absent from the list
	retryAt       map[string]time.Time // earliest time of the next order for machines that were busy
	incompatible  map[string]struct{}  // machines that don't fit into other pools
	short         bool                 // pools wanted more machines than they had in the last step
	waveSince     map[int64]time.Time  // when this daemon first saw a wave, as the coordinator or not
}

// timedReport is a pool's latest report and when it was received.
type timedReport struct {
	Report
	receivedAt time.Time
}

// NewCoordinator returns a Coordinator; Run gives the orders.
func NewCoordinator(deps CoordinatorDeps) *Coordinator {
	return &Coordinator{
		CoordinatorDeps: deps,
		reports:         map[string]timedReport{},
		moving:          map[string]move{},
		inMaintenance:   map[waveMachine]takenDown{},
		absences:        map[string]absence{},
		retryAt:         map[string]time.Time{},
		incompatible:    map[string]struct{}{},
		waveSince:       map[int64]time.Time{},
	}
}

// HandleReport records a pool's report and returns the reply for the daemon that sent it. It ignores the report of a leader
// that has a successor, as that one's machines and offers are another's to report.
func (c *Coordinator) HandleReport(r Report) Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Term == 0 || r.Term >= c.reports[r.Service].Term {
		c.reports[r.Service] = timedReport{r, c.Now()}
	}
	return c.reply
}

// setReply sets the reply to reports.
func (c *Coordinator) setReply(r Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reply = r
}

// synced reports whether the list of machines has been evaluated since this daemon became the coordinator.
func (c *Coordinator) synced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reply.Known
}

// freshReports returns the reports that are not older than maxReportAge.
func (c *Coordinator) freshReports(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Report
	for _, r := range c.reports {
		if now.Sub(r.receivedAt) < maxReportAge {
			list = append(list, r.Report)
		}
	}
	return list
}

// Run gives orders while this daemon is the coordinator, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	sleep.Every(ctx, coordinateInterval, func() {
		c.noteWaves(c.Now())
		if c.Held() {
			c.step(ctx)
			return
		}
		c.reset()
	})
	return nil
}

// noteWaves records when waves were first requested.
func (c *Coordinator) noteWaves(now time.Time) {
	requested := c.RequestedWaves()
	for _, wave := range requested {
		if _, ok := c.waveSince[wave.Number]; !ok {
			c.waveSince[wave.Number] = now
		}
	}
	maps.DeleteFunc(c.waveSince, func(number int64, _ time.Time) bool {
		return !slices.ContainsFunc(requested, func(wave platform.Wave) bool { return wave.Number == number })
	})
}

// reset forgets what was known while this daemon was the coordinator: another one may have acted since.
func (c *Coordinator) reset() {
	clear(c.moving)
	clear(c.inMaintenance)
	clear(c.absences)
	clear(c.retryAt)
	c.setReply(Reply{})
}

// Moving returns the number of machines that are moving to another pool.
func (c *Coordinator) Moving() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.movingCount
}

// step gives the orders that are due.
func (c *Coordinator) step(ctx context.Context) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.movingCount = int64(len(c.moving))
	}()
	if !c.hasWork(c.freshReports(c.Now())) {
		return
	}
	machines, listedAt, ok := c.Claims.List(ctx)
	if !ok {
		return
	}
	now := c.Now() // the list may have taken long
	c.decidedAt = now
	reports := c.freshReports(now)
	waves := c.openWaves()
	claimable := map[int64][]platform.Machine{}
	// Under a long shortage moves would take all machines, and the waves would be late.
	reserved := map[string]struct{}{}
	for _, wave := range waves {
		claimable[wave.Number] = c.claimable(now, wave, machines, reports)
		for _, machine := range claimable[wave.Number] {
			reserved[machine.Name] = struct{}{}
		}
	}
	// Moves go first: the claims of a wave take seconds on a slow store, in which a pool would wait for its machines.
	if c.SparePool() != "" {
		c.short = c.moveMachines(ctx, now, machines, reports, reserved)
	}
	for _, wave := range waves {
		c.advanceWave(ctx, now, wave, machines, listedAt, reports, claimable[wave.Number])
	}
}

// hasWork reports whether there may be orders to give. If not, the list of machines need not be read.
func (c *Coordinator) hasWork(reports []Report) bool {
	if len(c.moving) > 0 || (len(reports) > 0 && c.SparePool() != "" && !c.synced()) {
		return true
	}
	for _, r := range reports {
		if len(r.Offers) > 0 || (c.SparePool() != "" && len(r.Machines) < r.Want) {
			return true
		}
	}
	return len(c.openWaves()) > 0
}

// backOff delays the next order for a machine by busyBackoff.
func (c *Coordinator) backOff(machine string, now time.Time) {
	c.retryAt[machine] = now.Add(busyBackoff)
}

// outdated reports whether the decisions of this step are too old to be carried out, after slow calls or a pause.
func (c *Coordinator) outdated() bool { return c.Now().Sub(c.decidedAt) > maxDecisionAge }

// canOrder reports whether a machine may get an order now.
func (c *Coordinator) canOrder(machine string, now time.Time) bool {
	return c.Claims.CanClaim(machine) && !now.Before(c.retryAt[machine])
}
