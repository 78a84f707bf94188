package app

import (
	"context"

	"gypsumlead/fault"
	"gypsumlead/peer/wire"
	"gypsumlead/platform"
	"gypsumlead/record"
)

// Quiet asks an entry how far its configuration is and what it has in progress on a drained
// boot; it implements wave.Entries. An entry without a session here is asked through a daemon of
// its data centre, which all have sessions with each other.
func (p *peers) Quiet(ctx context.Context, entry platform.Instance, instance, boot string, seq int64) (int64, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := &wire.Quiet{Instance: instance, Boot: boot, Seq: seq, Entry: entry.ID}
	resp, err := p.askQuiet(ctx, entry, q)
	if err != nil {
		return 0, 0, err
	}
	return resp.GetQuieted().GetSeq(), resp.GetQuieted().GetProgress(), nil
}

func (p *peers) askQuiet(ctx context.Context, entry platform.Instance, q *wire.Quiet) (*wire.Response, error) {
	if entry.ID == p.set.Instance {
		return p.quiet(q)
	}
	req := &wire.Request{Body: &wire.Request_Quiet{Quiet: q}}
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

// serveQuiet answers for this daemon, or passes the question on to one of the same data centre.
func (p *peers) serveQuiet(ctx context.Context, q *wire.Quiet) (*wire.Response, error) {
	if q.GetEntry() == p.set.Instance || q.GetEntry() == "" {
		return p.quiet(q)
	}
	return p.mesh.Call(ctx, q.GetEntry(), &wire.Request{Body: &wire.Request_Quiet{Quiet: q}})
}

// quiet tells how far the routes follow the configuration, and then what is in progress: read
// the other way round, an exchange could start between the two.
func (p *peers) quiet(q *wire.Quiet) (*wire.Response, error) {
	seq := p.router.seq.Load()
	if seq >= q.GetSeq() && !p.holdsDrain(q.GetInstance(), q.GetBoot()) {
		return nil, fault.New(fault.Conflict, "entry %s has change %d in force, and no drain of boot %s of instance %s", p.set.Instance, seq, q.GetBoot(), q.GetInstance())
	}
	n := p.fleet.InProgress(q.GetInstance(), q.GetBoot())
	return &wire.Response{Body: &wire.Response_Quieted{Quieted: &wire.Quieted{Seq: seq, Progress: n}}}, nil
}

// holdsDrain tells whether the drain of a boot is in force here.
func (p *peers) holdsDrain(instance, boot string) bool {
	e, ok := p.router.state.Get(record.Key{Kind: record.KindDrain, Name: instance})
	if !ok {
		return false
	}
	var d record.Drain
	return record.Decode(e, &d) == nil && d.Boot == boot
}
