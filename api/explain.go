package api

import (
	"context"
	"slices"
	"strings"
	"time"

	"gypsumlead/api/oas"
	"gypsumlead/audit"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// Inputs of the jobs' entries that name workers: one worker, or tasks each behind which "@" and its worker stand.
const (
	inputWorker = "worker"
	inputTasks  = "tasks"
)

// Explain returns every decision on something.
func (h *Handler) Explain(ctx context.Context, p oas.ExplainParams) (*oas.ExplainOK, error) {
	entries, err := h.trail.Read(ctx, audit.Subject{Kind: string(p.Kind), Name: p.Name}, time.Time{}, time.Time{})
	if err != nil {
		return nil, err
	}
	if p.Kind == oas.ExplainKindInstance {
		more, err := h.placements(ctx, p.Name)
		if err != nil {
			return nil, err
		}
		entries = append(entries, more...)
		slices.SortStableFunc(entries, func(x, y audit.Entry) int { return x.At.Compare(y.At) })
	}
	out := &oas.ExplainOK{Entries: make([]oas.Entry, len(entries))}
	for i, e := range entries {
		out.Entries[i] = entryOf(e)
	}
	return out, nil
}

// placements returns the decisions on tasks on a worker. They stand under their jobs, for an
// entry a worker would multiply the rows of a flood of tasks; so the jobs in force in the
// worker's pool are looked through.
func (h *Handler) placements(ctx context.Context, worker string) ([]audit.Entry, error) {
	pool, err := h.poolOf(worker)
	if err != nil || pool == "" {
		return nil, err
	}
	var out []audit.Entry
	for e, j := range journal.Live[record.Job](h.state) {
		if j.Pool != pool {
			continue
		}
		entries, err := h.trail.Read(ctx, audit.Subject{Kind: string(record.KindJob), Name: e.Name}, time.Time{}, time.Time{})
		if err != nil {
			return nil, err
		}
		for _, one := range entries {
			if concerns(one, worker) {
				out = append(out, one)
			}
		}
	}
	return out, nil
}

// concerns tells whether a job's entry names a worker.
func concerns(e audit.Entry, worker string) bool {
	for _, in := range e.Inputs {
		switch in.Name {
		case inputWorker:
			if in.Value == worker {
				return true
			}
		case inputTasks:
			if slices.ContainsFunc(strings.Fields(in.Value), func(t string) bool { return strings.HasSuffix(t, "@"+worker) }) {
				return true
			}
		}
	}
	return false
}
