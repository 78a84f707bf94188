package machines

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/autoscale"
	"gypsumlead/platform"
)

// move is the move of a machine to another pool.
type move struct {
	pool      string // the target pool
	startedAt time.Time
	orderedAt time.Time
	accepted  bool // the order needs no repetition
	permit    platform.OrderPermit
}

// moveMachines assigns free machines to pools, except the reserved ones, and moves those that no pool needs to the spare
// pool. It reports whether pools lack machines.
func (c *Coordinator) moveMachines(ctx context.Context, now time.Time, machines map[string]platform.Machine, reports []Report, reserved map[string]struct{}) bool {
	c.finishMoves(now, machines, reports)
	offered := offeredMachines(machines, reports)
	c.retryMoves(ctx, now, machines, offered)
	var free []string
	for name, machine := range machines {
		_, moving := c.moving[name]
		_, incompatible := c.incompatible[name]
		_, isOffered := offered[name]
		_, claimed := c.Waves.claimed(name)
		_, isReserved := reserved[name]
		if (machine.Pool != c.SparePool() && !isOffered) || machine.State != platform.MachineUp || moving || incompatible || claimed || isReserved || !c.canOrder(name, now) {
			continue
		}
		free = append(free, name)
	}
	// Offered machines, which are powered on, go first: one move then replaces two.
	due := c.dueMachines()
	slices.SortFunc(free, func(a, b string) int {
		if due[a] != due[b] {
			return markedFirst(due[b]) // a machine that is due for maintenance would soon be unavailable again
		}
		_, aOffered := offered[a]
		_, bOffered := offered[b]
		if aOffered != bOffered {
			return markedFirst(aOffered)
		}
		return cmp.Compare(a, b)
	})
	moves, short := c.planMoves(reports, len(machines), free, offered, due)
	c.startMoves(ctx, moves, machines)
	return short
}

// offeredMachines returns the machines that may be moved, with their current pool.
func offeredMachines(machines map[string]platform.Machine, reports []Report) map[string]string {
	offered := map[string]string{}
	for _, r := range reports {
		for _, name := range r.Offers {
			if machine, ok := machines[name]; ok && machine.Pool == r.Service {
				offered[name] = r.Service
			}
		}
	}
	return offered
}

// planMoves returns the moves to make, the most urgent first: into pools that are short, then back to the spare pool,
// then into pools below the floor that they keep while no pool is short. The bool reports whether pools want more machines
// than they have.
func (c *Coordinator) planMoves(reports []Report, fleetSize int, free []string, offered map[string]string, due map[string]bool) ([]plannedMove, bool) {
	pools := c.poolSizes(reports)
	floor := autoscale.Floor(fleetSize, len(pools), c.OrderRate)
	assigned := autoscale.Assign(pools, free)
	shortage := autoscale.Shortage(pools, len(assigned))
	c.setReply(Reply{Known: true, Short: shortage, Floor: floor})
	var moves []plannedMove
	var remaining []string
	for _, name := range free {
		if pool, ok := assigned[name]; ok {
			moves = append(moves, plannedMove{name, pool})
			continue
		}
		remaining = append(remaining, name)
	}
	if shortage > 0 {
		remaining = nil // a released machine can be assigned immediately from the pool it is in
	}
	// A machine that is due for maintenance has it while it is off: it doesn't fill up a pool that isn't short.
	notDue := slices.DeleteFunc(slices.Clone(remaining), func(name string) bool { return due[name] })
	toFloor := autoscale.Assign(autoscale.WithFloor(pools, floor), notDue)
	for _, name := range remaining {
		if pool := toFloor[name]; pool == "" && offered[name] != "" {
			moves = append(moves, plannedMove{name, c.SparePool()})
		}
	}
	for _, name := range remaining {
		if pool := toFloor[name]; pool != "" && pool != offered[name] {
			moves = append(moves, plannedMove{name, pool})
		}
	}
	return moves, autoscale.Shortage(pools, 0) > 0
}

// plannedMove is a machine and its target pool.
type plannedMove struct{ machine, pool string }

// markedFirst compares two elements of which exactly one is marked, for sorting the marked one first; marked reports
// whether it is the first of the two.
func markedFirst(marked bool) int {
	if marked {
		return -1
	}
	return 1
}

// dueMachines returns the machines that open waves have not finished.
func (c *Coordinator) dueMachines() map[string]bool {
	due := map[string]bool{}
	for _, wave := range c.RequestedWaves() {
		row, _ := c.Waves.get(wave.Number)
		for _, name := range wave.Machines {
			if !row.Complete && !row.Finished(name) {
				due[name] = true
			}
		}
	}
	return due
}

