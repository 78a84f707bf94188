package emulator

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// config is the operator's configuration in the platform's form.
type config struct {
	Version  int64          `json:"Version"`
	Routes   []configRoute  `json:"Routes"`
	Services []configPool   `json:"Services"`
	Limits   map[string]int `json:"Limits"`
}

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
}

type configPool struct {
	Name            string `json:"Name"`
	RejectsOverload bool   `json:"RejectsOverload"`
	Standby         bool   `json:"Standby"`
}

// attempts is how often a task may fail.
const attempts = 3

// spareService is the service whose machines are off.
const spareService = "spare"

func serviceName(i int) string { return fmt.Sprintf("s%d", i) }

// makeConfig writes the first configuration: a queue for each service.
func (w *Cluster) makeConfig() {
	w.config = config{Version: 1, Limits: map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144}}
	for i := range w.size.Services {
		s := serviceName(i)
		w.config.Services = append(w.config.Services, configPool{Name: s, RejectsOverload: true})
		w.config.Routes = append(w.config.Routes, configRoute{
			Name: "q-" + s, Host: "jobs.example", Prefix: "/" + s + "/", Kind: "non_idempotent",
			TimeoutMs: 3000, SloMs: 600, Service: s, MaxAttempts: attempts, SlackFactor: 1.6,
		})
	}
	if w.size.SpareMachines > 0 {
		w.config.Services = append(w.config.Services, configPool{Name: spareService, RejectsOverload: true, Standby: true})
	}
	w.Store.Put("op", "config", w.config)
}

// UpdateConfig writes the next version of the configuration.
func (w *Cluster) UpdateConfig() {
	w.mu.Lock()
	w.config.Version += 3
	for i := range w.config.Routes {
		w.config.Routes[i].TimeoutMs += 10
	}
	c := w.config
	w.mu.Unlock()
	w.Store.Put("op", "config", c)
}

// makeMachines makes the machines and the first lives of those that are on.
func (w *Cluster) makeMachines() {
	w.Machines = standin.NewMachineService(spareService, moveTime, upkeepTime, w.Checker, w.runnerDown, w.runnerUp)
	n := 0
	add := func(pool string) {
		centre := w.size.Centres[n%len(w.size.Centres)]
		rack := fmt.Sprintf("r%d", n/4)
		w.Machines.Add(&standin.Machine{
			Name: fmt.Sprintf("m%d", n), Pool: pool, Centre: centre, Rack: rack,
			Room: work.Resources{CPU: w.size.CoresPerMachine * 1000, Mem: w.size.CoresPerMachine * 4096},
		})
		n++
	}
	for i := range w.size.Services {
		for range w.size.RunnersPerService {
			add(serviceName(i))
		}
	}
	for range w.size.SpareMachines {
		add(spareService)
	}
}

// runnerUp begins a life of a machine.
func (w *Cluster) runnerUp(m *standin.Machine, life int) *standin.Runner {
	id := fmt.Sprintf("i-%s-%d", m.Name, life)
	var num int
	if _, err := fmt.Sscanf(m.Name, "m%d", &num); err != nil {
		panic(err) // the emulator names its machines
	}
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(num), byte(1 + life%250)}), 8080)
	r := standin.NewRunner(id, m.Name, m.Pool, at, m.Centre, m.Rack, m.Room, longestHold, w.Checker, w.fork())
	h := &host{r: r, seq: 1}
	h.srv = w.serve(at, r)
	w.mu.Lock()
	w.runners[id] = h
	w.mu.Unlock()
	w.Store.Put("servers", id, r.Heartbeat(h.seq, "ready"))
	return r
}

// runnerDown ends a life of a machine for good.
func (w *Cluster) runnerDown(r *standin.Runner) {
	r.Crash()
	w.mu.Lock()
	h := w.runners[r.ID]
	h.gone = true
	w.mu.Unlock()
	_ = h.srv.Close() // its port is closed from now on
	w.Store.Remove("servers", r.ID)
}

