package daemon

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/leader"
	"gypsumlead/member"
)

// transferTarget is a larger daemon that leadership is to be transferred to, and since when it has been one.
type transferTarget struct {
	name  string
	since time.Time
}

// leadersToTransfer returns the leaders here whose leases are to be released for a much larger daemon, which has been
// the planned leader for longer than transferDelay.
func (d *Daemon) leadersToTransfer(now time.Time) []*leader.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving || len(d.leaders) == 0 {
		return nil
	}
	live := d.members.Candidates()
	plan := member.Assign(d.servicesToServe(), live)
	var list []*leader.Leader
	for s, l := range d.leaders {
		i := slices.IndexFunc(live, func(n member.Node) bool { return n.Name == plan[s] })
		if i < 0 || live[i].Weight < transferWeightFactor*d.settings.Weight {
			delete(d.transfers, s)
			continue
		}
		target, ok := d.transfers[s]
		if !ok || target.name != plan[s] {
			d.transfers[s] = transferTarget{plan[s], now}
			continue
		}
		if now.Sub(target.since) > transferDelay {
			delete(d.transfers, s)
			d.log.Info("transferring leadership to a larger daemon", zap.String("service", s), zap.String("to", plan[s]))
			list = append(list, l)
		}
	}
	return list
}

// rank returns a daemon's position among the live ones, the largest first. Daemons of equal weight are rotated by
// offset, so that leases are not all acquired by the same one.
func rank(live []member.Node, name string, offset int) int {
	self := slices.IndexFunc(live, func(n member.Node) bool { return n.Name == name })
	larger, equal, position := 0, 0, 0
	for i, n := range live {
		switch {
		case n.Weight > live[self].Weight:
			larger++
		case n.Weight == live[self].Weight:
			if i == self {
				position = equal
			}
			equal++
		}
	}
	return larger + (position+offset)%equal
}
