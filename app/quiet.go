package app

import (
	"context"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/peer/wire"
	"gypsumlead/record"
)

// Quiet asks an entry how far its configuration is and what it has in progress on a drained
// boot; it implements wave.Entries.
func (p *peers) Quiet(ctx context.Context, entry backing.Instance, instance, boot string, seq int64) (int64, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := &wire.Quiet{Instance: instance, Boot: boot, Seq: seq}
	resp, err := p.ask(ctx, entry, &wire.Request{Body: &wire.Request_Quiet{Quiet: q}})
	if err != nil {
		return 0, 0, err
	}
	return resp.GetQuieted().GetSeq(), resp.GetQuieted().GetProgress(), nil
}

// quiet tells how far the routes follow the configuration, and then what is in progress: read
// the other way round, an exchange could start between the two.
func (p *peers) quiet(q *wire.Quiet) (*wire.Response, error) {
	seq := p.router.seq.Load()
	if seq >= q.GetSeq() && !p.holdsDrain(q.GetInstance(), q.GetBoot()) {
		return nil, fault.New(fault.Conflict, "entry %s has change %d in force, and no drain of boot %s of instance %s", p.set.Instance, seq, q.GetBoot(), q.GetInstance())
	}
	if other, ok := p.sendsUnderOther(q.GetInstance(), q.GetBoot()); ok {
		return nil, fault.New(fault.Conflict, "entry %s still knows instance %s under boot %s and may send to it", p.set.Instance, q.GetInstance(), other)
	}
	n := p.fleet.InProgressAny(q.GetInstance())
	return &wire.Response{Body: &wire.Response_Quieted{Quieted: &wire.Quieted{Seq: seq, Progress: n}}}, nil
}

// sendsUnderOther returns another boot than the drained one under which this entry would send to
// the instance; its list lags, or the instance has rebooted by itself.
func (p *peers) sendsUnderOther(instance, boot string) (string, bool) {
	for _, t := range p.router.targets() {
		if t.Instance.ID == instance && t.Instance.Boot != boot && !t.Leaving {
			return t.Instance.Boot, true
		}
	}
	return "", false
}

// holdsDrain tells whether the drain of a boot is in force here.
func (p *peers) holdsDrain(instance, boot string) bool {
	d, ok := journal.Find[record.Drain](p.router.state, instance)
	return ok && d.Boot == boot
}
