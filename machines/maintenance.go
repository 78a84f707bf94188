package machines

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/maintenance"
	"gypsumlead/platform"
)

// waveMachine is a machine in one wave; several waves may have the same machine.
type waveMachine struct {
	wave    int64
	machine string
}

// takenDown is a machine whose maintenance this coordinator has ordered for a wave.
type takenDown struct {
	orderedAt  time.Time
	acceptedAt time.Time // zero until the order is accepted
	permit     platform.OrderPermit
}

// maxWaveBatch limits the machines of a wave that one transaction claims, and the orders that are sent together.
const maxWaveBatch = 16

// openWaves returns the requested waves that are not complete.
func (c *Coordinator) openWaves() []platform.Wave {
	return slices.DeleteFunc(slices.Clone(c.RequestedWaves()), func(wave platform.Wave) bool {
		row, _ := c.Waves.get(wave.Number)
		return row.Complete
	})
}

// claimable returns the machines of a wave that may be claimed now.
func (c *Coordinator) claimable(now time.Time, wave platform.Wave, machines map[string]platform.Machine, reports []Report) []platform.Machine {
	ready := readyMachines(wave, machines, reports)
	row, _ := c.Waves.get(wave.Number)
	limit := min(c.maxDown(now, wave, row)-row.Down(), maxWaveBatch)
	var list []platform.Machine
	for _, name := range wave.Machines {
		machine, ok := machines[name]
		if len(list) >= limit {
			break
		}
		_, empty := ready[name]
		_, moving := c.moving[name]
		if ok && row.Machines[name] == maintenance.Pending && (empty || machine.Pool == c.SparePool()) && !moving && machine.State == platform.MachineUp && c.canOrder(name, now) {
			list = append(list, machine)
		}
	}
	return list
}

// advanceWave gives the orders that are due for one wave, claims machines for it and records its progress.
func (c *Coordinator) advanceWave(ctx context.Context, now time.Time, wave platform.Wave, machines map[string]platform.Machine, listedAt time.Time, reports []Report, claimable []platform.Machine) {
	ready := readyMachines(wave, machines, reports)
	var returned []platform.Machine
	for _, name := range wave.Machines {
		if c.outdated() {
			return
		}
		row, _ := c.Waves.get(wave.Number)
		if row.Finished(name) {
			continue
		}
		machine, ok := machines[name]
		if !ok {
			c.markAbsent(ctx, wave, name, listedAt)
			continue
		}
		delete(c.absences, name)
		_, empty := ready[name]
		empty = empty || machine.Pool == c.SparePool()
		if row.Machines[name] == maintenance.Claimed {
			if c.hasReturned(wave, machine, listedAt) {
				returned = append(returned, machine)
			} else {
				c.continueMaintenance(ctx, now, wave, machine, listedAt, empty)
			}
		}
	}
	c.markDone(ctx, wave, returned)
	c.claimMaintenance(ctx, wave, claimable)
	if row, _ := c.Waves.get(wave.Number); row.AllFinished(wave.Machines) {
		c.completeWave(ctx, wave)
	}
}

// maxDown returns how many machines of a wave may be down at the same time.
func (c *Coordinator) maxDown(now time.Time, wave platform.Wave, row maintenance.Row) int {
	remaining := wave.TimeLimit
	if since, ok := c.waveSince[wave.Number]; ok {
		remaining -= now.Sub(since)
	}
	unfinished := 0
	for _, name := range wave.Machines {
		if !row.Finished(name) {
			unfinished++
		}
	}
	return maintenance.MaxDown(wave.MaxDown, unfinished, remaining, c.MaintenanceDuration, c.short)
}

// readyMachines returns the machines that a wave may take down by the reports of their pools.
func readyMachines(wave platform.Wave, machines map[string]platform.Machine, reports []Report) map[string]struct{} {
	ready := map[string]struct{}{}
	for _, r := range reports {
		for _, entry := range r.Ready {
			if entry.Wave == wave.Number && machines[entry.Machine].Pool == r.Service {
				ready[entry.Machine] = struct{}{}
			}
		}
	}
	return ready
}

// hasReturned reports whether a machine is back from the maintenance that this coordinator ordered.
func (c *Coordinator) hasReturned(wave platform.Wave, machine platform.Machine, listedAt time.Time) bool {
	down, known := c.inMaintenance[waveMachine{wave.Number, machine.Name}]
	return known && !down.acceptedAt.IsZero() && machine.State == platform.MachineUp && listedAt.Sub(down.acceptedAt) > c.MaintenanceDuration+maintenanceSlack
}

