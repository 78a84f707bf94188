//go:build review

// Command stand plays one case of the review: it starts the project's daemons as separate processes on loopback addresses and
// is their platform, their runners and their clients.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gypsumlead/standin"
)

// Bounds of the deployment, those of tvl-refill.
const (
	maxHoldMs   = 10_000
	heartbeatMs = 1500
	stopMs      = 200
	gangMs      = 3000
	finishS     = 14
	cancelMs    = 3000
	contactMs   = 3000
	memoryMb    = 284
	maxAttempts = 3
	maxEnds     = 500 // that a runner returns at a time
)

// site is the platform with its store, its runners and the daemons.
type site struct {
	dir      string // temporary folder with the settings files
	program  string
	record   *record
	store    *standin.Store
	storeAt  netip.AddrPort
	cloudAt  netip.AddrPort
	tasks    *taskLog
	mu       sync.Mutex
	daemons  []*daemonProcess
	runners  []*runner
	routes   []map[string]any
	services []map[string]any
	version  int
}

// daemonProcess is one daemon, started like the deploy file starts it.
type daemonProcess struct {
	name    string
	file    string
	callers netip.AddrPort
	ready   netip.AddrPort
	cmd     *exec.Cmd
}

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	return l, netip.MustParseAddrPort(l.Addr().String()), nil
}

// freePort returns a loopback address whose port is free now. It lies below the ports that the system gives to clients, so that
// no client takes it before it is used.
func freePort() (netip.AddrPort, error) {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20_000+rand.IntN(12_000)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return netip.AddrPort{}, err
		}
		return netip.MustParseAddrPort(l.Addr().String()), l.Close()
	}
}

// newSite starts the store and the service for machines.
func newSite(program string, rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, program: program, record: rec, tasks: newTaskLog(rec), version: 1}
	s.store = standin.NewStore(rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano()))))
	storeListener, storeAt, err := listen()
	if err != nil {
		return nil, err
	}
	s.storeAt = storeAt
	go serve(storeListener, s.store)
	cloudListener, cloudAt, err := listen()
	if err != nil {
		return nil, err
	}
	s.cloudAt = cloudAt
	go serve(cloudListener, http.HandlerFunc(s.serveMachines))
	return s, nil
}

func serve(l net.Listener, h http.Handler) {
	_ = (&http.Server{Handler: h}).Serve(l) // until the process ends
}

// serveMachines lists the machines. Nothing is asked to move here: no pool is on standby, and no wave is due.
func (s *site) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/gypsumlead/machines" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	list := []map[string]any{}
	for _, r := range s.runners {
		list = append(list, map[string]any{"Machine": r.machine, "Pool": r.service, "State": "up", "Zone": r.zone, "Labels": r.labels, "Capacity": r.capacity(), "Id": r.id})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Machines": list, "NextToken": nil})
}

// addService adds a service with its queue.
func (s *site) addService(name string) {
	s.services = append(s.services, map[string]any{"Name": name, "RejectsOverload": true})
	s.routes = append(s.routes, map[string]any{
		"Name": "q-" + name, "Host": "jobs.example", "Prefix": "/" + name + "/", "Kind": "non_idempotent", "TimeoutMs": 3000, "SloMs": 600,
		"Priority": 0, "Service": name, "MaxAttempts": maxAttempts, "SlackFactor": 1.6,
	})
}

// configure writes the operator's configuration.
func (s *site) configure() {
	s.version += 3
	s.store.Put("op", "config", map[string]any{
		"Version": s.version, "Routes": s.routes, "Services": s.services, "Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144},
	})
}

// addDaemon writes the settings of a daemon as deploy/settings.json.tmpl does, and starts it.
func (s *site) addDaemon(name, zone string) error {
	d := &daemonProcess{name: name, file: filepath.Join(s.dir, name+".json")}
	var ports [3]netip.AddrPort
	for i := range ports {
		at, err := freePort()
		if err != nil {
			return err
		}
		ports[i] = at
	}
	d.callers, d.ready = ports[0], ports[1]
	settings := map[string]any{
		"instance": name, "centre": zone, "region": "r1", "store": s.storeAt.String(), "machines": s.cloudAt.String(),
		"listen": map[string]any{"callers": ports[0].String(), "ready": ports[1].String(), "peers": ports[2].String()},
		"weight": 0.4, "memory": memoryMb,
		"bounds": map[string]any{
			"hold": "10000ms", "lease": "3000ms", "move": "1.5s", "upkeep": "2s", "beat": "1500ms", "stop": "200ms", "apply": "2000ms",
			"contact": "3000ms", "drain": "2000ms", "cancel": "3000ms", "status": "120s", "grace": "6s", "orders": 64, "remote": 3,
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.file, text, 0o600); err != nil {
		return err
	}
	s.mu.Lock()
	s.daemons = append(s.daemons, d)
	s.mu.Unlock()
	return s.startDaemon(d)
}

// startDaemon starts a daemon's process. Its log goes to the temporary folder.
func (s *site) startDaemon(d *daemonProcess) error {
	out, err := os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(s.program, "serve", "-settings", d.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd = cmd
	s.record.log("daemon %s started", d.name)
	go func() {
		err := cmd.Wait()
		s.record.log("daemon %s ended: %v", d.name, err)
		_ = out.Close()
	}()
	return nil
}

// awaitReady waits until all daemons say that they are ready.
func (s *site) awaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			resp, err := http.Get("http://" + d.ready.String() + "/gypsumlead/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.daemons) {
			return true
		}
	}
	return false
}

// leader returns the daemon that leads a service, by its row in the store.
func (s *site) leader(service string) *daemonProcess {
	var row struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(s.store.Get("hold", service, "seat"), &row)
	for _, d := range s.daemons {
		if d.name == row.Name {
			return d
		}
	}
	return nil
}

// close ends all daemons and removes the temporary folder, unless it is to be kept.
func (s *site) close(keep bool) {
	for _, d := range s.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
		}
	}
	if keep {
		fmt.Println("logs of the daemons:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}
