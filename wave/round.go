package wave

import (
	"context"
	"errors"
	"sync"

	"golang.org/x/sync/errgroup"

	"gypsumlead/backing"
	"gypsumlead/pool"
)

// round is one step's asking of the entries; an entry that doesn't answer once isn't asked again in it.
type round struct {
	driver  *Driver
	view    pool.View
	entries []backing.Instance

	mu     sync.Mutex
	silent map[string]bool
}

// newRound lists the entries that could send to an instance: all that the platform doesn't call gone.
func (d *Driver) newRound(v pool.View) *round {
	r := &round{driver: d, view: v, silent: map[string]bool{}}
	for _, in := range v.List() {
		if in.Role == backing.RoleEntry && in.State != backing.StateGone {
			r.entries = append(r.entries, in)
		}
	}
	return r
}

// ask asks the entries whose answer isn't known yet.
func (r *round) ask(ctx context.Context, s snapshot, a Ask) (Event, error) {
	d := r.driver
	it, _ := s.part.Item(a.Instance)
	if !r.view.Fresh(d.now()) || !r.view.At.After(it.Since.Add(r.view.Lag)) {
		// An entry that started before the drain may be missing from an older list.
		return wait(it, "the platform's list may not show every entry yet"), nil
	}
	whys := make([]string, len(r.entries))
	var g errgroup.Group
	g.SetLimit(max(1, d.limits.Parallel))
	for i, e := range r.entries {
		k := ack{a.Instance, a.Boot, e.ID, e.Boot}
		if d.acks[k] {
			continue
		}
		g.Go(func() error {
			whys[i] = r.askOne(ctx, e, a)
			return nil
		})
	}
	err := errors.Join(g.Wait(), ctx.Err())
	if err != nil {
		return nil, err
	}
	return r.sum(it, a, whys), nil
}

// askOne says why the entry isn't quiet; an empty text means that it is.
func (r *round) askOne(ctx context.Context, e backing.Instance, a Ask) string {
	if r.isSilent(e.ID) {
		return "entry " + e.ID + " doesn't answer"
	}
	d := r.driver
	ctx, cancel := context.WithTimeout(ctx, d.limits.Ask)
	defer cancel()
	have, progress, err := d.entries.Quiet(ctx, e, a.Instance, a.Boot, a.Seq)
	if err != nil {
		r.setSilent(e.ID)
		return "entry " + e.ID + " doesn't answer"
	}
	if have < a.Seq {
		return "entry " + e.ID + " doesn't have the drain in force"
	}
	if progress > 0 {
		return "entry " + e.ID + " has requests in progress"
	}
	return ""
}

// sum remembers who is quiet, and names the first entry that isn't.
func (r *round) sum(it Item, a Ask, whys []string) Event {
	first := ""
	for i, e := range r.entries {
		if whys[i] == "" {
			r.driver.acks[ack{a.Instance, a.Boot, e.ID, e.Boot}] = true
			continue
		}
		if first == "" {
			first = whys[i]
		}
	}
	if first == "" {
		return Quieted{a.Instance}
	}
	return wait(it, first)
}

// wait is the event that sets the item's reason, or none where it stands already.
func wait(it Item, why string) Event {
	if it.Why == why {
		return nil
	}
	return Waited{it.Instance, why}
}

func (r *round) isSilent(entry string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent[entry]
}

func (r *round) setSilent(entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[entry] = true
}

func rebootOf(a Restart) backing.Reboot {
	return backing.Reboot{Instance: a.Instance, Boot: a.Boot}
}
