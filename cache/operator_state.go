package cache

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/watch"
)

// OperatorState follows the rows that the operator writes: the configuration, whose version only increases, and the
// maintenance waves.
type OperatorState struct {
	store    *platform.Store
	log      *zap.Logger
	onChange func()

	config atomic.Pointer[RouteTable]
	mu     sync.Mutex
	waves  map[string]platform.Wave
}

// NewOperatorState returns an empty OperatorState, which Run keeps up to date; onChange is called after each change.
func NewOperatorState(store *platform.Store, log *zap.Logger, onChange func()) *OperatorState {
	return &OperatorState{store: store, log: log, onChange: onChange, waves: map[string]platform.Wave{}}
}

// Run follows the operator's rows until ctx ends.
func (o *OperatorState) Run(ctx context.Context) error {
	watcher := watch.Watcher{
		Store:       o.store,
		Table:       platform.TableOperator,
		FromVersion: watch.FromSnapshot,
		Log:         o.log,
		Apply: func(_ context.Context, page platform.Page, snapshot bool) error {
			o.apply(page.Rows, snapshot)
			return nil
		},
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
		o.config.Store(newRouteTable(config))
		o.log.Info("configuration applied", zap.Int64("version", config.Version), zap.Int("routes", len(config.Routes)))
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

// RouteTable is a configuration whose routes are indexed by host.
type RouteTable struct {
	platform.Config
	hosts map[string][]platform.Route // longest prefix first
}

func newRouteTable(config platform.Config) *RouteTable {
	r := &RouteTable{Config: config, hosts: map[string][]platform.Route{}}
	for _, route := range config.Routes {
		r.hosts[route.Host] = append(r.hosts[route.Host], route)
	}
	for _, routes := range r.hosts {
		slices.SortStableFunc(routes, func(a, b platform.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return r
}

// Match returns the route with the longest matching prefix for a host and path, and the rest of the path. It returns
// false if no route matches.
func (r *RouteTable) Match(host, path string) (platform.Route, string, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, route := range r.hosts[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route, rest, true
		}
	}
	return platform.Route{}, "", false
}
