package machines

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/maintenance"
	"gypsumlead/platform"
	"gypsumlead/watch"
)

// tableWaves has a row for each wave that has begun.
const tableWaves = "wave"

// waveWatchInterval is the interval between reads of changed wave rows.
const waveWatchInterval = 200 * time.Millisecond

// WaveTracker follows the progress of the waves.
type WaveTracker struct {
	store    *platform.Store
	log      *zap.Logger
	interest *watch.Interest
	mu       sync.Mutex
	rows     map[int64]versionedRow
}

// versionedRow is the last known content of a wave's row and its version.
type versionedRow struct {
	row     maintenance.Row
	version int64
}

// NewWaveTracker returns an empty tracker; Watch keeps it up to date.
func NewWaveTracker(store *platform.Store, log *zap.Logger, interest *watch.Interest) *WaveTracker {
	return &WaveTracker{store: store, log: log, interest: interest, rows: map[int64]versionedRow{}}
}

// Watch follows the wave rows until ctx ends.
func (w *WaveTracker) Watch(ctx context.Context) error {
	watcher := watch.Watcher{
		Store: w.store, Table: tableWaves, FromVersion: watch.FromSnapshot, Interval: waveWatchInterval, Interest: w.interest, Log: w.log,
		Apply: func(_ context.Context, page platform.Page, _ bool) error {
			w.apply(page.Rows)
			return nil
		},
	}
	return watcher.Run(ctx)
}

// apply records wave rows; a row older than the known one is ignored.
func (w *WaveTracker) apply(rows []platform.Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range rows {
		number, err := strconv.ParseInt(r.Key, 10, 64)
		if err != nil || r.Table != tableWaves || r.Deleted || r.Version < w.rows[number].version {
			continue
		}
		row, err := maintenance.DecodeRow(r.Value)
		if err != nil {
			w.log.Error("cannot decode wave row", zap.String("wave", r.Key), zap.Error(err))
			continue
		}
		w.rows[number] = versionedRow{row, r.Version}
	}
}

// get returns a wave's row and its version.
func (w *WaveTracker) get(number int64) (maintenance.Row, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rows[number].row, w.rows[number].version
}

// set records a row that this daemon has written.
func (w *WaveTracker) set(number int64, row maintenance.Row, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rows[number] = versionedRow{row, version}
}

// claimed returns the open wave that has claimed a machine and not finished it, and false if there is none.
func (w *WaveTracker) claimed(machine string) (int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for number, entry := range w.rows {
		if !entry.row.Complete && entry.row.Machines[machine] == maintenance.Claimed {
			return number, true
		}
	}
	return 0, false
}

// waveKey returns the key of a wave's row.
func waveKey(number int64) platform.RowKey {
	return platform.RowKey{Table: tableWaves, Key: strconv.FormatInt(number, 10)}
}
