package app

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/peer"
	"gypsumlead/peer/wire"
	"gypsumlead/roster"
	"gypsumlead/runner"
	"gypsumlead/share"
	"gypsumlead/spread"
)

const (
	farPeers    = 2 // sessions to each other data centre
	callTimeout = 2 * time.Second
)

// peers answers other daemons and chooses whom to keep sessions with.
type peers struct {
	common
	mesh    *peer.Mesh
	spread  *spread.Spreader
	roster  *roster.Roster
	fleet   *runner.Fleet
	gate    *share.Gate
	router  *router
	leaving func() bool
}

// ServePeer answers one request of another daemon.
func (p *peers) ServePeer(ctx context.Context, from peer.Identity, req *wire.Request) (*wire.Response, error) {
	if to := req.GetEntry(); to != "" && to != p.set.Instance {
		return p.mesh.Call(ctx, to, req)
	}
	switch b := req.GetBody().(type) {
	case *wire.Request_Ping:
		p.spread.Saw(from.Instance, b.Ping.GetSeq())
		return &wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{Seq: p.spread.Seq(), Leaving: p.leaving()}}}, nil
	case *wire.Request_Push:
		ack, err := p.spread.Push(from.Instance, b.Push)
		return &wire.Response{Body: &wire.Response_Ack{Ack: ack}}, err
	case *wire.Request_Pull:
		pulled, err := p.spread.Pull(b.Pull)
		return &wire.Response{Body: &wire.Response_Pulled{Pulled: pulled}}, err
	case *wire.Request_Quiet:
		return p.quiet(b.Quiet)
	case *wire.Request_Leave:
		p.roster.Leave(b.Leave.GetInstance(), b.Leave.GetBoot())
		return &wire.Response{Body: &wire.Response_Ack{Ack: &wire.Ack{Seq: p.spread.Seq()}}}, nil
	case *wire.Request_Load:
		return p.load(), nil
	case *wire.Request_Roster:
		return rosterOf(p.roster)
	}
	return nil, fault.New(fault.Invalid, "peer %s asked for something that this daemon doesn't know", from.Instance)
}

// ask asks another entry, or this one. An entry without a session here is asked through a daemon
// of its data centre, which all have sessions with each other.
func (p *peers) ask(ctx context.Context, entry backing.Instance, req *wire.Request) (*wire.Response, error) {
	req.Entry = entry.ID
	if entry.ID == p.set.Instance {
		return p.ServePeer(ctx, peer.Identity{Instance: p.set.Instance}, req)
	}
	resp, err := p.mesh.Call(ctx, entry.ID, req)
	if !fault.Is(err, fault.NoUpstream) {
		return resp, err
	}
	for _, near := range p.mesh.Peers() {
		if near.Centre == entry.Centre {
			return p.mesh.Call(ctx, near.Instance, req)
		}
	}
	return nil, err
}

// load tells how much of each pool callers ask for here.
func (p *peers) load() *wire.Response {
	out := &wire.Loaded{}
	for _, name := range p.gate.Pools() {
		a := &wire.Asked{Pool: name}
		for _, u := range p.gate.Usage(name) {
			a.Slots += u.Asked * u.Run.Seconds()
		}
		out.Pools = append(out.Pools, a)
	}
	return &wire.Response{Body: &wire.Response_Loaded{Loaded: out}}
}

// retarget chooses the daemons to keep sessions with from the roster and the settings.
func (p *peers) retarget() {
	p.mesh.SetTargets(chooseTargets(p.set.Instance, p.set.Centre, p.roster.Instances(), p.seeds()))
}

// seeds are the daemons of the settings.
func (p *peers) seeds() []peer.Target {
	var out []peer.Target
	for _, s := range p.set.Peers {
		out = append(out, peer.Target{Addr: s.Addr, Centre: s.Centre})
	}
	return out
}

// spreadLeave tells every peer that a boot of an instance is leaving.
func (p *peers) spreadLeave(ctx context.Context, id, boot string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.Request{Body: &wire.Request_Leave{Leave: &wire.Leave{Instance: id, Boot: boot}}}
	for _, who := range p.mesh.Peers() {
		if who.Centre != p.set.Centre {
			continue
		}
		if _, err := p.mesh.Call(ctx, who.Instance, req); err != nil {
			p.log.Debug("tell a peer of a leaving instance", zap.String("peer", who.Instance), zap.Error(err))
		}
	}
}

// chooseTargets takes all daemons of the own data centre and farPeers of each other one, by
// rendezvous hashing, so that the choice is stable and spread; without a roster the seeds serve.
func chooseTargets(self, centre string, list []backing.Instance, seeds []peer.Target) []peer.Target {
	byCentre := map[string][]peer.Target{}
	for _, in := range list {
		if in.Role == backing.RoleEntry && in.State != backing.StateGone && in.ID != self && in.Peer.IsValid() {
			byCentre[in.Centre] = append(byCentre[in.Centre], peer.Target{Instance: in.ID, Addr: in.Peer, Centre: in.Centre})
		}
	}
	if len(byCentre) == 0 {
		return seeds
	}
	var out []peer.Target
	for c, all := range byCentre {
		if c != centre {
			all = nearest(self, all)
		}
		out = append(out, all...)
	}
	slices.SortFunc(out, func(x, y peer.Target) int { return strings.Compare(x.Instance, y.Instance) })
	return out
}

// nearest keeps the farPeers targets with the highest hash together with self.
func nearest(self string, all []peer.Target) []peer.Target {
	weight := func(t peer.Target) uint64 { return xxhash.Sum64String(self + "/" + t.Instance) }
	slices.SortFunc(all, func(x, y peer.Target) int {
		if weight(x) > weight(y) {
			return -1
		}
		return 1
	})
	return all[:min(farPeers, len(all))]
}
