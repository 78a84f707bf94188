package emulator

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// config is the operator's configuration in the platform's JSON format.
type config struct {
	Version  int64           `json:"Version"`
	Routes   []configRoute   `json:"Routes"`
	Services []configService `json:"Services"`
	Tenants  []configTenant  `json:"Tenants,omitempty"`
	Limits   map[string]int  `json:"Limits"`
}

// configRoute is a queue: the path under which callers submit jobs of a service.
type configRoute struct {
	Name        string  `json:"Name"`
	Host        string  `json:"Host"`
	Prefix      string  `json:"Prefix"`
	Kind        string  `json:"Kind"`
	TimeoutMs   int     `json:"TimeoutMs"`
	SloMs       int     `json:"SloMs"`
	Priority    int     `json:"Priority"`
	Service     string  `json:"Service"`
	MaxAttempts int     `json:"MaxAttempts"`
	SlackFactor float64 `json:"SlackFactor"`
	Public      bool    `json:"Public,omitempty"`

	Advice *configAdvice `json:"Advice,omitempty"`
}

// configAdvice is the terms of the service that approves the queue's runners.
type configAdvice struct {
	DecisionMs  int64 `json:"DecisionMs"`
	PerWorkerMs int64 `json:"PerWorkerMs"`
	ValidMs     int64 `json:"ValidMs"`
}

// configService is a service of the configuration.
type configService struct {
	Name            string `json:"Name"`
	RejectsOverload bool   `json:"RejectsOverload"`
	Standby         bool   `json:"Standby"`
}

// maxAttempts is the number of failed runs of a task after which its job fails.
const maxAttempts = 3

// spareService is the service of the machines that are off.
const spareService = "spare"

func serviceName(i int) string { return fmt.Sprintf("s%d", i) }

// makeConfig writes the first configuration, with a queue for each service.
func (c *Cluster) makeConfig() {
	c.config = config{Version: 1, Limits: map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144}}
	for i := range c.size.Services {
		service := serviceName(i)
		c.config.Services = append(c.config.Services, configService{Name: service, RejectsOverload: !c.size.Unguarded})
		c.config.Routes = append(c.config.Routes, configRoute{
			Name: "q-" + service, Host: "jobs.example", Prefix: "/" + service + "/", Kind: "non_idempotent",
			TimeoutMs: 3000, SloMs: 600, Service: service, MaxAttempts: maxAttempts, SlackFactor: 1.6, Advice: c.size.advice(),
		})
	}
	if c.size.SpareMachines > 0 {
		c.config.Services = append(c.config.Services, configService{Name: spareService, RejectsOverload: true, Standby: true})
	}
	c.addWorkspaces()
	c.storeConfig()
}

// UpdateConfig writes the next version of the configuration.
func (c *Cluster) UpdateConfig() {
	c.changeConfig(func(config *config) {
		for i := range config.Routes {
			config.Routes[i].TimeoutMs += 10
		}
	})
}

// changeConfig writes the next version of the configuration, with a change.
func (c *Cluster) changeConfig(change func(*config)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Version += 3
	change(&c.config)
	c.storeConfig()
}

// storeConfig writes the configuration to the store; the caller holds c.mu, or no daemon is running yet.
func (c *Cluster) storeConfig() {
	c.Store.Put("op", "config", c.config)
	c.Checker.KeysInForce(c.config.keys())
	c.Checker.RoutesInForce(c.config.prefixes())
}

// makeMachines adds the machines and boots those outside the spare service.
func (c *Cluster) makeMachines() {
	c.Machines = standin.NewMachineService(spareService, moveTime, maintenanceTime, machineLease, c.Checker, c.takeOffline, c.startRunner)
	next := 0
	add := func(pool string) {
		centre := c.size.Centres[next%len(c.size.Centres)]
		rack := fmt.Sprintf("r%d", next/4)
		c.Machines.Add(&standin.Machine{
			Name: fmt.Sprintf("m%d", next), Pool: pool, Centre: centre, Rack: rack,
			Room: work.Resources{CPU: c.size.CoresPerMachine * 1000, Mem: c.size.CoresPerMachine * 4096},
		})
		next++
	}
	for i := range c.size.Services {
		for range c.size.RunnersPerService {
			add(serviceName(i))
		}
	}
	for range c.size.SpareMachines {
		add(spareService)
	}
}

// startRunner starts the runner of a machine that has booted; boot counts the machine's boots.
func (c *Cluster) startRunner(m *standin.Machine, boot int) *standin.Runner {
	id := fmt.Sprintf("i-%s-%d", m.Name, boot)
	var number int
	if _, err := fmt.Sscanf(m.Name, "m%d", &number); err != nil {
		panic(err) // the emulator gives machines their names
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(number), byte(1 + boot%250)}), 8080)
	r := standin.NewRunner(id, m.Name, m.Pool, addr, m.Centre, m.Rack, m.Room, c.size.longestLease(), c.Checker, c.newRand())
	r.Unguarded = c.size.Unguarded
	r.RequireTickets(c.Policy)
	r.SetCrashHook(func() { c.handleFatalRun(r, boot) })
	server := &runnerServer{runner: r, seq: 1}
	server.httpServer = c.serve(addr, r)
	c.mu.Lock()
	c.runners[id] = server
	c.mu.Unlock()
	c.Store.Put("servers", id, r.Heartbeat(server.seq, "ready"))
	return r
}

// crashDowntime is the time from the crash of a runner under a task until it is back.
const crashDowntime = 3300 * time.Millisecond