// poolSizes returns the current and desired size of each pool; machines moving to a pool count as current.
func (c *Coordinator) poolSizes(reports []Report) []autoscale.Pool {
	var pools []autoscale.Pool
	for _, r := range reports {
		p := autoscale.Pool{Service: r.Service, Current: len(r.Machines), Desired: r.Want}
		for name, m := range c.moving {
			if m.pool == r.Service && !slices.Contains(r.Machines, name) {
				p.Current++
			}
		}
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b autoscale.Pool) int { return cmp.Compare(a.Service, b.Service) })
	return pools
}

// finishMoves removes the moves of machines that have arrived, and of those that count as lost.
func (c *Coordinator) finishMoves(now time.Time, machines map[string]platform.Machine, reports []Report) {
	for name, m := range c.moving {
		arrived := m.pool == c.SparePool() && machines[name].Pool == m.pool && machines[name].State == platform.MachineUp
		for _, r := range reports {
			arrived = arrived || (r.Service == m.pool && slices.Contains(r.Machines, name))
		}
		if arrived || now.Sub(m.startedAt) > c.MoveDuration+arrivalSlack {
			delete(c.moving, name)
		}
	}
}

// retryMoves repeats the orders that were not accepted, while their permits last; after that the move is decided anew,
// unless it has begun. It drops the moves of machines that are no longer offered: a later leader of their pool may have
// started tasks there.
func (c *Coordinator) retryMoves(ctx context.Context, now time.Time, machines map[string]platform.Machine, offered map[string]string) {
	for name, m := range c.moving {
		machine := machines[name]
		_, released := offered[name]
		released = released || machine.Pool == c.SparePool()
		switch {
		case m.accepted || now.Sub(m.orderedAt) < orderRetryDelay:
		case machine.Pool == m.pool || machine.State == platform.MachineMoving:
			m.accepted = true
			c.moving[name] = m
		case !released && machine.State == platform.MachineUp:
			delete(c.moving, name)
		case m.permit.Valid():
			c.sendMoves(ctx, now, map[string]string{name: m.pool}, m.permit)
		default:
			delete(c.moving, name)
		}
	}
}

// startMoves claims machines and orders the moves, as many as the machine service accepts until the next step. A machine that its leader has taken back
// by the time of the claim stays.
func (c *Coordinator) startMoves(ctx context.Context, moves []plannedMove, machines map[string]platform.Machine) {
	batch := min(max(maxConcurrentOrders, int(c.OrderRate*moveBatchTime.Seconds())), maxMoveBatch)
	moves = moves[:min(len(moves), batch)]
	if len(moves) == 0 || c.outdated() {
		return
	}
	poolOf := map[string]string{}
	var names []string
	for _, planned := range moves {
		poolOf[planned.machine] = planned.pool
		names = append(names, planned.machine)
	}
	slices.Sort(names)
	permit, ok := c.Claims.Claim(ctx, c.decidedAt, "move", names, platform.Tx{})
	if !ok {
		return
	}
	now := c.Now()
	offered := offeredMachines(machines, c.freshReports(now))
	for _, name := range names {
		if _, ok := offered[name]; !ok && machines[name].Pool != c.SparePool() {
			delete(poolOf, name)
			continue
		}
		c.moving[name] = move{pool: poolOf[name], startedAt: now, permit: permit}
	}
	c.sendMoves(ctx, now, poolOf, permit)
}

// sendMoves sends the orders of moves concurrently; poolOf maps machines to target pools.
func (c *Coordinator) sendMoves(ctx context.Context, now time.Time, poolOf map[string]string, permit platform.OrderPermit) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, pool := range poolOf {
		wg.Go(func() {
			result, err := c.Machines.Move(ctx, name, pool, permit)
			c.Log.Info("move order sent", zap.String("machine", name), zap.String("to", pool), zap.Int64("token", permit.Token), zap.String("answer", string(result)), zap.Error(err))
			mu.Lock()
			defer mu.Unlock()
			c.handleResult(now, name, result)
		})
	}
	wg.Wait()
}

// handleResult handles the result of a move order. An empty result means that no answer came; the order is repeated.
func (c *Coordinator) handleResult(now time.Time, name string, result platform.OrderResult) {
	m := c.moving[name]
	m.orderedAt = now
	switch result {
	case platform.OrderDone:
		m.accepted = true
		c.moving[name] = m
		return
	case platform.OrderInvalid:
		c.incompatible[name] = struct{}{}
	case platform.OrderBusy, platform.OrderFenced, platform.OrderWrongWave:
		c.backOff(name, now)
	case platform.OrderThrottled, "":
		c.moving[name] = m
		return
	}
	delete(c.moving, name)
}
