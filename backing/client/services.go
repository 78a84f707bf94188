package client

import (
	"context"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/wire"
	"gypsumlead/fault"
)

// Table is the table service over HTTP.
type Table struct{ c *conn }

// Read returns one row a key, in the order of the keys.
func (t *Table) Read(ctx context.Context, keys ...string) ([]backing.Row, error) {
	var a wire.Rows
	if err := t.c.call(ctx, wire.PathRead, wire.Read{Keys: keys}, &a); err != nil {
		return nil, err
	}
	if len(a.Rows) != len(keys) {
		return nil, fault.New(fault.StoreDown, "the platform answered %d rows to %d keys", len(a.Rows), len(keys))
	}
	for i, r := range a.Rows {
		if r.Key != keys[i] {
			return nil, fault.New(fault.StoreDown, "the platform answered row %s to key %s", r.Key, keys[i])
		}
	}
	return a.Rows, nil
}

// Scan returns at most limit rows in the order of their keys.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	var a wire.Rows
	err := t.c.call(ctx, wire.PathScan, wire.Scan{Prefix: prefix, After: after, Limit: limit}, &a)
	if err != nil {
		return nil, err
	}
	return a.Rows, nil
}

// Commit asks once for the transaction.
func (t *Table) Commit(ctx context.Context, tx backing.Tx) error {
	return t.c.call(ctx, wire.PathCommit, wire.EncodeTx(tx), &wire.None{})
}

// Objects is the object store over HTTP.
type Objects struct{ c *conn }

// Get returns the object's bytes.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var a wire.Object
	if err := o.c.call(ctx, wire.PathGet, wire.Get{Name: name}, &a); err != nil {
		return nil, err
	}
	return a.Data, nil
}

// Put stores data under name.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	return o.c.call(ctx, wire.PathPut, wire.Object{Name: name, Data: data}, &wire.None{})
}

// List returns the sorted names that start with prefix.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	var a wire.Names
	if err := o.c.call(ctx, wire.PathList, wire.List{Prefix: prefix}, &a); err != nil {
		return nil, err
	}
	return a.Names, nil
}

// Instances is the list of instances over HTTP.
type Instances struct{ c *conn }

// List returns the instances as the platform last heard of them.
func (s *Instances) List(ctx context.Context) ([]backing.Instance, error) {
	var a wire.Instances
	if err := s.c.call(ctx, wire.PathInstances, wire.None{}, &a); err != nil {
		return nil, err
	}
	return a.Instances, nil
}

// Drain marks the instance leaving while boot is its boot.
func (s *Instances) Drain(ctx context.Context, id, boot string) error {
	return s.c.call(ctx, wire.PathDrain, wire.Drain{Instance: id, Boot: boot}, &wire.None{})
}

// Reboot restarts the instance while r.Boot is its boot.
func (s *Instances) Reboot(ctx context.Context, r backing.Reboot) error {
	return s.c.call(ctx, wire.PathReboot, r, &wire.None{})
}

// Workers is the workers over HTTP.
type Workers struct{ c *conn }

// Workers returns the workers as the platform last heard of them.
func (s *Workers) Workers(ctx context.Context) ([]backing.Worker, error) {
	var a wire.Workers
	if err := s.c.call(ctx, wire.PathWorkers, wire.None{}, &a); err != nil {
		return nil, err
	}
	return a.Workers, nil
}

// Start asks once for the task to be started.
func (s *Workers) Start(ctx context.Context, t backing.Task) error {
	return s.c.call(ctx, wire.PathStart, t, &wire.None{})
}

// Act asks once for act to be done to the task.
func (s *Workers) Act(ctx context.Context, task string, epoch int64, act backing.TaskAct, until time.Time) error {
	return s.c.call(ctx, wire.PathAct, wire.Act{Task: task, Epoch: epoch, Act: act, Until: until}, &wire.None{})
}

// Reports returns the reports of a worker's tasks.
func (s *Workers) Reports(ctx context.Context, worker string) ([]backing.Report, error) {
	var a wire.Reports
	if err := s.c.call(ctx, wire.PathReports, wire.Of{Worker: worker}, &a); err != nil {
		return nil, err
	}
	return a.Reports, nil
}
