package job_test

import (
	"context"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
	jobtrial "gypsumlead/trial/job"
)

// mortal is one process's way to the platform: it can be killed between any two calls, and
// paused right before a start.
type mortal struct {
	table   backing.Table
	workers backing.Workers
	fuse    int // calls until the process is killed; 0: never
	dead    bool
	pause   func() // called once before the next start
}

func newMortal(w *jobtrial.World) *mortal {
	return &mortal{table: w.Truth.Table, workers: w.Watch}
}

func (m *mortal) call() error {
	if m.fuse > 0 {
		m.fuse--
		m.dead = m.fuse == 0
	}
	if m.dead {
		return fault.New(fault.StoreDown, "the process is killed")
	}
	return nil
}

func (m *mortal) Read(ctx context.Context, keys ...string) ([]backing.Row, error) {
	if err := m.call(); err != nil {
		return nil, err
	}
	return m.table.Read(ctx, keys...)
}

func (m *mortal) Scan(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	if err := m.call(); err != nil {
		return nil, err
	}
	return m.table.Scan(ctx, prefix, after, limit)
}

func (m *mortal) Commit(ctx context.Context, tx backing.Tx) error {
	if err := m.call(); err != nil {
		return err
	}
	return m.table.Commit(ctx, tx)
}

func (m *mortal) Workers(ctx context.Context) ([]backing.Worker, error) {
	if err := m.call(); err != nil {
		return nil, err
	}
	return m.workers.Workers(ctx)
}

func (m *mortal) Start(ctx context.Context, t backing.Task) error {
	if err := m.call(); err != nil {
		return err
	}
	if p := m.pause; p != nil {
		m.pause = nil
		p()
	}
	return m.workers.Start(ctx, t)
}

func (m *mortal) Act(ctx context.Context, task string, epoch int64, act backing.TaskAct, until time.Time) error {
	if err := m.call(); err != nil {
		return err
	}
	return m.workers.Act(ctx, task, epoch, act, until)
}

func (m *mortal) Reports(ctx context.Context, worker string) ([]backing.Report, error) {
	if err := m.call(); err != nil {
		return nil, err
	}
	return m.workers.Reports(ctx, worker)
}
