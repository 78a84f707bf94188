package cache

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/platform"
	"gypsumlead/watch"
	"gypsumlead/workspace"
)

// OperatorState follows the rows that the operator writes: the configuration, whose version only increases, and the
// maintenance waves.
type OperatorState struct {
	store    *platform.Store
	log      *zap.Logger
	now      clock.Clock
	within   time.Duration
	onChange func()
	secret   workspace.Secret

	config       atomic.Pointer[RouteTable]
	confirmation confirmation
	mu           sync.Mutex
	waves        map[string]platform.Wave
}

// NewOperatorState returns an empty OperatorState, which Run keeps up to date. A change has to be known within a time of being
// stored; onChange is called after it.
func NewOperatorState(store *platform.Store, log *zap.Logger, now clock.Clock, within time.Duration, onChange func()) *OperatorState {
	return &OperatorState{store: store, log: log, now: now, within: within, onChange: onChange, secret: workspace.NewSecret(), waves: map[string]platform.Wave{}}
}

// Run follows the operator's rows until ctx ends.
func (o *OperatorState) Run(ctx context.Context) error {
	watcher := watch.Watcher{
		Store:       o.store,
		Table:       platform.TableOperator,
		FromVersion: watch.FromSnapshot,
		Within:      o.within,
		Log:         o.log,
		Apply: func(_ context.Context, page platform.Page, snapshot bool) error {
			o.apply(page.Rows, snapshot)
			return nil
		},
		OnAnswer: o.confirmation.confirm,
		Now:      o.now,
	}
	return watcher.Run(ctx)
}

// apply applies rows; a snapshot replaces all waves.
func (o *OperatorState) apply(rows []platform.Row, snapshot bool) {
	o.mu.Lock()
	if snapshot {
		clear(o.waves)
	}
	for _, r := range rows {
		o.applyRow(r)
	}
	o.mu.Unlock()
	if len(rows) > 0 || snapshot {
		o.onChange()
	}
}

// applyRow applies one row; a row that cannot be decoded is ignored. The caller holds o.mu.
func (o *OperatorState) applyRow(r platform.Row) {
	switch {
	case platform.IsConfig(r.Key) && !r.Deleted:
		config, err := platform.DecodeConfig(r.Value)
		if err != nil {
			o.log.Error("cannot decode configuration; keeping the previous one", zap.Int64("row", r.Version), zap.Error(err))
			return
		}
		if old := o.config.Load(); old != nil && config.Version <= old.Version {
			return
		}
		o.config.Store(NewRouteTable(config, o.secret))
		o.log.Info("configuration applied", zap.Int64("version", config.Version), zap.Int64("row", r.Version), zap.Duration("confirmed", o.Age()),
			zap.Int("routes", len(config.Routes)), zap.Int("workspaces", len(config.Workspaces)))
	case platform.IsWave(r.Key) && r.Deleted:
		delete(o.waves, r.Key)
	case platform.IsWave(r.Key):
		wave, err := platform.DecodeWave(r.Value)
		if err != nil {
			o.log.Error("cannot decode wave", zap.String("row", r.Key), zap.Error(err))
			return
		}
		o.waves[r.Key] = wave
		o.log.Info("wave requested", zap.Int64("wave", wave.Number), zap.Int("machines", len(wave.Machines)), zap.Duration("within", wave.TimeLimit), zap.Int("most", wave.MaxDown))
	}
}

// Config returns the current configuration, or nil if there is none yet.
func (o *OperatorState) Config() *RouteTable { return o.config.Load() }

// Waves returns the waves that the operator requests, sorted by number.
func (o *OperatorState) Waves() []platform.Wave {
	o.mu.Lock()
	defer o.mu.Unlock()
	waves := make([]platform.Wave, 0, len(o.waves))
	for _, wave := range o.waves {
		waves = append(waves, wave)
	}
	slices.SortFunc(waves, func(a, b platform.Wave) int { return int(a.Number - b.Number) })
	return waves
}
