package app

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/peer"
	"gypsumlead/peer/wire"
	"gypsumlead/roster"
)

const listTimeout = 2 * time.Second

// poller keeps the roster as new as the platform's list, or as a peer's where the platform doesn't answer.
type poller struct {
	common
	source backing.Roster
	roster *roster.Roster
	mesh   *peer.Mesh
	failed bool
	stamp  backing.Stamp // of the list that the roster has
}

// run looks at the list at each tick until ctx ends.
func (p *poller) run(ctx context.Context) error {
	tick := time.NewTicker(p.set.Sync.List)
	defer tick.Stop()
	for {
		p.look(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (p *poller) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	at := time.Now()
	list, stamp, err := p.source.Roster(ctx, p.stamp)
	if err == nil {
		p.failed = false
		if stamp != p.stamp {
			p.roster.Update(list, at)
		}
		p.stamp = stamp
		return
	}
	if !p.failed {
		p.log.Warn("read the platform's list of instances", zap.Error(err))
	}
	p.failed = true
	if p.roster.At().IsZero() {
		p.fromPeers(ctx)
	}
}

// fromPeers takes the first roster that a peer has; a daemon that starts while the platform is down needs one.
func (p *poller) fromPeers(ctx context.Context) {
	for _, who := range p.mesh.Peers() {
		resp, err := p.mesh.Call(ctx, who.Instance, &wire.Request{Body: &wire.Request_Roster{Roster: &wire.Roster{}}})
		if err != nil {
			p.log.Debug("ask a peer for its roster", zap.String("peer", who.Instance), zap.Error(err))
			continue
		}
		var list []backing.Instance
		if err := json.Unmarshal(resp.GetRostered().GetInstances(), &list); err != nil {
			p.log.Error("read a peer's roster", zap.String("peer", who.Instance), zap.Error(err))
			continue
		}
		if len(list) > 0 {
			// The age at the peer is unknown, so that any list of the platform replaces it.
			p.roster.Update(list, time.Unix(1, 0))
			return
		}
	}
}

// rosterOf is the answer to a peer that asks for the roster.
func rosterOf(r *roster.Roster) (*wire.Response, error) {
	data, err := json.Marshal(r.Instances())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode roster")
	}
	return &wire.Response{Body: &wire.Response_Rostered{Rostered: &wire.Rostered{Instances: data}}}, nil
}