// handleFatalRun crashes a runner under a task. It is back under its ID, or every other time as a new runner.
func (c *Cluster) handleFatalRun(r *standin.Runner, boot int) {
	c.mu.Lock()
	c.fatalRuns++
	n, hook := c.fatalRuns, c.onFatalRun
	c.mu.Unlock()
	if hook != nil {
		hook(n)
	}
	if boot%2 == 0 {
		c.CrashRunner(r.ID, crashDowntime)
		return
	}
	c.Machines.Crash(r, crashDowntime)
}

// takeOffline permanently stops a runner whose machine an order takes down.
func (c *Cluster) takeOffline(r *standin.Runner) {
	r.TakeOffline()
	c.stopRunner(r)
}

// stopRunner permanently stops a runner whose machine goes down.
func (c *Cluster) stopRunner(r *standin.Runner) {
	r.Crash()
	c.mu.Lock()
	server := c.runners[r.ID]
	server.removed = true
	c.mu.Unlock()
	_ = server.httpServer.Close() // closes its port; there are no requests to finish
	c.Store.Remove("servers", r.ID)
}

// Runners returns the sorted IDs of the runners that are not permanently stopped.
func (c *Cluster) Runners() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for id, server := range c.runners {
		if !server.removed {
			list = append(list, id)
		}
	}
	return sorted(list)
}

// RunnerAddr returns the address of a runner.
func (c *Cluster) RunnerAddr(id string) netip.Addr {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runners[id].runner.Addr.Addr()
}

// SetRunnerFaults replaces the faults of a runner.
func (c *Cluster) SetRunnerFaults(id string, faults standin.RunnerFaults) {
	c.mu.Lock()
	server := c.runners[id]
	c.mu.Unlock()
	server.runner.SetFaults(faults)
}

// SetRunnerRoom changes what a runner has for runs. Its entry in the store shows that within a heartbeat.
func (c *Cluster) SetRunnerRoom(id string, room work.Resources) {
	c.mu.Lock()
	server := c.runners[id]
	c.mu.Unlock()
	server.runner.SetRoom(room)
	time.AfterFunc(time.Duration(c.newRand().Int64N(int64(runnerHeartbeat))), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if server.removed || c.ctx.Err() != nil {
			return
		}
		server.seq++
		c.Store.Put("servers", id, server.runner.Heartbeat(server.seq, "ready"))
	})
}

// CrashRunner crashes a runner and restarts it under the same ID after d. If d is longer than entryTTL, the runner's
// entry in the store is removed after entryTTL.
func (c *Cluster) CrashRunner(id string, d time.Duration) {
	c.mu.Lock()
	server := c.runners[id]
	c.mu.Unlock()
	server.runner.Crash()
	time.AfterFunc(min(d, entryTTL), func() {
		if d > entryTTL {
			c.Store.Remove("servers", id)
		}
	})
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if server.removed || c.ctx.Err() != nil {
			return
		}
		server.runner.Restart()
		server.seq++
		c.Store.Put("servers", id, server.runner.Heartbeat(server.seq, "ready"))
	})
}

// entryRestoreDelay is the time from the end of an outage of the store until the runners' expired entries are written
// again.
const entryRestoreDelay = 2 * time.Second

// ExpireRunnerEntries removes the entries of all runners from the store, as an outage of the store does, and writes
// those of the remaining runners again after entryRestoreDelay.
func (c *Cluster) ExpireRunnerEntries() {
	for _, id := range c.Runners() {
		c.Store.Remove("servers", id)
	}
	time.AfterFunc(entryRestoreDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ctx.Err() != nil {
			return
		}
		for id, server := range c.runners {
			if server.removed {
				continue
			}
			server.seq++
			c.Store.Put("servers", id, server.runner.Heartbeat(server.seq, "ready"))
		}
	})
}

// PowerCycle kills all daemons at the same moment and starts them again after d.
func (c *Cluster) PowerCycle(d time.Duration) {
	for _, name := range c.Daemons() {
		c.Kill(name)
	}
	time.AfterFunc(d, func() {
		if c.ctx.Err() != nil {
			return
		}
		for _, name := range c.Daemons() {
			c.Start(name)
		}
	})
}

// DrainRunner announces that the platform drains a runner, and removes its machine after the given time.
func (c *Cluster) DrainRunner(id string, after time.Duration) {
	c.mu.Lock()
	server := c.runners[id]
	server.seq++
	heartbeat := server.runner.Heartbeat(server.seq, "draining")
	c.mu.Unlock()
	heartbeat["RemainingMs"] = after.Milliseconds()
	c.Store.Put("servers", id, heartbeat)
	server.runner.Drain()
	time.AfterFunc(after, func() {
		if c.ctx.Err() == nil {
			c.Machines.Remove(server.runner.Machine)
			c.stopRunner(server.runner)
		}
	})
}

// RequestWave requests the maintenance of machines as the operator does: at most maxDown at the same time, all within
// duration.
func (c *Cluster) RequestWave(number int64, machines []string, maxDown int, duration time.Duration) {
	c.Machines.AllowWave(number, machines, maxDown)
	c.Store.Put("op", fmt.Sprintf("wave/%d", number), map[string]any{
		"Wave": number, "Machines": machines, "DurationS": duration.Seconds(), "Cap": maxDown,
	})
}

// WaveDone reports whether the store's status for the operator shows a wave as completed.
func (c *Cluster) WaveDone(number int64) bool {
	var status struct {
		State string `json:"State"`
	}
	value := c.Store.Get("status", "", fmt.Sprintf("wave/%d", number))
	return value != nil && json.Unmarshal(value, &status) == nil && status.State == "completed"
}

// leaderName returns the leader's name in a lease row, or "" if there is none.
func leaderName(row []byte) string {
	var lease struct {
		Name string `json:"name"`
	}
	if row == nil || json.Unmarshal(row, &lease) != nil {
		return ""
	}
	return lease.Name
}
