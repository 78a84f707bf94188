package runner

import (
	"sync/atomic"
	"time"
)

// counters count what the fleet did since it started.
type counters struct {
	dials     atomic.Int64
	reuses    atomic.Int64
	resends   atomic.Int64
	condemned atomic.Int64
	breaches  atomic.Int64
}

// Stats is a snapshot of the fleet.
type Stats struct {
	Dials     int64 // connections opened or tried
	Reuses    int64 // exchanges on a connection that had carried another
	Resends   int64 // further attempts of a request
	Condemned int64 // idle connections closed because another one went silent
	Breaches  int64 // invariants that did not hold
	Upstreams []UpstreamStats
}

// UpstreamStats is a snapshot of one upstream.
type UpstreamStats struct {
	Instance   string
	Boot       string
	Pool       string
	Leaving    bool
	InProgress int64
	Idle       int
	Fails      int  // failed dials in a row
	Single     bool // has sent surplus bytes, so that no connection to it is used again
}

// Stats returns the counts so far and the state of each upstream.
func (f *Fleet) Stats() Stats {
	s := Stats{
		Dials:     f.count.dials.Load(),
		Reuses:    f.count.reuses.Load(),
		Resends:   f.count.resends.Load(),
		Condemned: f.count.condemned.Load(),
		Breaches:  f.count.breaches.Load(),
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.pools {
		s.Upstreams = append(s.Upstreams, p.stats()...)
	}
	return s
}

// stats returns the state of the pool's upstreams.
func (p *pool) stats() []UpstreamStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]UpstreamStats, 0, len(p.members))
	for _, u := range p.members {
		out = append(out, UpstreamStats{
			Instance:   u.instance.ID,
			Boot:       u.instance.Boot,
			Pool:       p.name,
			Leaving:    u.leaving,
			InProgress: u.inProgress,
			Idle:       len(u.idle),
			Fails:      u.fails,
			Single:     time.Now().Before(u.single),
		})
	}
	return out
}