// Runners returns the IDs of the runners that are there.
func (w *Cluster) Runners() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for id, h := range w.runners {
		if !h.gone {
			list = append(list, id)
		}
	}
	return sorted(list)
}

// RunnerAddr returns a runner's place.
func (w *Cluster) RunnerAddr(id string) netip.Addr {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runners[id].r.Addr.Addr()
}

// SetRunnerFaults changes a runner's faults.
func (w *Cluster) SetRunnerFaults(id string, f standin.RunnerFaults) {
	w.mu.Lock()
	h := w.runners[id]
	w.mu.Unlock()
	h.r.SetFaults(f)
}

// CrashRunner ends everything that a runner has, and starts it again under its ID after a while.
func (w *Cluster) CrashRunner(id string, d time.Duration) {
	w.mu.Lock()
	h := w.runners[id]
	w.mu.Unlock()
	h.r.Crash()
	time.AfterFunc(min(d, entryLife), func() {
		if d > entryLife {
			w.Store.Remove("servers", id)
		}
	})
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if h.gone || w.ctx.Err() != nil {
			return
		}
		h.r.Restart()
		h.seq++
		w.Store.Put("servers", id, h.r.Heartbeat(h.seq, "ready"))
	})
}

// listBack is how long after the store's return the entries that lapsed meanwhile are back.
const listBack = 2 * time.Second

// ExpireRunnerEntries empties the list of runners, as after an outage of the store, and fills it again a while later with
// those that are still there.
func (w *Cluster) ExpireRunnerEntries() {
	for _, id := range w.Runners() {
		w.Store.Remove("servers", id)
	}
	time.AfterFunc(listBack, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ctx.Err() != nil {
			return
		}
		for id, h := range w.runners {
			if h.gone {
				continue
			}
			h.seq++
			w.Store.Put("servers", id, h.r.Heartbeat(h.seq, "ready"))
		}
	})
}

// PowerCycle kills every daemon at the same moment and starts them again after a while.
func (w *Cluster) PowerCycle(d time.Duration) {
	for _, name := range w.Daemons() {
		w.Kill(name)
	}
	time.AfterFunc(d, func() {
		if w.ctx.Err() != nil {
			return
		}
		for _, name := range w.Daemons() {
			w.Start(name)
		}
	})
}

// DrainRunner announces that a runner leaves, and takes it away after a while.
func (w *Cluster) DrainRunner(id string, after time.Duration) {
	w.mu.Lock()
	h := w.runners[id]
	h.seq++
	beat := h.r.Heartbeat(h.seq, "draining")
	w.mu.Unlock()
	beat["RemainingMs"] = after.Milliseconds()
	w.Store.Put("servers", id, beat)
	time.AfterFunc(after, func() {
		if w.ctx.Err() == nil {
			w.Machines.Remove(h.r.Machine)
			w.runnerDown(h.r)
		}
	})
}

// RequestWave asks for the maintenance of machines.
func (w *Cluster) RequestWave(number int64, machines []string, most int, within time.Duration) {
	w.Machines.AllowWave(number, machines, most)
	w.Store.Put("op", fmt.Sprintf("wave/%d", number), map[string]any{
		"Wave": number, "Machines": machines, "DurationS": within.Seconds(), "Cap": most,
	})
}

// WaveDone tells whether the operator was told that a wave is completed.
func (w *Cluster) WaveDone(number int64) bool {
	var s struct {
		State string `json:"State"`
	}
	v := w.Store.Get("status", "", fmt.Sprintf("wave/%d", number))
	return v != nil && json.Unmarshal(v, &s) == nil && s.State == "completed"
}

// seatOf reads who holds a seat.
func seatOf(value []byte) string {
	var s struct {
		Name string `json:"name"`
	}
	if value == nil || json.Unmarshal(value, &s) != nil {
		return ""
	}
	return s.Name
}
