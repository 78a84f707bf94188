package api

import (
	"context"

	"gypsumlead/fault"
	"gypsumlead/job"
	"gypsumlead/record"
)

// checkReferences refuses a record that names another one that isn't there.
func (h *Handler) checkReferences(ctx context.Context, r record.Record) error {
	switch r := r.(type) {
	case *record.Service:
		return h.demandPool(r.Pool)
	case *record.Wave:
		return h.demandPools(r.Pools)
	case *record.Job:
		return h.checkJob(ctx, r)
	case *record.Team:
		for _, q := range r.Quotas {
			if err := h.demandPools([]string{q.Pool}); q.Pool != "" && err != nil {
				return err
			}
		}
	}
	return nil
}

// checkJob refuses a job that can never run, as far as the workers are known; the holder of the
// pool's duty goes on to look at it.
func (h *Handler) checkJob(ctx context.Context, j *record.Job) error {
	if err := h.demandPool(j.Pool); err != nil {
		return err
	}
	e, ok := h.state.Get(record.Key{Kind: record.KindTeam, Name: j.Team})
	if !ok {
		return fault.New(fault.Missing, "there is no team/%s: make it first", j.Team)
	}
	var team record.Team
	if err := record.Decode(e, &team); err != nil {
		return err
	}
	workers, err := h.work(ctx, j.Pool)
	if err != nil {
		return err
	}
	return job.Admit(*j, job.ShapesOf(workers), team)
}

func (h *Handler) demandPools(names []string) error {
	for _, name := range names {
		if err := h.demandPool(name); err != nil {
			return err
		}
	}
	return nil
}

func (h *Handler) demandPool(name string) error {
	if _, ok := h.state.Get(record.Key{Kind: record.KindPool, Name: name}); !ok {
		return fault.New(fault.Missing, "there is no pool/%s: make it first", name)
	}
	return nil
}

// checkUnused refuses to delete a pool that services or instances still refer to.
func (h *Handler) checkUnused(key record.Key) error {
	if key.Kind != record.KindPool {
		return nil
	}
	for _, e := range h.state.List(record.KindService) {
		var s record.Service
		if err := record.Decode(e, &s); err != nil {
			return err
		}
		if s.Pool == key.Name {
			return fault.New(fault.Conflict, "%s is the pool of %s: change or delete that first", key, e.Key())
		}
	}
	for _, e := range h.state.List(record.KindMember) {
		var m record.Member
		if err := record.Decode(e, &m); err != nil {
			return err
		}
		if m.Pool == key.Name || m.Home == key.Name {
			return fault.New(fault.Conflict, "instance %s belongs to %s: move it first", e.Name, key)
		}
	}
	return nil
}
