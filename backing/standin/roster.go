package standin

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/wire"
)

// Roster is the stand-in's list of instances for those who ask often.
type Roster struct {
	list    *Instances
	workers *Workers
	epoch   string

	mu      sync.Mutex
	version int64
	rows    map[string]rosterRow
	whole   []backing.Instance // as of version
}

// rosterRow is one instance as it was last published; a removed one is kept for those who know it.
type rosterRow struct {
	backing.Instance
	version int64
	removed bool
}

func newRoster(list *Instances, workers *Workers) *Roster {
	return &Roster{list: list, workers: workers, epoch: rand.Text(), rows: map[string]rosterRow{}}
}

// Roster returns the lagging list with Seen left out.
func (r *Roster) Roster(ctx context.Context, _ backing.Stamp) ([]backing.Instance, backing.Stamp, error) {
	if err := r.refresh(ctx); err != nil {
		return nil, backing.Stamp{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.whole, backing.Stamp{Epoch: r.epoch, Version: r.version}, nil
}

// Look returns the listed rows of the named instances.
func (r *Roster) Look(ctx context.Context, ids ...string) ([]backing.Instance, error) {
	list, err := r.list.List(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(list, func(in backing.Instance) bool { return !slices.Contains(ids, in.ID) }), nil
}

// LookWorkers returns the named workers.
func (r *Roster) LookWorkers(ctx context.Context, ids ...string) ([]backing.Worker, error) {
	list, err := r.workers.Workers(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(list, func(w backing.Worker) bool { return !slices.Contains(ids, w.ID) }), nil
}

// delta returns what has changed since a stamp.
func (r *Roster) delta(ctx context.Context, known backing.Stamp) (wire.Delta, error) {
	if err := r.refresh(ctx); err != nil {
		return wire.Delta{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d := wire.Delta{Stamp: backing.Stamp{Epoch: r.epoch, Version: r.version}}
	if known.Epoch != r.epoch || known.Version > r.version {
		d.Whole = true
		d.Changed = r.whole
		return d, nil
	}
	for id, row := range r.rows {
		switch {
		case row.version <= known.Version:
		case row.removed:
			d.Removed = append(d.Removed, id)
		default:
			d.Changed = append(d.Changed, row.Instance)
		}
	}
	return d, nil
}

// refresh publishes what has changed in the lagging list.
func (r *Roster) refresh(ctx context.Context) error {
	list, err := r.list.List(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	listed := make(map[string]bool, len(list))
	for i := range list {
		list[i].Seen = time.Time{}
		listed[list[i].ID] = true
		changed = r.publish(list[i].ID, rosterRow{Instance: list[i]}) || changed
	}
	for id, row := range r.rows {
		if !listed[id] {
			changed = r.publish(id, rosterRow{Instance: row.Instance, removed: true}) || changed
		}
	}
	if changed {
		r.whole = list
	}
	return nil
}

// publish puts a row under a new version if it differs from the one published last.
func (r *Roster) publish(id string, row rosterRow) bool {
	old, ok := r.rows[id]
	if ok && old.Instance == row.Instance && old.removed == row.removed {
		return false
	}
	r.version++
	row.version = r.version
	r.rows[id] = row
	return true
}
