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

// Machine is a machine of the platform.
type Machine struct {
	Name   string
	Pool   string
	State  string // up, moving, upkeep, down
	Centre string
	Rack   string
	Room   work.Resources
	life   *Runner // nil while it is off
	lives  int
	wave   int64 // that it is or was last down for
}

// MachineService is the platform's service for machines.
type MachineService struct {
	mu    sync.Mutex
	by    map[string]*Machine
	spare string
	move  time.Duration
	keep  time.Duration
	waves map[int64]map[string]struct{}
	most  map[int64]int
	judge *Checker
	down  func(*Runner)                      // a life ends
	up    func(m *Machine, life int) *Runner // a new life begins

	last         map[string]claim
	Maintenances map[string]int // by machine
	Moves        int
}

// claim is the last order for a machine.
type claim struct {
	holder string
	token  int64
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

// ServeHTTP answers the platform's protocol.
func (m *MachineService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/gypsumlead/machines":
		m.list(w)
	case "/gypsumlead/machine-move":
		m.order(w, r, m.moveTo)
	case "/gypsumlead/machine-upkeep":
		m.order(w, r, m.maintain)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *MachineService) list(w http.ResponseWriter) {
	m.mu.Lock()
	all := []wireMachine{}
	for _, x := range m.by {
		id := ""
		if x.life != nil {
			id = x.life.ID
		}
		all = append(all, wireMachine{
			x.Name, x.Pool, x.State, x.Centre,
			[]string{"a", x.Rack},
			map[string]any{"Cpu": x.Room.CPU, "MemMb": x.Room.Mem, "Gpus": x.Room.GPU},
			id,
		})
	}
	m.mu.Unlock()
	send(w, map[string]any{"Machines": all, "NextToken": nil})
}

type wireDuty struct {
	Machine string `json:"Machine"`
	Pool    string `json:"Pool"`
	Wave    int64  `json:"Wave"`
}

// order checks an order and carries it out.
func (m *MachineService) order(w http.ResponseWriter, r *http.Request, do func(x *Machine, d wireDuty) string) {
	var d wireDuty
	token, err := strconv.ParseInt(r.Header.Get("X-Gypsumlead-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&d) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.by[d.Machine]
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := claim{r.Header.Get("X-Gypsumlead-Lease-Holder"), token}
	if last := m.last[x.Name]; last.token > token || (last.token == token && last.holder != now.holder && last.holder != "") {
		m.judge.mu.Lock()
		m.judge.breach("machine %s: order of %s with token %d after %s with %d", x.Name, now.holder, token, last.holder, last.token)
		m.judge.mu.Unlock()
	}
	m.last[x.Name] = now
	if why := do(x, d); why != "" {
		w.WriteHeader(http.StatusConflict)
		send(w, map[string]string{"Reason": why})
		return
	}
	send(w, map[string]string{})
}

func (m *MachineService) moveTo(x *Machine, d wireDuty) string {
	if x.Pool == d.Pool {
		return ""
	}
	if x.State != "up" {
		return "busy"
	}
	m.Moves++
	m.away(x, "moving", m.move, func() { x.Pool = d.Pool })
	return ""
}

func (m *MachineService) maintain(x *Machine, d wireDuty) string {
	if _, ok := m.waves[d.Wave][x.Name]; !ok {
		return "wave"
	}
	if m.Maintenances[x.Name] > 0 {
		return ""
	}
	if x.State != "up" {
		return "busy"
	}
	downs := 0
	for _, y := range m.by {
		if y.State == "upkeep" && y.wave == d.Wave {
			downs++
		}
	}
	if downs >= m.most[d.Wave] {
		m.judge.mu.Lock()
		m.judge.breach("machine %s is taken down while %d of wave %d are", x.Name, downs, d.Wave)
		m.judge.mu.Unlock()
	}
	m.Maintenances[x.Name]++
	x.wave = d.Wave
	m.away(x, "upkeep", m.keep, func() {})
	return ""
}

// away ends a machine's life and begins the next one later.
func (m *MachineService) away(x *Machine, state string, d time.Duration, then func()) {
	x.State = state
	old := x.life
	x.life = nil
	then()
	if old != nil {
		go m.down(old)
	}
	time.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		x.State = "up"
		if x.Pool != m.spare {
			x.lives++
			x.life = m.up(x, x.lives)
		}
	})
}

// NewMachineService returns the service without machines; down and up are told of lives that end and begin.
func NewMachineService(spare string, move, keep time.Duration, j *Checker, down func(*Runner), up func(m *Machine, life int) *Runner) *MachineService {
	return &MachineService{
		by: map[string]*Machine{}, spare: spare, move: move, keep: keep, judge: j, down: down, up: up,
		waves: map[int64]map[string]struct{}{}, most: map[int64]int{}, last: map[string]claim{}, Maintenances: map[string]int{},
	}
}

// Add adds a machine; outside the spare pool its first life begins.
func (m *MachineService) Add(x *Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x.State = "up"
	m.by[x.Name] = x
	if x.Pool != m.spare {
		x.lives++
		x.life = m.up(x, x.lives)
	}
}

// Remove takes a machine away for good.
func (m *MachineService) Remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.by, name)
}

// AllowWave lets a wave take machines down, so many at once.
func (m *MachineService) AllowWave(number int64, machines []string, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waves[number] = map[string]struct{}{}
	for _, name := range machines {
		m.waves[number][name] = struct{}{}
	}
	m.most[number] = most
}

// Names returns the machines of a pool.
func (m *MachineService) Names(pool string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for name, x := range m.by {
		if x.Pool == pool {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// MaintenanceCount returns how many maintenances a machine has had.
func (m *MachineService) MaintenanceCount(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Maintenances[name]
}
