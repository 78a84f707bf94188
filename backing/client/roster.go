package client

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"gypsumlead/backing"
	"gypsumlead/backing/wire"
)

// Roster is the list of instances over HTTP for those who ask often; it keeps the list and asks
// for what has changed.
type Roster struct {
	c *conn

	mu    sync.Mutex
	stamp backing.Stamp
	list  []backing.Instance // sorted by ID; replaced, never altered
}

// Roster returns the instances with Seen left out, and the list's stamp.
func (r *Roster) Roster(ctx context.Context, _ backing.Stamp) ([]backing.Instance, backing.Stamp, error) {
	r.mu.Lock()
	known := r.stamp
	r.mu.Unlock()
	var d wire.Delta
	if err := r.c.call(ctx, wire.PathRoster, wire.Roster{Known: known}, &d); err != nil {
		return nil, backing.Stamp{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// Of two answers that crossed, the one to an older stamp is of no use any more.
	if r.stamp == known && d.Stamp != known {
		r.list = merge(r.list, d)
		r.stamp = d.Stamp
	}
	return r.list, r.stamp, nil
}

// Look returns the newest signs of life of the named instances.
func (r *Roster) Look(ctx context.Context, ids ...string) ([]backing.Instance, error) {
	var a wire.Instances
	if err := r.c.call(ctx, wire.PathLook, wire.Look{Instances: ids}, &a); err != nil {
		return nil, err
	}
	return a.Instances, nil
}

// LookWorkers returns the named workers that exist.
func (r *Roster) LookWorkers(ctx context.Context, ids ...string) ([]backing.Worker, error) {
	var a wire.Workers
	if err := r.c.call(ctx, wire.PathLookWorkers, wire.Look{Instances: ids}, &a); err != nil {
		return nil, err
	}
	return a.Workers, nil
}

// merge returns a new list with the delta in it.
func merge(list []backing.Instance, d wire.Delta) []backing.Instance {
	byID := map[string]backing.Instance{}
	if !d.Whole {
		for _, in := range list {
			byID[in.ID] = in
		}
	}
	for _, in := range d.Changed {
		byID[in.ID] = in
	}
	for _, id := range d.Removed {
		delete(byID, id)
	}
	out := make([]backing.Instance, 0, len(byID))
	for _, in := range byID {
		out = append(out, in)
	}
	slices.SortFunc(out, func(x, y backing.Instance) int { return cmp.Compare(x.ID, y.ID) })
	return out
}
