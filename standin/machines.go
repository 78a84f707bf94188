package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"gypsumlead/work"
)

// Machine is an emulated machine; it has one Runner while it is up outside the spare pool.
type Machine struct {
	Name   string
	Pool   string
	State  string // up, moving, upkeep (in maintenance) or down
	Centre string
	Rack   string
	Room   work.Resources
	runner *Runner // nil while the machine is offline or in the spare pool
	boots  int     // number of runners started so far
	wave   int64   // wave of the current or last maintenance
}

// MachineService emulates the platform's machine service. It records a violation for an order with an outdated fencing
// token, for orders of two daemons for one machine within minTurn, and for a wave with too many machines down.
type MachineService struct {
	mu              sync.Mutex
	byName          map[string]*Machine
	sparePool       string
	moveTime        time.Duration
	maintenanceTime time.Duration
	minTurn         time.Duration                 // minimum time between the orders of two daemons for one machine
	waves           map[int64]map[string]struct{} // names of the machines that a wave may take down
	maxDown         map[int64]int                 // by wave: limit of its machines in maintenance
	checker         *Checker
	onStop          func(*Runner)                      // called in a new goroutine when a machine goes offline
	onStart         func(m *Machine, boot int) *Runner // starts a machine's runner

	lastOrders   map[string]machineOrder // by machine
	Maintenances map[string]int          // by machine
	Moves        int                     // between pools
}

// machineOrder is the sender, fencing token and time of an order for a machine.
type machineOrder struct {
	sender string
	token  int64
	at     time.Time
}

type wireMachine struct {
	Machine  string         `json:"Machine"`
	Pool     string         `json:"Pool"`
	State    string         `json:"State"`
	Zone     string         `json:"Zone"`
	Labels   []string       `json:"Labels"`
	Capacity map[string]any `json:"Capacity"`
	ID       string         `json:"Id"`
}

