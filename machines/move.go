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

// move is a machine on its way to another pool.
type move struct {
	to      string
	since   time.Time
	ordered time.Time
	done    bool // the order was answered
	token   int64
}

// moves shares the free machines out, and sends those that nobody wants to the spare pool.
func (m *Coordinator) moves(ctx context.Context, now time.Time, list map[string]platform.Machine, reports []Report) {
	m.arrived(now, list, reports)
	m.repeat(ctx, now, list)
	offered := map[string]string{} // machine to its pool
	for _, r := range reports {
		for _, name := range r.Offers {
			if x, ok := list[name]; ok && x.Pool == r.Service {
				offered[name] = r.Service
			}
		}
	}
	var free []string
	for name, x := range list {
		_, moving := m.moving[name]
		_, wrong := m.wrong[name]
		_, open := offered[name]
		if (x.Pool != m.SparePool() && !open) || x.State != platform.MachineUp || moving || wrong || m.Waves.claimed(name) || !m.free(name, now) {
			continue
		}
		free = append(free, name)
	}
	// Those that are on go first: one move serves instead of two.
	due := m.dueMachines()
	slices.SortFunc(free, func(a, b string) int {
		if due[a] != due[b] {
			return first(due[b]) // one that a wave is still to take would soon be away again
		}
		_, x := offered[a]
		_, y := offered[b]
		if x != y {
			return first(x)
		}
		return cmp.Compare(a, b)
	})
	m.order(ctx, now, m.shared(reports, len(list), free, offered))
}

// shared returns the moves that are wanted, the most pressing first: into pools that are short, then back to
// the spare pool, then into pools that have fewer machines than they keep while none is short.
func (m *Coordinator) shared(reports []Report, fleet int, free []string, offered map[string]string) []sent {
	pools := m.pools(reports)
	floor := autoscale.Floor(fleet, len(pools), m.OrderRate)
	wanted := autoscale.Assign(pools, free)
	short := autoscale.Shortage(pools, len(wanted))
	m.setReply(Reply{Known: true, Short: short, Floor: floor})
	var list []sent
	var left []string
	for _, name := range free {
		if to, ok := wanted[name]; ok {
			list = append(list, sent{name, to})
			continue
		}
		left = append(left, name)
	}
	if short > 0 {
		left = nil // one that is given back is free at once where it is
	}
	kept := autoscale.Assign(autoscale.WithFloor(pools, floor), left)
	for _, name := range left {
		if to := kept[name]; to == "" && offered[name] != "" {
			list = append(list, sent{name, m.SparePool()})
		}
	}
	for _, name := range left {
		if to := kept[name]; to != "" && to != offered[name] {
			list = append(list, sent{name, to})
		}
	}
	return list
}

// sent is a machine that is to go to a pool.
type sent struct{ machine, to string }

// first puts what is marked in front.
func first(marked bool) int {
	if marked {
		return -1
	}
	return 1
}

// dueMachines returns the machines that open waves are still to take.
func (m *Coordinator) dueMachines() map[string]bool {
	due := map[string]bool{}
	for _, w := range m.RequestedWaves() {
		row, _ := m.Waves.get(w.Number)
		for _, name := range w.Machines {
			if !row.Complete && !row.Finished(name) {
				due[name] = true
			}
		}
	}
	return due
}

// pools is what each pool has and wants.
func (m *Coordinator) pools(reports []Report) []autoscale.Pool {
	var pools []autoscale.Pool
	for _, r := range reports {
		p := autoscale.Pool{Service: r.Service, Current: len(r.Machines), Desired: r.Want}
		for name, x := range m.moving {
			if x.to == r.Service && !slices.Contains(r.Machines, name) {
				p.Current++
			}
		}
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b autoscale.Pool) int { return cmp.Compare(a.Service, b.Service) })
	return pools
}

// arrived forgets the machines that have come to where they were sent, and those that never will.
func (m *Coordinator) arrived(now time.Time, list map[string]platform.Machine, reports []Report) {
	for name, x := range m.moving {
		there := x.to == m.SparePool() && list[name].Pool == x.to && list[name].State == platform.MachineUp
		for _, r := range reports {
			there = there || (r.Service == x.to && slices.Contains(r.Machines, name))
		}
		if there || now.Sub(x.since) > m.MoveDuration+comeSlack {
			delete(m.moving, name)
		}
	}
}

// repeat orders again what wasn't answered.
func (m *Coordinator) repeat(ctx context.Context, now time.Time, list map[string]platform.Machine) {
	for name, x := range m.moving {
		if x.done || now.Sub(x.ordered) < orderGap {
			continue
		}
		if list[name].Pool == x.to {
			x.done = true
			m.moving[name] = x
			continue
		}
		m.send(ctx, now, map[string]string{name: x.to}, x.token)
	}
}

// order claims machines and orders each into its pool.
func (m *Coordinator) order(ctx context.Context, now time.Time, list []sent) {
	list = list[:min(len(list), atOnce)]
	if len(list) == 0 {
		return
	}
	to := map[string]string{}
	var names []string
	for _, s := range list {
		to[s.machine] = s.to
		names = append(names, s.machine)
	}
	slices.Sort(names)
	token, ok := m.Claims.Claim(ctx, "move", names, platform.Tx{})
	if !ok {
		return
	}
	for _, name := range names {
		m.moving[name] = move{to: to[name], since: now, token: token}
	}
	m.send(ctx, now, to, token)
}

// send orders machines into their pools, all at the same time.
func (m *Coordinator) send(ctx context.Context, now time.Time, to map[string]string, token int64) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, pool := range to {
		wg.Go(func() {
			d, err := m.Machines.Move(ctx, name, pool, m.Name, token)
			m.Log.Info("machine moves", zap.String("machine", name), zap.String("to", pool), zap.Int64("token", token), zap.String("answer", string(d)), zap.Error(err))
			mu.Lock()
			defer mu.Unlock()
			m.answered(now, name, d)
		})
	}
	wg.Wait()
}

// answered takes in the answer to a move; none is empty, and the move is ordered again.
func (m *Coordinator) answered(now time.Time, name string, d platform.OrderResult) {
	x := m.moving[name]
	x.ordered = now
	switch d {
	case platform.OrderDone:
		x.done = true
		m.moving[name] = x
		return
	case platform.OrderInvalid:
		m.wrong[name] = struct{}{}
	case platform.OrderBusy, platform.OrderFenced, platform.OrderWrongWave:
		m.busy(name, now)
	case platform.OrderThrottled, "":
		m.moving[name] = x
		return
	}
	delete(m.moving, name)
}
