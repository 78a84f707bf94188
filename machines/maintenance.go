package machines

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/maintenance"
	"gypsumlead/platform"
)

// takenDown is a machine whose maintenance this coordinator has ordered.
type takenDown struct {
	orderedAt  time.Time
	acceptedAt time.Time // zero until the order is accepted
	token      int64
}

// advanceWave gives the orders that are due for one wave and records its progress.
func (c *Coordinator) advanceWave(ctx context.Context, now time.Time, wave platform.Wave, machines map[string]platform.Machine, listedAt time.Time, reports []Report) {
	ready := readyMachines(wave, machines, reports)
	for _, name := range wave.Machines {
		row, _ := c.Waves.get(wave.Number)
		if row.Finished(name) {
			continue
		}
		machine, ok := machines[name]
		if !ok {
			c.markAbsent(ctx, wave, name, now)
			continue
		}
		delete(c.absentSince, name)
		_, empty := ready[name]
		empty = empty || machine.Pool == c.SparePool()
		if row.Machines[name] == maintenance.Claimed {
			c.continueMaintenance(ctx, now, wave, machine, listedAt, empty)
			continue
		}
		_, moving := c.moving[name]
		if empty && !moving && machine.State == platform.MachineUp && c.canOrder(name, now) && row.Down() < wave.MaxDown {
			token, ok := c.setStage(ctx, wave, name, maintenance.Claimed)
			// A claim may take long, and the machine's pool may have another leader by then, which uses it.
			if _, still := readyMachines(wave, machines, c.freshReports(c.Now()))[name]; ok && (still || machine.Pool == c.SparePool()) {
				c.orderMaintenance(ctx, wave, name, token)
			}
		}
	}
	if row, _ := c.Waves.get(wave.Number); row.AllFinished(wave.Machines) {
		c.completeWave(ctx, wave)
	}
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

// continueMaintenance handles a machine that is claimed and so counts as down.
func (c *Coordinator) continueMaintenance(ctx context.Context, now time.Time, wave platform.Wave, machine platform.Machine, listedAt time.Time, empty bool) {
	down, known := c.inMaintenance[machine.Name]
	switch {
	case !known:
		// An earlier coordinator claimed the machine; whether it ordered the maintenance is unknown. A repeated
		// order is safe: the maintenance is done only once.
		if (empty || machine.State != platform.MachineUp) && c.canOrder(machine.Name, now) {
			if token, ok := c.setStage(ctx, wave, machine.Name, maintenance.Claimed); ok {
				c.orderMaintenance(ctx, wave, machine.Name, token)
			}
		}
	case !down.acceptedAt.IsZero():
		if machine.State == platform.MachineUp && listedAt.Sub(down.acceptedAt) > c.MaintenanceDuration+maintenanceSlack {
			if _, ok := c.setStage(ctx, wave, machine.Name, maintenance.Done); ok {
				delete(c.inMaintenance, machine.Name)
			}
		}
	case now.Sub(down.orderedAt) > orderRetryDelay && (empty || machine.State != platform.MachineUp) && c.canOrder(machine.Name, now):
		c.orderMaintenance(ctx, wave, machine.Name, down.token)
	}
}

// orderMaintenance orders the maintenance of a machine that is claimed.
func (c *Coordinator) orderMaintenance(ctx context.Context, wave platform.Wave, name string, token int64) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	down := takenDown{orderedAt: c.Now(), token: token}
	c.inMaintenance[name] = down
	result, err := c.Machines.Maintain(callCtx, name, wave.Number, c.Name, token)
	c.Log.Info("maintenance order sent", zap.Int64("wave", wave.Number), zap.String("machine", name), zap.Int64("token", token), zap.String("answer", string(result)), zap.Error(err))
	if err != nil {
		return // the order is repeated
	}
	switch result {
	case platform.OrderDone:
		down.acceptedAt = c.Now()
		c.inMaintenance[name] = down
	case platform.OrderInvalid, platform.OrderWrongWave:
		c.setStage(ctx, wave, name, maintenance.Gone)
	case platform.OrderFenced:
		delete(c.inMaintenance, name) // the next attempt claims a new token
		c.backOff(name, c.Now())
	case platform.OrderBusy:
		c.backOff(name, c.Now())
	case platform.OrderThrottled:
	}
}

// markAbsent records that a machine is not listed; after missingTimeout it counts as gone.
func (c *Coordinator) markAbsent(ctx context.Context, wave platform.Wave, name string, now time.Time) {
	since, ok := c.absentSince[name]
	if !ok {
		c.absentSince[name] = now
		return
	}
	if now.Sub(since) > missingTimeout {
		c.setStage(ctx, wave, name, maintenance.Gone)
		delete(c.inMaintenance, name)
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

// setStage sets the stage of a machine and returns the fencing token of the orders that follow.
func (c *Coordinator) setStage(ctx context.Context, wave platform.Wave, machine string, stage maintenance.Stage) (int64, bool) {
	row, version := c.Waves.get(wave.Number)
	return c.writeWave(ctx, wave, version, row.With(machine, stage), []string{machine})
}

// writeWave commits a wave's row, the claims of machines and, for a wave that begins or is complete, its status for
// the operator. It returns the fencing token.
func (c *Coordinator) writeWave(ctx context.Context, wave platform.Wave, version int64, row maintenance.Row, machines []string) (int64, bool) {
	value, err := row.Encode()
	if err != nil {
		c.Log.Error("wave", zap.Error(err))
		return 0, false
	}
	status, err := platform.EncodeWaveStatus(wave.Number, row.Complete)
	if err != nil {
		c.Log.Error("wave", zap.Error(err))
		return 0, false
	}
	key := waveKey(wave.Number)
	tx := platform.Tx{Conditions: []platform.Condition{{RowKey: key, Version: version}}, Puts: []platform.Row{{RowKey: key, Value: value}}}
	if version == 0 || row.Complete {
		tx.Puts = append(tx.Puts, status)
	}
	token, ok := c.Claims.Claim(ctx, "wave "+key.Key, machines, tx)
	if !ok {
		c.reloadWave(ctx, key)
		return 0, false
	}
	c.Waves.set(wave.Number, row, token)
	return token, true
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
