package app

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"gypsumlead/fault"
	"gypsumlead/job"
	"gypsumlead/journal"
	"gypsumlead/lease"
	"gypsumlead/pool"
	"gypsumlead/record"
	"gypsumlead/wave"
)

const (
	archiveEvery = 10 * time.Minute
	idleEvery    = 10 * time.Second // between looks at a pool that has no wave
)

// stepperOf returns what a duty does under a tenure.
func (a *App) stepperOf(t lease.Tenure) stepper {
	switch t.Duty {
	case dutyJournal:
		return a.journalStepper()
	case dutyAudit:
		return a.auditStepper()
	}
	if name, ok := strings.CutPrefix(t.Duty, dutySpare); ok {
		return newLending(a, name, t).step
	}
	return a.poolStepper(strings.TrimPrefix(t.Duty, dutyPool), t)
}

// journalStepper keeps the log of the configuration short.
func (a *App) journalStepper() stepper {
	c := &journal.Compaction{
		Table:   a.platform.Table,
		Objects: a.platform.Objects,
		State:   a.state,
		Long:    journal.LongDefault,
		Short:   journal.ShortDefault,
	}
	return func(ctx context.Context) error {
		_, err := c.Step(ctx)
		return err
	}
}

// auditStepper moves old entries of the audit trail into the object store, now and then.
func (a *App) auditStepper() stepper {
	var next time.Time
	return func(ctx context.Context) error {
		now := time.Now()
		if now.Before(next) {
			return nil
		}
		next = now.Add(archiveEvery)
		_, err := a.trail.Archive(ctx, now.Add(-a.set.Duties.Keep))
		return err
	}
}

// poolStepper steps the waves and the jobs of one pool.
func (a *App) poolStepper(name string, t lease.Tenure) stepper {
	waves := wave.NewDriver(name, wave.Parts{
		Table:     a.platform.Table,
		Writer:    a.writer,
		Instances: a.platform.Instances,
		Entries:   a.peers,
		Lease:     t,
		View:      func() pool.View { return a.poolView(name) },
		Waves:     func() []string { return a.wavesOf(name) },
	}, wave.WithActor("wave@"+a.set.Instance), wave.WithLog(a.log))
	jobs := job.NewDriver(name, a.platform.Table, &poolWorkers{a.platform.Workers, a, name}, &jobRecords{a}, hold{t}, job.WithLog(a.log))
	var known []string
	var next time.Time
	return func(ctx context.Context) error {
		var err error
		if names := a.wavesOf(name); !waves.Idle() || !slices.Equal(names, known) || !time.Now().Before(next) {
			err = waves.Step(ctx)
			known = names
			next = time.Now().Add(idleEvery)
		}
		if p := jobs.Pool(); p != nil && p.Count().Jobs == 0 && !a.runsJobs(name) {
			return err
		}
		return joined(err, jobs.Step(ctx))
	}
}

// joined returns both errors under the kind of the first.
func joined(first, second error) error {
	if first == nil || second == nil {
		return errors.Join(first, second)
	}
	return fault.Wrap(fault.KindOf(first), errors.Join(first, second), "waves and jobs")
}

// wavesOf names the waves in force that cover a pool.
func (a *App) wavesOf(pool string) []string {
	var out []string
	for e, w := range journal.Live[record.Wave](a.state) {
		if w.Covers(pool) {
			out = append(out, e.Name)
		}
	}
	return out
}

// runsJobs tells whether any job in force is meant for the pool.
func (a *App) runsJobs(pool string) bool {
	for _, j := range journal.Live[record.Job](a.state) {
		if j.Pool == pool {
			return true
		}
	}
	return false
}