// markDone records that machines are back in service, as many at once as fit into a transaction.
func (c *Coordinator) markDone(ctx context.Context, wave platform.Wave, returned []platform.Machine) {
	names := machineNames(returned[:min(len(returned), maxWaveBatch)])
	if len(names) == 0 || c.outdated() {
		return
	}
	if _, ok := c.setStage(ctx, wave, maintenance.Done, names...); !ok {
		return
	}
	for _, name := range names {
		delete(c.inMaintenance, waveMachine{wave.Number, name})
	}
}

// machineNames returns the names of machines.
func machineNames(machines []platform.Machine) []string {
	var names []string
	for _, machine := range machines {
		names = append(names, machine.Name)
	}
	return names
}

// continueMaintenance handles a machine that is claimed, counts as down and has not returned.
func (c *Coordinator) continueMaintenance(ctx context.Context, now time.Time, wave platform.Wave, machine platform.Machine, listedAt time.Time, empty bool) {
	down, known := c.inMaintenance[waveMachine{wave.Number, machine.Name}]
	switch {
	case !known:
		// An earlier coordinator claimed the machine, or this one by a claim that was not answered; whether the
		// maintenance was ordered is unknown.
		c.resumeMaintenance(ctx, now, wave, machine, listedAt, empty)
	case !down.acceptedAt.IsZero():
	case now.Sub(down.orderedAt) <= orderRetryDelay || !c.canOrder(machine.Name, now):
	case down.permit.Valid() && (empty || machine.State != platform.MachineUp):
		c.orderMaintenance(ctx, wave, []string{machine.Name}, down.permit)
	default:
		down.orderedAt = now // a failed claim is repeated after orderRetryDelay too
		c.inMaintenance[waveMachine{wave.Number, machine.Name}] = down
		c.resumeMaintenance(ctx, now, wave, machine, listedAt, empty)
	}
}

// resumeMaintenance handles a machine that is claimed but that nobody has a permit to order. A repeated order is safe, as
// the maintenance is done only once. But a machine that is up may be back, or may have been given work by a new leader of
// its pool. Once no earlier order can take it down any more, its claim is undone, so that it is evacuated and reported as
// ready again.
func (c *Coordinator) resumeMaintenance(ctx context.Context, now time.Time, wave platform.Wave, machine platform.Machine, listedAt time.Time, empty bool) {
	switch {
	case !c.canOrder(machine.Name, now):
	case empty || machine.State != platform.MachineUp:
		c.claimMaintenance(ctx, wave, []platform.Machine{machine})
	case c.Claims.QuietAt(machine.Name, listedAt):
		if _, ok := c.setStage(ctx, wave, maintenance.Pending, machine.Name); ok {
			delete(c.inMaintenance, waveMachine{wave.Number, machine.Name})
		}
	}
}

// claimMaintenance claims machines for their maintenance and orders that, except for machines that are in use by then: a
// claim may take long, and a machine's pool may have another leader, which starts tasks on it.
func (c *Coordinator) claimMaintenance(ctx context.Context, wave platform.Wave, claimable []platform.Machine) {
	if len(claimable) == 0 || c.outdated() {
		return
	}
	permit, ok := c.setStage(ctx, wave, maintenance.Claimed, machineNames(claimable)...)
	if !ok {
		return
	}
	byName := map[string]platform.Machine{}
	for _, machine := range claimable {
		byName[machine.Name] = machine
	}
	ready := readyMachines(wave, byName, c.freshReports(c.Now()))
	var empty []string
	for _, machine := range claimable {
		if _, still := ready[machine.Name]; still || machine.Pool == c.SparePool() || machine.State != platform.MachineUp {
			empty = append(empty, machine.Name)
		}
	}
	c.orderMaintenance(ctx, wave, empty, permit)
}

// orderMaintenance orders the maintenance of machines that are claimed, of all at the same time.
func (c *Coordinator) orderMaintenance(ctx context.Context, wave platform.Wave, names []string, permit platform.OrderPermit) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	results := make([]platform.OrderResult, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		c.inMaintenance[waveMachine{wave.Number, name}] = takenDown{orderedAt: c.Now(), permit: permit}
		wg.Go(func() {
			result, err := c.Machines.Maintain(callCtx, name, wave.Number, permit)
			c.Log.Info("maintenance order sent", zap.Int64("wave", wave.Number), zap.String("machine", name), zap.Int64("token", permit.Token), zap.String("answer", string(result)), zap.Error(err))
			if err == nil {
				results[i] = result
			}
		})
	}
	wg.Wait()
	for i, name := range names {
		c.handleMaintenanceResult(ctx, wave, name, results[i])
	}
}