// ServeHTTP serves the machine calls of the platform's protocol.
func (m *MachineService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(replyLatency)
	switch r.URL.Path {
	case "/gypsumlead/machines":
		m.serveList(w)
	case "/gypsumlead/machine-move":
		m.serveOrder(w, r, m.moveTo)
	case "/gypsumlead/machine-upkeep":
		m.serveOrder(w, r, m.maintain)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *MachineService) serveList(w http.ResponseWriter) {
	m.mu.Lock()
	all := []wireMachine{}
	for _, machine := range m.byName {
		id := ""
		if machine.runner != nil {
			id = machine.runner.ID
		}
		all = append(all, wireMachine{
			machine.Name, machine.Pool, machine.State, machine.Centre,
			[]string{"a", machine.Rack},
			map[string]any{"Cpu": machine.Room.CPU, "MemMb": machine.Room.Mem, "Gpus": machine.Room.GPU},
			id,
		})
	}
	m.mu.Unlock()
	writeJSON(w, map[string]any{"Machines": all, "NextToken": nil})
}

type wireMachineOrder struct {
	Machine string `json:"Machine"`
	Pool    string `json:"Pool"`
	Wave    int64  `json:"Wave"`
}

// serveOrder checks an order's sender and fencing token, and applies the order even if that is a violation. do returns the
// reason of a refusal, or an empty string.
func (m *MachineService) serveOrder(w http.ResponseWriter, r *http.Request, do func(machine *Machine, o wireMachineOrder) string) {
	var o wireMachineOrder
	token, err := strconv.ParseInt(r.Header.Get("X-Gypsumlead-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	machine, ok := m.byName[o.Machine]
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.checkOrder(machine.Name, machineOrder{r.Header.Get("X-Gypsumlead-Lease-Holder"), token, time.Now()})
	if reason := do(machine, o); reason != "" {
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, map[string]string{"Reason": reason})
		return
	}
	writeJSON(w, map[string]string{})
}

// checkOrder records a violation if an order's fencing token goes back or is shared by two senders, or if two senders
// order one machine within minTurn. The caller holds m.mu.
func (m *MachineService) checkOrder(machine string, order machineOrder) {
	last, known := m.lastOrders[machine]
	m.lastOrders[machine] = order
	if !known {
		return
	}
	m.checker.mu.Lock()
	defer m.checker.mu.Unlock()
	otherSender := last.sender != order.sender
	if last.token > order.token || (otherSender && last.token == order.token) {
		m.checker.addViolation("machine %s: order from %s with fencing token %d after an order from %s with token %d", machine, order.sender, order.token, last.sender, last.token)
	}
	if between := order.at.Sub(last.at); otherSender && between < m.minTurn {
		m.checker.addViolation("machine %s: order from %s %v after an order from %s", machine, order.sender, between, last.sender)
	}
}

// moveTo starts a machine's move to another pool.
func (m *MachineService) moveTo(machine *Machine, o wireMachineOrder) string {
	if machine.Pool == o.Pool {
		return ""
	}
	if machine.State != "up" {
		return "busy"
	}
	m.Moves++
	m.takeOffline(machine, "moving", m.moveTime, func() { machine.Pool = o.Pool })
	return ""
}

// maintain starts a machine's maintenance as part of a wave; a machine that has had the wave's is left alone.
func (m *MachineService) maintain(machine *Machine, o wireMachineOrder) string {
	if _, ok := m.waves[o.Wave][machine.Name]; !ok {
		return "wave"
	}
	if m.Maintenances[machine.Name] > 0 && machine.wave == o.Wave {
		return ""
	}
	if machine.State != "up" {
		return "busy"
	}
	downCount := 0
	for _, other := range m.byName {
		if other.State == "upkeep" && other.wave == o.Wave {
			downCount++
		}
	}
	if downCount >= m.maxDown[o.Wave] {
		m.checker.mu.Lock()
		m.checker.addViolation("machine %s taken down while %d machines of wave %d are already down", machine.Name, downCount, o.Wave)
		m.checker.mu.Unlock()
	}
	m.Maintenances[machine.Name]++
	machine.wave = o.Wave
	m.takeOffline(machine, "upkeep", m.maintenanceTime, func() {})
	return ""
}

// takeOffline stops a machine's runner, calls onOffline, and brings the machine up again after duration, with a new
// runner unless it is in the spare pool.
func (m *MachineService) takeOffline(machine *Machine, state string, duration time.Duration, onOffline func()) {
	machine.State = state
	old := machine.runner
	machine.runner = nil
	onOffline()
	if old != nil {
		go m.onStop(old)
	}
	time.AfterFunc(duration, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		machine.State = "up"
		if machine.Pool != m.sparePool {
			machine.boots++
			machine.runner = m.onStart(machine, machine.boots)
		}
	})
}

// Crash takes a runner's machine down, if it is still its runner, and brings it up again after duration with a new runner.
func (m *MachineService) Crash(r *Runner, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if machine, ok := m.byName[r.Machine]; ok && machine.runner == r {
		m.takeOffline(machine, "down", duration, func() {})
	}
}

// NewMachineService returns a service without machines. onStop is called with the runner of a machine that goes
// offline, and onStart starts a machine's runner; boot counts the machine's boots from 1.
func NewMachineService(sparePool string, moveTime, maintenanceTime, minTurn time.Duration, c *Checker, onStop func(*Runner), onStart func(m *Machine, boot int) *Runner) *MachineService {
	return &MachineService{
		byName: map[string]*Machine{}, sparePool: sparePool, moveTime: moveTime, maintenanceTime: maintenanceTime, minTurn: minTurn, checker: c, onStop: onStop, onStart: onStart,
		waves: map[int64]map[string]struct{}{}, maxDown: map[int64]int{}, lastOrders: map[string]machineOrder{}, Maintenances: map[string]int{},
	}
}

// Add adds a machine that is up, and starts its runner unless it is in the spare pool.
func (m *MachineService) Add(machine *Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	machine.State = "up"
	m.byName[machine.Name] = machine
	if machine.Pool != m.sparePool {
		machine.boots++
		machine.runner = m.onStart(machine, machine.boots)
	}
}

// Remove removes a machine from the service permanently; its runner goes on.
func (m *MachineService) Remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.byName, name)
}

// AllowWave lets a wave take these machines down, at most maxDown at the same time.
func (m *MachineService) AllowWave(number int64, machines []string, maxDown int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waves[number] = map[string]struct{}{}
	for _, name := range machines {
		m.waves[number][name] = struct{}{}
	}
	m.maxDown[number] = maxDown
}

// Names returns the sorted names of a pool's machines.
func (m *MachineService) Names(pool string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, machine := range m.byName {
		if machine.Pool == pool {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// MaintenanceCount returns the number of maintenances that were started on a machine.
func (m *MachineService) MaintenanceCount(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Maintenances[name]
}
