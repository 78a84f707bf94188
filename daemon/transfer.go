package daemon

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/leader"
	"gypsumlead/member"
)

// waiter is a larger daemon that a seat is to go to, and since when.
type transferTarget struct {
	name  string
	since time.Time
}

// surplus returns the seats that this daemon gives up to one that is much larger and has been live for a while.
func (d *Daemon) leasesToTransfer(now time.Time) []*leader.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving || len(d.leaders) == 0 {
		return nil
	}
	live := d.activeNodes()
	plan := member.Assign(d.services(), live)
	var list []*leader.Leader
	for s, l := range d.leaders {
		target := slices.IndexFunc(live, func(n member.Node) bool { return n.Name == plan[s] })
		if target < 0 || live[target].Weight < transferWeightFactor*d.settings.Weight {
			delete(d.transfers, s)
			continue
		}
		since, ok := d.transfers[s]
		if !ok || since.name != plan[s] {
			d.transfers[s] = transferTarget{plan[s], now}
			continue
		}
		if now.Sub(since.since) > transferDelay {
			delete(d.transfers, s)
			d.log.Info("seat goes to a larger daemon", zap.String("service", s), zap.String("to", plan[s]))
			list = append(list, l)
		}
	}
	return list
}

// rank is a daemon's place among the live ones, the largest first and equal ones turned by i, so that not all
// seats go to the same one.
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
