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

// tableWaves has a row for each wave that was begun.
const tableWaves = "wave"

// wavesGap is the time between two looks for changes of the waves' rows.
const wavesGap = 200 * time.Millisecond

// WaveTracker follows how far the waves are.
type WaveTracker struct {
	store *platform.Store
	log   *zap.Logger
	need  *watch.Interest
	mu    sync.Mutex
	rows  map[int64]wave
}

// wave is a wave's row as last seen.
type wave struct {
	row     maintenance.Row
	version int64
}

// NewWaveTracker returns a view of the waves' rows; Watch keeps it up to date.
func NewWaveTracker(store *platform.Store, log *zap.Logger, need *watch.Interest) *WaveTracker {
	return &WaveTracker{store: store, log: log, need: need, rows: map[int64]wave{}}
}

// Watch keeps up with the rows until ctx ends.
func (w *WaveTracker) Watch(ctx context.Context) error {
	f := watch.Watcher{
		Store: w.store, Table: tableWaves, FromVersion: watch.FromSnapshot, Interval: wavesGap, Interest: w.need, Log: w.log,
		Apply: func(_ context.Context, page platform.Page, _ bool) error {
			w.take(page.Rows)
			return nil
		},
	}
	return f.Run(ctx)
}

func (w *WaveTracker) take(rows []platform.Row) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range rows {
		n, err := strconv.ParseInt(r.Key, 10, 64)
		if err != nil || r.Table != tableWaves || r.Deleted || r.Version < w.rows[n].version {
			continue
		}
		row, err := maintenance.DecodeRow(r.Value)
		if err != nil {
			w.log.Error("a wave can't be gone on with", zap.String("wave", r.Key), zap.Error(err))
			continue
		}
		w.rows[n] = wave{row, r.Version}
	}
}

// get returns a wave's row and its version.
func (w *WaveTracker) get(n int64) (maintenance.Row, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rows[n].row, w.rows[n].version
}

// set takes in a row that this daemon has written.
func (w *WaveTracker) set(n int64, row maintenance.Row, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rows[n] = wave{row, version}
}

// claimed tells whether a wave has taken a machine down and not seen it back.
func (w *WaveTracker) claimed(machine string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.rows {
		if !x.row.Complete && x.row.Machines[machine] == maintenance.Claimed {
			return true
		}
	}
	return false
}

func placeOf(n int64) platform.RowKey {
	return platform.RowKey{Table: tableWaves, Key: strconv.FormatInt(n, 10)}
}
