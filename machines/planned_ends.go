package machines

import "maps"

// leaderClaim is a machine's claim as one term of a service's leadership sees it.
type leaderClaim struct {
	service string
	term    int
	machine string
}

// notePlannedEnds tells a leader which machines have been claimed for an order, by any daemon and for a wave or a move:
// the ends of the runners that they have now are planned. Each claim is told once, as the machine may return to the pool
// with another runner, whose crash counts.
func (p *PoolManager) notePlannedEnds(leader Leader) {
	recent := p.RecentClaims()
	for machine, version := range recent {
		key := leaderClaim{leader.Service(), leader.Term(), machine}
		if p.claimsSeen[key] != version {
			p.claimsSeen[key] = version
			leader.SetEndPlanned(machine)
		}
	}
	maps.DeleteFunc(p.claimsSeen, func(key leaderClaim, _ int64) bool { return recent[key.machine] == 0 })
}
