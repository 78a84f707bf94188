package machines

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/maintenance"
	"gypsumlead/platform"
)

// down is a machine that a wave has claimed.
type down struct {
	ordered  time.Time
	accepted time.Time
	token    int64
}

// wave does what is due for one wave.
func (m *Coordinator) wave(ctx context.Context, now time.Time, w platform.Wave, list map[string]platform.Machine, listed time.Time, reports []Report) {
	ready := map[string]struct{}{}
	for _, r := range reports {
		for _, x := range r.Ready {
			if x.Wave == w.Number && list[x.Machine].Pool == r.Service {
				ready[x.Machine] = struct{}{}
			}
		}
	}
	for _, name := range w.Machines {
		row, _ := m.Waves.get(w.Number)
		if row.Finished(name) {
			continue
		}
		x, ok := list[name]
		if !ok {
			m.leave(ctx, w, name, now)
			continue
		}
		delete(m.absent, name)
		_, empty := ready[name]
		empty = empty || x.Pool == m.SparePool()
		if row.Machines[name] == maintenance.Claimed {
			m.claimed(ctx, now, w, x, listed, empty)
			continue
		}
		_, moving := m.moving[name]
		if empty && !moving && x.State == platform.MachineUp && m.free(name, now) && row.Down() < w.MaxDown {
			if token, ok := m.write(ctx, w, name, maintenance.Claimed); ok {
				m.takeDown(ctx, w, name, token)
			}
		}
	}
	if row, _ := m.Waves.get(w.Number); row.AllFinished(w.Machines) {
		m.complete(ctx, w)
	}
}

// claimed goes on with a machine that counts as down.
func (m *Coordinator) claimed(ctx context.Context, now time.Time, w platform.Wave, x platform.Machine, listed time.Time, empty bool) {
	d, mine := m.downs[x.Name]
	switch {
	case !mine:
		// An earlier master claimed it; whether it was ordered isn't known. Ordered twice it is done once.
		if (empty || x.State != platform.MachineUp) && m.free(x.Name, now) {
			if token, ok := m.write(ctx, w, x.Name, maintenance.Claimed); ok {
				m.takeDown(ctx, w, x.Name, token)
			}
		}
	case !d.accepted.IsZero():
		if x.State == platform.MachineUp && listed.Sub(d.accepted) > m.MaintenanceDuration+backSlack {
			if _, ok := m.write(ctx, w, x.Name, maintenance.Done); ok {
				delete(m.downs, x.Name)
			}
		}
	case now.Sub(d.ordered) > orderGap && m.free(x.Name, now):
		m.takeDown(ctx, w, x.Name, d.token)
	}
}

// takeDown orders the maintenance of a machine that counts as down.
func (m *Coordinator) takeDown(ctx context.Context, w platform.Wave, name string, token int64) {
	call, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	d := down{ordered: m.Now(), token: token}
	m.downs[name] = d
	duty, err := m.Machines.Maintain(call, name, w.Number, m.Name, token)
	m.Log.Info("maintenance ordered", zap.Int64("wave", w.Number), zap.String("machine", name), zap.Int64("token", token), zap.String("answer", string(duty)), zap.Error(err))
	if err != nil {
		return // it is ordered again
	}
	switch duty {
	case platform.OrderDone:
		d.accepted = m.Now()
		m.downs[name] = d
	case platform.OrderInvalid, platform.OrderWrongWave:
		m.write(ctx, w, name, maintenance.Gone)
	case platform.OrderFenced:
		delete(m.downs, name) // the next try has a new token
		m.busy(name, m.Now())
	case platform.OrderBusy:
		m.busy(name, m.Now())
	case platform.OrderThrottled:
	}
}

// leave notes that a machine is no longer there.
func (m *Coordinator) leave(ctx context.Context, w platform.Wave, name string, now time.Time) {
	since, ok := m.absent[name]
	if !ok {
		m.absent[name] = now
		return
	}
	if now.Sub(since) > missing {
		m.write(ctx, w, name, maintenance.Gone)
		delete(m.downs, name)
	}
}

// complete tells the operator once every machine is over.
func (m *Coordinator) complete(ctx context.Context, w platform.Wave) {
	row, version := m.Waves.get(w.Number)
	row.Complete = true
	if _, ok := m.put(ctx, w, version, row, nil); ok {
		m.Log.Info("wave completed", zap.Int64("wave", w.Number))
	}
}

// write changes the stage of one machine; the result is the token of orders that follow from it.
func (m *Coordinator) write(ctx context.Context, w platform.Wave, machine string, s maintenance.Stage) (int64, bool) {
	row, version := m.Waves.get(w.Number)
	return m.put(ctx, w, version, row.With(machine, s), []string{machine})
}

// put writes a wave's row, its status for the operator, and the claims of machines.
func (m *Coordinator) put(ctx context.Context, w platform.Wave, version int64, row maintenance.Row, machines []string) (int64, bool) {
	value, err := row.Encode()
	if err != nil {
		m.Log.Error("wave", zap.Error(err))
		return 0, false
	}
	status, err := platform.EncodeWaveStatus(w.Number, row.Complete)
	if err != nil {
		m.Log.Error("wave", zap.Error(err))
		return 0, false
	}
	at := placeOf(w.Number)
	tx := platform.Tx{Conditions: []platform.Condition{{RowKey: at, Version: version}}, Puts: []platform.Row{{RowKey: at, Value: value}}}
	if version == 0 || row.Complete {
		tx.Puts = append(tx.Puts, status)
	}
	token, ok := m.Claims.Claim(ctx, "wave "+at.Key, machines, tx)
	if !ok {
		m.reread(ctx, at)
		return 0, false
	}
	m.Waves.set(w.Number, row, token)
	return token, true
}

// reread reads a wave's row again after a claim that failed: an earlier master may have changed it.
func (m *Coordinator) reread(ctx context.Context, at platform.RowKey) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	page, err := m.Waves.store.GetRow(ctx, at)
	if err != nil {
		m.Log.Warn("row of a wave not read", zap.String("wave", at.Key), zap.Error(err))
		return // it comes with the next look for changes
	}
	m.Waves.take(page.Rows)
}
