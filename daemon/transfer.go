package daemon

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/leader"
	"gypsumlead/member"
)

// waiter is a larger daemon that a seat is to go to, and since when.
type waiter struct {
	name string
	at   time.Time
}

// surplus returns the seats that this daemon gives up to one that is much larger and has been live for a while.
func (d *Daemon) surplus(now time.Time) []*leader.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving || len(d.seats) == 0 {
		return nil
	}
	live := d.staying()
	plan := member.Assign(d.services(), live)
	var list []*leader.Leader
	for s, h := range d.seats {
		to := slices.IndexFunc(live, func(n member.Node) bool { return n.Name == plan[s] })
		if to < 0 || live[to].Weight < muchLarger*d.set.Weight {
			delete(d.larger, s)
			continue
		}
		since, ok := d.larger[s]
		if !ok || since.name != plan[s] {
			d.larger[s] = waiter{plan[s], now}
			continue
		}
		if now.Sub(since.at) > largerFor {
			delete(d.larger, s)
			d.log.Info("seat goes to a larger daemon", zap.String("service", s), zap.String("to", plan[s]))
			list = append(list, h)
		}
	}
	return list
}

// rank is a daemon's place among the live ones, the largest first and equal ones turned by i, so that not all
// seats go to the same one.
func rank(live []member.Node, name string, i int) int {
	me := slices.IndexFunc(live, func(n member.Node) bool { return n.Name == name })
	larger, equal, at := 0, 0, 0
	for k, n := range live {
		switch {
		case n.Weight > live[me].Weight:
			larger++
		case n.Weight == live[me].Weight:
			if k == me {
				at = equal
			}
			equal++
		}
	}
	return larger + (at+i)%equal
}
