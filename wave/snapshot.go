package wave

import (
	"context"
	"slices"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
)

// RecordKey is the key of a wave's record.
func RecordKey(name string) record.Key {
	return record.Key{Kind: record.KindWave, Name: name}
}

// snapshot is a wave in a pool as one reading of the table shows it.
type snapshot struct {
	rows journal.Rows
	rec  record.Wave
	pool pool.Loaded
	part Part
	stop Stop
	read time.Time // when the rows were read; zero after they were written
}

// keys are the rows of a snapshot.
func keys(wave, name string) (rows []string, records []record.Key) {
	rows = []string{pool.Key(name), Key(wave, name), StopKey(wave)}
	return rows, []record.Key{pool.RecordKey(name), RecordKey(wave)}
}

// current returns the last snapshot while it is young and nothing is to be rebooted, else a new
// one. What is written from an older one is conditioned on its rows.
func (d *Driver) current(ctx context.Context, wave string) (snapshot, error) {
	now := d.now()
	s, ok := d.loaded[wave]
	if !ok || now.Sub(s.read) >= d.limits.Refresh || s.reboots() {
		return d.read(ctx, wave)
	}
	s.rows.Now = now
	return s, nil
}

// reboots tells whether the first request for a reboot is due.
func (s snapshot) reboots() bool {
	return !s.stopped() && slices.ContainsFunc(s.part.Items, func(it Item) bool { return it.State == Quiet })
}

// outdate makes the next step read the wave's rows again.
func (d *Driver) outdate(wave string) {
	if s, ok := d.loaded[wave]; ok {
		s.read = time.Time{}
		d.loaded[wave] = s
	}
}

// read reads a snapshot.
func (d *Driver) read(ctx context.Context, wave string) (snapshot, error) {
	names, records := keys(wave, d.pool)
	for _, k := range records {
		names = append(names, journal.RecordKey(k))
	}
	rows, err := d.table.Read(ctx, names...)
	if err != nil {
		return snapshot{}, err
	}
	now := d.now()
	if old, ok := d.loaded[wave]; ok && old.same(rows) {
		old.rows = journal.NewRows(now, rows...)
		old.read = now
		d.loaded[wave] = old
		return old, nil
	}
	s, err := load(journal.NewRows(now, rows...), wave, d.pool)
	if err != nil {
		return s, err
	}
	s.read = now
	d.loaded[wave] = s
	return s, nil
}

// same tells whether the rows are the ones that the snapshot was decoded from.
func (s snapshot) same(rows []backing.Row) bool {
	for _, r := range rows {
		if s.rows.Row(r.Key).Version != r.Version {
			return false
		}
	}
	return true
}

// load decodes a snapshot; a wave whose record is gone counts as cancelled.
func load(rows journal.Rows, wave, name string) (snapshot, error) {
	s := snapshot{rows: rows}
	var err error
	if s.pool, err = pool.Load(rows, name); err != nil {
		return s, err
	}
	e, ok, err := rows.Envelope(RecordKey(wave))
	if err != nil {
		return s, err
	}
	if ok {
		err = record.Decode(e, &s.rec)
	} else {
		s.rec.Cancelled = true
	}
	if err != nil {
		return s, err
	}
	if ok, err = rows.Load(Key(wave, name), &s.part); err != nil {
		return s, err
	}
	if !ok {
		s.part = Part{Wave: wave, Pool: name, Began: rows.Now}
	}
	_, err = rows.Load(StopKey(wave), &s.stop)
	return s, err
}

// strange tells whether the wave has nothing to do with the pool and never had.
func (s snapshot) strange() bool {
	return s.rows.Row(Key(s.part.Wave, s.part.Pool)).Version == 0 && (s.rec.Cancelled || !s.rec.Covers(s.part.Pool))
}

// stopped tells whether the wave stopped itself and the operator neither resumed nor cancelled it.
func (s snapshot) stopped() bool {
	return s.stop.Holds(s.rec) && !s.rec.Cancelled
}

// hold says why the wave takes no further instance at all.
func (s snapshot) hold() error {
	if s.stopped() {
		return fault.New(fault.Budget, "stopped: %s", s.stop.Why)
	}
	if s.rec.Paused {
		return fault.New(fault.Budget, "paused by the operator")
	}
	if s.rec.Cancelled {
		return fault.New(fault.Budget, "cancelled by the operator")
	}
	return nil
}