// handleMaintenanceResult handles the answer to an order. An empty result means that no answer came; the order is
// repeated.
func (c *Coordinator) handleMaintenanceResult(ctx context.Context, wave platform.Wave, name string, result platform.OrderResult) {
	key := waveMachine{wave.Number, name}
	switch result {
	case platform.OrderDone:
		down := c.inMaintenance[key]
		down.acceptedAt = c.Now()
		c.inMaintenance[key] = down
	case platform.OrderInvalid, platform.OrderWrongWave:
		c.setStage(ctx, wave, maintenance.Gone, name)
	case platform.OrderFenced:
		delete(c.inMaintenance, key) // the next attempt claims a new token
		c.backOff(name, c.Now())
	case platform.OrderBusy:
		c.backOff(name, c.Now())
	case platform.OrderThrottled, "":
	}
}

// absence is a time without a reading of the list that has the machine.
type absence struct{ first, last time.Time } // readings without it

// markAbsent records that a reading of the list doesn't have a machine; after missingTimeout it counts as gone. Readings
// further apart say nothing about the time between them: the coordinator may have been another one.
func (c *Coordinator) markAbsent(ctx context.Context, wave platform.Wave, name string, listedAt time.Time) {
	a, ok := c.absences[name]
	if !ok || listedAt.Sub(a.last) > missingTimeout {
		a.first = listedAt
	}
	a.last = listedAt
	c.absences[name] = a
	if a.last.Sub(a.first) > missingTimeout && c.canOrder(name, listedAt) {
		c.setStage(ctx, wave, maintenance.Gone, name)
		delete(c.inMaintenance, waveMachine{wave.Number, name})
	}
}

// completeWave marks a wave as complete, in its row and in its status for the operator.
func (c *Coordinator) completeWave(ctx context.Context, wave platform.Wave) {
	row, version := c.Waves.get(wave.Number)
	row.Complete = true
	if _, ok := c.writeWave(ctx, wave, version, row, nil); ok {
		c.Log.Info("wave completed", zap.Int64("wave", wave.Number))
	}
}

// setStage sets the stage of machines and returns the permit of the orders that follow.
func (c *Coordinator) setStage(ctx context.Context, wave platform.Wave, stage maintenance.Stage, machines ...string) (platform.OrderPermit, bool) {
	row, version := c.Waves.get(wave.Number)
	for _, machine := range machines {
		row = row.With(machine, stage)
	}
	return c.writeWave(ctx, wave, version, row, machines)
}

// writeWave commits a wave's row, the claims of machines and, for a wave that begins or is complete, its status for
// the operator. It returns the permit of the orders that follow.
func (c *Coordinator) writeWave(ctx context.Context, wave platform.Wave, version int64, row maintenance.Row, machines []string) (platform.OrderPermit, bool) {
	value, err := row.Encode()
	if err != nil {
		c.Log.Error("wave", zap.Error(err))
		return platform.OrderPermit{}, false
	}
	status, err := platform.EncodeWaveStatus(wave.Number, row.Complete)
	if err != nil {
		c.Log.Error("wave", zap.Error(err))
		return platform.OrderPermit{}, false
	}
	key := waveKey(wave.Number)
	tx := platform.Tx{Conditions: []platform.Condition{{RowKey: key, Version: version}}, Puts: []platform.Row{{RowKey: key, Value: value}}}
	if version == 0 || row.Complete {
		tx.Puts = append(tx.Puts, status)
	}
	permit, ok := c.Claims.Claim(ctx, c.decidedAt, "wave "+key.Key, machines, tx)
	if !ok {
		c.reloadWave(ctx, key)
		return platform.OrderPermit{}, false
	}
	c.Waves.set(wave.Number, row, permit.Token)
	return permit, true
}

// reloadWave reads a wave's row after a failed claim: an earlier coordinator may have changed it.
func (c *Coordinator) reloadWave(ctx context.Context, key platform.RowKey) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	page, err := c.Waves.store.GetRow(ctx, key)
	if err != nil {
		c.Log.Warn("cannot read wave row", zap.String("wave", key.Key), zap.Error(err))
		return // the WaveTracker reads it with the next changes
	}
	c.Waves.apply(page.Rows)
}
