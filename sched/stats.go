package sched

import (
	"maps"
	"time"

	"gypsumlead/work"
)

// Stats is what a pool has done and has to do.
type Stats struct {
	Starts           int64
	Ends             map[work.EndReason]int64
	Abandoned        map[string]int64 // runs that are no longer counted on, by reason
	Stops            map[string]int64 // orders to stop, by reason
	Paces            int64
	ApprovalRequests int64
	Waiting          int           // accepted jobs that haven't begun
	Running          int           // jobs that have begun and aren't over
	Oldest           time.Duration // age of the oldest job that hasn't begun
	Out              int           // runners that get no work because of failures
	Silent           int           // runners that don't answer
}

// counts are the parts of Stats that only grow.
type counts struct {
	starts, paces, asks int64
	ends                map[work.EndReason]int64
	givenUp, stops      map[string]int64
}

func newCounts() counts {
	return counts{ends: map[work.EndReason]int64{}, givenUp: map[string]int64{}, stops: map[string]int64{}}
}

// count counts the orders of one plan.
func (c *counts) count(orders []Order) {
	for _, o := range orders {
		switch o := o.(type) {
		case Start:
			c.starts++
		case Stop:
			c.stops[o.Reason]++
		case Pace:
			c.paces++
		case ApprovalRequest:
			c.asks++
		}
	}
}

// Stats returns what the pool has done and has to do.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{
		Starts:           p.counts.starts,
		Paces:            p.counts.paces,
		ApprovalRequests: p.counts.asks,
		Ends:             maps.Clone(p.counts.ends),
		Abandoned:        maps.Clone(p.counts.givenUp),
		Stops:            maps.Clone(p.counts.stops),
	}
	for _, j := range p.live {
		switch j.state {
		case work.Queued:
			s.Waiting++
			s.Oldest = max(s.Oldest, now.Sub(j.accepted))
		case work.Running:
			s.Running++
		case work.Done, work.Failed, work.Cancelled:
		}
	}
	for _, r := range p.runners {
		if r.health.out(now) {
			s.Out++
		}
		if r.missed {
			s.Silent++
		}
	}
	return s
}
