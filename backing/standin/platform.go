package standin

import (
	"context"
	"math/rand/v2"
	"time"

	"gypsumlead/backing"
	"gypsumlead/pause"
)

// Service names one of the platform's four services.
type Service string

// The four services.
const (
	ServiceTable     Service = "table"
	ServiceObjects   Service = "objects"
	ServiceInstances Service = "instances"
	ServiceWorkers   Service = "workers"
)

// Services returns all services.
func Services() []Service {
	return []Service{ServiceTable, ServiceObjects, ServiceInstances, ServiceWorkers}
}

// Platform is the stand-in; its fields are the four services.
type Platform struct {
	Table     *Table
	Objects   *Objects
	Instances *Instances
	Workers   *Workers
	Roster    *Roster

	gates map[Service]*gate // fixed after New
	fleet *fleet
	now   func() time.Time
}

// The services implement the platform's interfaces.
var (
	_ backing.Table     = (*Table)(nil)
	_ backing.Objects   = (*Objects)(nil)
	_ backing.Instances = (*Instances)(nil)
	_ backing.Workers   = (*Workers)(nil)
	_ backing.Roster    = (*Roster)(nil)
)

// config is what the options set.
type config struct {
	now       func() time.Time
	sleep     func(ctx context.Context, d time.Duration) error
	seed      uint64
	lag       time.Duration
	reportLag time.Duration
	bootTime  time.Duration
	saveTime  time.Duration
	onReboot  func(backing.Instance)
}

// Option changes a Platform under construction.
type Option func(*config)

// WithClock sets the clock and the pause used for slow operations.
func WithClock(now func() time.Time, sleep func(ctx context.Context, d time.Duration) error) Option {
	return func(c *config) {
		c.now = now
		c.sleep = sleep
	}
}

// WithSeed sets the seed of the random faults.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

// WithLag sets by how much the list of instances lags.
func WithLag(d time.Duration) Option {
	return func(c *config) { c.lag = d }
}

// WithReportLag sets by how much the workers' reports lag.
func WithReportLag(d time.Duration) Option {
	return func(c *config) { c.reportLag = d }
}

// WithBootTime sets how long an instance that beats by itself takes to come back from a reboot.
func WithBootTime(d time.Duration) Option {
	return func(c *config) { c.bootTime = d }
}

// WithSaveTime sets how long a checkpoint takes.
func WithSaveTime(d time.Duration) Option {
	return func(c *config) { c.saveTime = d }
}

// WithRebootHook sets what is called, outside all locks, with the instance under its new boot.
func WithRebootHook(f func(backing.Instance)) Option {
	return func(c *config) { c.onReboot = f }
}

// New returns an empty platform without faults.
func New(opts ...Option) *Platform {
	c := config{now: time.Now, sleep: pause.For, seed: 1}
	for _, o := range opts {
		o(&c)
	}
	p := &Platform{gates: map[Service]*gate{}, now: c.now}
	for i, s := range Services() {
		p.gates[s] = &gate{
			rnd:     rand.New(rand.NewPCG(c.seed, uint64(i))),
			sleep:   c.sleep,
			changed: make(chan struct{}),
		}
	}
	p.fleet = newFleet(c)
	p.Table = newTable(p.gates[ServiceTable])
	p.Objects = newObjects(p.gates[ServiceObjects])
	p.Instances = &Instances{gate: p.gates[ServiceInstances], fleet: p.fleet}
	p.Workers = &Workers{gate: p.gates[ServiceWorkers], fleet: p.fleet}
	p.Roster = newRoster(p.Instances, p.Workers)
	return p
}
