package app

import (
	"cmp"
	"context"
	"slices"

	"gypsumlead/backing"
	"gypsumlead/job"
	"gypsumlead/journal"
	"gypsumlead/lease"
	"gypsumlead/record"
)

// hold is a tenure as the jobs' driver sees it.
type hold struct{ lease.Tenure }

// Epoch returns the fencing epoch.
func (h hold) Epoch() int64 { return h.Tenure.Epoch }

// Alive tells whether the lease is surely held right now.
func (h hold) Alive() bool { return h.Check() == nil }

// Fence conditions a transaction on the epoch.
func (h hold) Fence() backing.Op { return h.Cond() }

// jobRecords gives the jobs' driver the configuration in force.
type jobRecords struct{ app *App }

// View returns what the configuration says of a pool of workers.
func (r *jobRecords) View(pool string) (job.View, bool) {
	state := r.app.state
	v := job.View{Version: state.Seq(), Teams: map[string]record.Team{}}
	for e, j := range journal.Live[record.Job](state) {
		if j.Pool == pool {
			v.Jobs = append(v.Jobs, job.Spec{Name: e.Name, Version: e.Version, Job: j})
		}
	}
	for e, t := range journal.Live[record.Team](state) {
		v.Teams[e.Name] = t
	}
	v.Members = r.app.membersOf(pool)
	slices.SortFunc(v.Jobs, func(x, y job.Spec) int { return cmp.Compare(x.Version, y.Version) })
	return v, v.Version > 0
}

// poolWorkers is the platform's workers as the holder of one pool's duty asks for them: only
// those of the pool, for the whole list grows with the fleet.
type poolWorkers struct {
	allWorkers
	app  *App
	name string
}

// allWorkers is the platform's interface under a name that leaves its method's name free.
type allWorkers interface{ backing.Workers }

// Workers returns the workers of the pool.
func (w *poolWorkers) Workers(ctx context.Context) ([]backing.Worker, error) {
	return w.app.workersOf(ctx, w.name)
}

// workersOf returns the workers of a pool as the platform last heard of them.
func (a *App) workersOf(ctx context.Context, pool string) ([]backing.Worker, error) {
	return a.platform.Roster.LookWorkers(ctx, a.membersOf(pool)...)
}
