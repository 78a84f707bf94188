package app

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"gypsumlead/journal"
	"gypsumlead/record"
	"gypsumlead/roster"
	"gypsumlead/route"
	"gypsumlead/runner"
	"gypsumlead/share"
)

// router keeps what the entry works with in step with the configuration and the roster.
type router struct {
	common
	state  *journal.State
	roster *roster.Roster
	fleet  *runner.Fleet
	gate   *share.Gate

	kick chan struct{}
	seq  atomic.Int64 // newest change that fleet and gate follow
	mu   sync.RWMutex
	svcs map[string]record.Service
	all  []runner.Target
}

func newRouter(c common, state *journal.State, r *roster.Roster, f *runner.Fleet, g *share.Gate) *router {
	return &router{
		common: c,
		state:  state,
		roster: r,
		fleet:  f,
		gate:   g,
		kick:   make(chan struct{}, 1),
		svcs:   map[string]record.Service{},
	}
}

// Route finds a service in force; it implements entry.Router.
func (r *router) Route(service string) (record.Service, string, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, ok := r.svcs[service]
	return s, s.Pool, ok
}

// targets returns the upstreams that the fleet follows; they must not be changed.
func (r *router) targets() []runner.Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.all
}

// wake asks for a rebuild.
func (r *router) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// run rebuilds whenever it is woken, until ctx ends.
func (r *router) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.kick:
			r.rebuild()
		}
	}
}

// rebuild follows the newest configuration and roster.
func (r *router) rebuild() {
	self := route.Self{Instance: r.set.Instance, Centre: r.set.Centre, Slots: r.set.Runners.Slots}
	t, errs := route.Build(self, r.state, r.roster.Instances())
	for _, err := range errs {
		r.log.Error("record left out of the routes", zap.Error(err))
	}
	r.fleet.Update(t.Targets)
	for _, c := range t.Capacities {
		r.gate.SetCapacityOf(c.Pool, c.Slots, c.Total)
	}
	r.setServices(t.Services)
	r.mu.Lock()
	r.all = t.Targets
	r.mu.Unlock()
	r.seq.Store(t.Seq)
}

// setServices replaces the services; those that are gone are dropped.
func (r *router) setServices(list []route.Service) {
	fresh := make(map[string]record.Service, len(list))
	for _, s := range list {
		fresh[s.Name] = s.Service
		r.gate.SetService(s.Name, s.Service)
	}
	r.mu.Lock()
	old := r.svcs
	r.svcs = fresh
	r.mu.Unlock()
	for name := range old {
		if _, ok := fresh[name]; !ok {
			r.gate.DropService(name)
		}
	}
}
