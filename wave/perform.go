package wave

import (
	"context"

	"gypsumlead/fault"
	"gypsumlead/pool"
)

// perform does the acts that are due and returns what came of them. Only a lost lease or a store
// that is down ends it early; the other faults of one act leave its instance as it is.
func (d *Driver) perform(ctx context.Context, s snapshot, v pool.View) ([]Event, error) {
	var events []Event
	round := d.newRound(v)
	for _, a := range s.part.Due(s.stopped()) {
		e, err := d.performOne(ctx, s, round, a)
		if fault.Is(err, fault.Fenced) {
			return nil, err
		}
		if err != nil {
			return events, err
		}
		if e != nil {
			events = append(events, e)
		}
	}
	return events, nil
}

func (d *Driver) performOne(ctx context.Context, s snapshot, r *round, a Act) (Event, error) {
	switch a := a.(type) {
	case Tell:
		return d.tell(ctx, s, a)
	case Ask:
		return r.ask(ctx, s, a)
	case Restart:
		return d.restart(ctx, s, r.view, a)
	}
	return nil, fault.New(fault.Breach, "act %T is unknown", a)
}

// tell marks the boot as leaving at the platform.
func (d *Driver) tell(ctx context.Context, s snapshot, a Tell) (Event, error) {
	if err := d.lease.Check(); err != nil {
		return nil, err
	}
	if err := d.insts.Drain(ctx, a.Instance, a.Boot); err != nil && !fault.Is(err, fault.Fenced) {
		it, _ := s.part.Item(a.Instance)
		return refused(it, "drain", err)
	}
	return Told{a.Instance}, nil
}

// restart asks for the reboot, checking the lease right before: a holder that was paused here
// wakes to a refusal, or to a platform that has another boot.
func (d *Driver) restart(ctx context.Context, s snapshot, v pool.View, a Restart) (Event, error) {
	it, _ := s.part.Item(a.Instance)
	if it.State == Rebooting && !d.again(a, v) {
		return nil, nil
	}
	if err := d.lease.Check(); err != nil {
		return nil, err
	}
	if err := d.insts.Reboot(ctx, rebootOf(a)); err != nil && !fault.Is(err, fault.Fenced) {
		return refused(it, "reboot", err)
	}
	d.asked[a.Instance] = d.now()
	if it.State == Rebooting {
		return nil, nil
	}
	return Rebooted{a.Instance}, nil
}

// again tells whether a reboot left no trace for so long that it is asked for once more.
func (d *Driver) again(a Restart, v pool.View) bool {
	in, ok := v.Find(a.Instance)
	asked := d.asked[a.Instance]
	return ok && in.Boot == a.Boot && d.now().Sub(asked) > d.limits.Again && in.Seen.After(asked.Add(v.Lag))
}

// refused turns a refusal of the platform into a reason to wait.
func refused(it Item, act string, err error) (Event, error) {
	return wait(it, "the platform refuses to "+act+" it: "+fault.KindOf(err).String()), nil
}
