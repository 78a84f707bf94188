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

// OperatorState follows what the operator writes: the configuration, which never goes back, and the waves.
type OperatorState struct {
	store   *platform.Store
	log     *zap.Logger
	changed func()

	config atomic.Pointer[RouteTable]
	mu     sync.Mutex
	waves  map[string]platform.Wave
}

// NewOperatorState returns a view of the operator's rows; changed is called after each change.
func NewOperatorState(store *platform.Store, log *zap.Logger, changed func()) *OperatorState {
	return &OperatorState{store: store, log: log, changed: changed, waves: map[string]platform.Wave{}}
}

// Run follows until ctx ends.
func (o *OperatorState) Run(ctx context.Context) error {
	f := watch.Watcher{
		Store:       o.store,
		Table:       platform.TableOperator,
		FromVersion: watch.FromSnapshot,
		Log:         o.log,
		Apply: func(_ context.Context, page platform.Page, whole bool) error {
			o.apply(page.Rows, whole)
			return nil
		},
	}
	return f.Run(ctx)
}

func (o *OperatorState) apply(rows []platform.Row, whole bool) {
	o.mu.Lock()
	if whole {
		clear(o.waves)
	}
	for _, r := range rows {
		o.row(r)
	}
	o.mu.Unlock()
	if len(rows) > 0 {
		o.changed()
	}
}

// row takes in one row; one that can't be read changes nothing.
func (o *OperatorState) row(r platform.Row) {
	switch {
	case platform.IsConfig(r.Key) && !r.Deleted:
		c, err := platform.DecodeConfig(r.Value)
		if err != nil {
			o.log.Error("configuration can't be read; the one before stays in force", zap.Int64("row", r.Version), zap.Error(err))
			return
		}
		if old := o.config.Load(); old != nil && c.Version <= old.Version {
			return
		}
		o.config.Store(newRoutes(c))
		o.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)))
	case platform.IsWave(r.Key) && r.Deleted:
		delete(o.waves, r.Key)
	case platform.IsWave(r.Key):
		w, err := platform.DecodeWave(r.Value)
		if err != nil {
			o.log.Error("wave can't be read", zap.String("row", r.Key), zap.Error(err))
			return
		}
		o.waves[r.Key] = w
		o.log.Info("wave asked for", zap.Int64("wave", w.Number), zap.Int("machines", len(w.Machines)), zap.Duration("within", w.TimeLimit), zap.Int("most", w.MaxDown))
	}
}

// Config returns the configuration in force, or nil where there is none yet.
func (o *OperatorState) Config() *RouteTable { return o.config.Load() }

// Waves returns the waves that the operator asks for, by number.
func (o *OperatorState) Waves() []platform.Wave {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]platform.Wave, 0, len(o.waves))
	for _, w := range o.waves {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b platform.Wave) int { return int(a.Number - b.Number) })
	return list
}

// RouteTable is one configuration, ready for looking up.
type RouteTable struct {
	platform.Config
	hosts map[string][]platform.Route // longest prefix first
}

func newRoutes(c platform.Config) *RouteTable {
	r := &RouteTable{Config: c, hosts: map[string][]platform.Route{}}
	for _, x := range c.Routes {
		r.hosts[x.Host] = append(r.hosts[x.Host], x)
	}
	for _, list := range r.hosts {
		slices.SortStableFunc(list, func(a, b platform.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return r
}

// Match returns the route of a host and path, the one with the longest prefix, and the rest of the path.
func (r *RouteTable) Match(host, path string) (platform.Route, string, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, x := range r.hosts[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, x.Prefix); ok {
			return x, rest, true
		}
	}
	return platform.Route{}, "", false
}
