//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gypsumlead/standin"
)

// Bounds of the deployment, as of ptscna-sched.
const (
	maxHold       = 6 * time.Second
	stopTimeout   = 200 * time.Millisecond
	gangTimeout   = 3 * time.Second
	saveInterval  = 500 * time.Millisecond
	restoreTime   = 250 * time.Millisecond
	beatInterval  = 1500 * time.Millisecond
	finishTime    = 14 * time.Second
	cancelTime    = 3 * time.Second
	maintainTime  = 2 * time.Second
	memoryLimitMB = 284
)

// scene is a running deployment.
type scene struct {
	trouble   bool
	begun     time.Time
	mu        sync.Mutex
	record    io.WriteCloser
	folder    string
	store     *standin.Store
	fleet     *fleet
	servers   []*http.Server
	daemons   []*daemon
	config    config
	storeAt   string
	adviser   *adviser
	adviserAt string
	cloudAt   string
}

// config is the operator's configuration.
type config struct {
	Version  int64
	Routes   []route
	Services []service
	Limits   map[string]int
}

type route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMs, SloMs                  int
	Priority, MaxAttempts             int
	SlackFactor                       float64
	Advice                            *terms `json:",omitempty"`
}

type service struct {
	Name            string
	RejectsOverload bool
	Standby         bool
}

const host = "jobs.example"

// worker is the room of a runner.
var worker = capacity{64000, 262144, 0}

// newScene starts the platform. Its case then adds services, runners and daemons.
func newScene(record io.WriteCloser, trouble bool) (*scene, error) {
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	s := &scene{trouble: trouble, begun: time.Now(), record: record, folder: folder}
	s.store = standin.NewStore(rand.New(rand.NewPCG(1, 2)))
	s.fleet = newFleet(s)
	s.config = config{Version: 1, Limits: map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144}}
	if s.storeAt, err = s.serve(s.store); err != nil {
		return nil, err
	}
	s.cloudAt, err = s.serve(s.fleet)
	return s, err
}

// note writes a line of the record.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler at a free loopback port.
func (s *scene) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// addService adds a service with a queue of a priority at /NAME/, and returns the queue's prefix.
func (s *scene) addService(name string) {
	s.config.Services = append(s.config.Services, service{name, true, false})
}

// addQueue adds a queue of a service.
func (s *scene) addQueue(name, service string, priority int) {
	s.config.Routes = append(s.config.Routes, route{
		Name: name, Host: host, Prefix: "/" + name + "/", Kind: "non_idempotent", Service: service,
		TimeoutMs: 3000, SloMs: 600, Priority: priority, MaxAttempts: 3, SlackFactor: 1.6,
	})
}

// putConfig stores the configuration.
func (s *scene) putConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Version += 3
	s.store.Put("op", "config", s.config)
}

// daemon is one daemon's process.
type daemon struct {
	scene    *scene
	name     string
	front    string
	ready    string
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// freePorts returns the addresses of n ports that were free a moment ago.
func freePorts(n int) ([]string, error) {
	var list []string
	for tries := 0; len(list) < n; tries++ {
		// Below the ports that outgoing connections take.
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err != nil && tries < 1000 {
			continue
		}
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // at the end, so that no port is chosen twice
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// addDaemons starts n daemons in three zones and waits until they are ready.
func (s *scene) addDaemons(n int) error {
	all, err := freePorts(3 * n)
	if err != nil {
		return err
	}
	for i := range n {
		d := &daemon{scene: s, name: fmt.Sprintf("front-z%d-%d", i%3+1, i/3+1)}
		ports := all[3*i:]
		d.front, d.ready = ports[0], ports[1]
		settings := map[string]any{
			"instance": d.name, "centre": fmt.Sprintf("z%d", i%3+1), "region": "r",
			"store": s.storeAt, "machines": s.cloudAt,
			"listen":      map[string]any{"callers": ports[0], "ready": ports[1], "peers": ports[2]},
			"weight":      0.4,
			"memory":      memoryLimitMB,
			"descriptors": 4100,
			"bounds": map[string]any{
				"hold": "6000ms", "lease": "3000ms", "move": "1.5s", "upkeep": "2s", "beat": "1500ms", "stop": "200ms", "apply": "2000ms",
				"contact": "3000ms", "drain": "2000ms", "cancel": "3000ms", "status": "120s", "grace": "6s", "orders": 64, "remote": 2,
			},
		}
		if s.adviserAt != "" {
			settings["policy"] = s.adviserAt
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return err
		}
		d.settings = filepath.Join(s.folder, d.name+".json")
		if err := os.WriteFile(d.settings, data, 0o600); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := d.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	s.note("%d daemons are ready", n)
	return nil
}

// start starts the daemon as the deploy file does.
func (d *daemon) start() error {
	program, err := filepath.Abs("target/gypsumlead")
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.scene.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "serve", "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.scene.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.scene.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		d.scene.note("process of %s has ended: %v", d.name, err)
		close(ended)
	}()
	return nil
}

// awaitReady waits until the daemon reports itself ready.
func (d *daemon) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, _, err := get("http://" + d.ready + "/gypsumlead/ready"); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return errors.New(d.name + " is not ready")
}

func (d *daemon) signal(sig syscall.Signal) {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(sig) // it may have ended
	}
}

// close ends all processes and servers that the scene started.
func (s *scene) close() {
	for _, d := range s.daemons {
		if d.cmd != nil {
			d.signal(syscall.SIGCONT)
			d.signal(syscall.SIGKILL)
			<-d.ended
		}
	}
	s.fleet.close()
	for _, server := range s.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Close()
}

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// get makes a GET without a job's host.
func get(url string) (int, []byte, error) { return call(http.MethodGet, url, "", nil) }

// call makes a request.
func call(method, url, hostHeader string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	if hostHeader != "" {
		req.Host = hostHeader
		req.Header.Set("X-Gypsumlead-Deadline-Ms", "3000")
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}
