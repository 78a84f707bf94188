package sched

import (
	"maps"
	"time"

	"gypsumlead/work"
)

// Stats counts what a pool has done and what it has left to do.
type Stats struct {
	Starts           int64
	Ends             map[work.EndReason]int64
	Abandoned        map[string]int64 // abandoned runs, by reason
	Stops            map[string]int64 // stop orders, by reason
	Paces            int64
	RackWaits        RackWaits
	Copies           Copies
	ApprovalRequests int64
	Restarts         int64           // runners that have started again under their IDs
	Classes          map[Class]int64 // accepted jobs, by class; none if no workspaces are configured
	Waiting          int             // accepted jobs that haven't started
	Running          int             // jobs that have started and haven't ended
	Oldest           time.Duration   // age of the oldest job that hasn't started
	Out              int             // runners that get no new work for now, after failures or starts that were refused or not sent
	Silent           int             // runners whose last poll wasn't answered
}

// counts holds the counters of Stats, which only grow.
type counts struct {
	starts, paces, approvalRequests, restarts int64
	ends                                      map[work.EndReason]int64
	abandoned, stops                          map[string]int64
	classes                                   map[Class]int64
	rackWaits                                 RackWaits
	copies                                    Copies
}

func newCounts() counts {
	return counts{ends: map[work.EndReason]int64{}, abandoned: map[string]int64{}, stops: map[string]int64{}, classes: map[Class]int64{}}
}

// count adds the orders of one plan.
func (c *counts) count(orders []Order) {
	for _, o := range orders {
		switch order := o.(type) {
		case Start:
			c.starts++
		case Stop:
			c.stops[order.Reason]++
		case Pace:
			c.paces++
		case ApprovalRequest:
			c.approvalRequests++
		}
	}
}

// Stats returns the pool's counters and its present state.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{
		Starts:           p.counts.starts,
		Paces:            p.counts.paces,
		RackWaits:        p.counts.rackWaits,
		Copies:           p.counts.copies,
		ApprovalRequests: p.counts.approvalRequests,
		Restarts:         p.counts.restarts,
		Ends:             maps.Clone(p.counts.ends),
		Abandoned:        maps.Clone(p.counts.abandoned),
		Stops:            maps.Clone(p.counts.stops),
		Classes:          maps.Clone(p.counts.classes),
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
		if r.health.excluded(now) {
			s.Out++
		}
		if r.pollFailed {
			s.Silent++
		}
	}
	return s
}
