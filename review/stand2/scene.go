//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumlead/standin"
)

// Figures of the small deployments (demands/LATER.md, sembada-ho-grown).
const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 10 * time.Second
	stopTimeout  = 200 * time.Millisecond
	cancelTime   = 4 * time.Second
	smallWeight  = 0.192
	restartDelay = 200 * time.Millisecond // of a process that has ended
	host         = "jobs.example"
)

// scene is one play: the platform's stand-ins, the daemons and the record.
type scene struct {
	trouble bool
	program string
	dir     string // temporary
	begun   time.Time

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	runners map[string]*runner

	store     *standin.Store
	gate      *gate
	version   int // of the configuration
	bounds    map[string]string
	weights   []float64 // of the daemons, by turns
	tenants   []any
	key       string // of the callers
	standby   string // service whose machines are off
	storeAddr string
	cloudAddr string
	adviser   *adviser
}

func newScene(record, program string, trouble bool) (*scene, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	s := &scene{trouble: trouble, program: program, dir: dir, begun: time.Now(), record: f, runners: map[string]*runner{}}
	s.weights = []float64{smallWeight}
	s.key = "k-1"
	s.setCap(0)
	s.bounds = map[string]string{
		"hold": "10000ms", "lease": "3000ms", "move": "1.5s", "upkeep": "2s", "beat": "1500ms", "stop": "200ms", "apply": "3000ms", "contact": "4000ms",
		"drain": "3000ms", "cancel": "4000ms", "status": "120s", "grace": "6s", "revoke": "5000ms", "window": "5s",
	}
	s.store = standin.NewStore(rand.New(rand.NewPCG(1, 2)))
	s.gate = &gate{next: s.store}
	if s.storeAddr, err = serve(s.gate); err != nil {
		return nil, err
	}
	if s.cloudAddr, err = serve(http.HandlerFunc(s.serveMachines)); err != nil {
		return nil, err
	}
	s.note("trouble: %v", trouble)
	return s, nil
}

// end ends all processes and removes the temporary folder.
func (s *scene) end() {
	for _, d := range s.daemons {
		d.stop()
	}
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// note writes a line to the record, with the seconds since the begin.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler at a free loopback port.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// nextPort is the next port to try. The system gives ports of this range to no connection by itself, and plays that run beside
// each other begin at different ones.
var nextPort atomic.Int64

func init() { nextPort.Store(10_000 + int64(os.Getpid()%100)*200) }

// freeAddr returns a loopback address that is free, another one each time.
func freeAddr() (string, error) {
	var err error
	for range 200 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))); err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", err
}

// serveMachines lists the machines; no case has orders for them.
func (s *scene) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/gypsumlead/machines" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := []map[string]any{}
	for _, r := range s.allRunners() {
		list = append(list, r.machineEntry())
	}
	writeJSON(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
}

// allRunners returns the runners in no order.
func (s *scene) allRunners() []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.runners))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // callers pass only values that encode
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// route is a queue of the operator's configuration.
type route struct {
	prefix  string
	service string
	advice  map[string]any
}

// configure writes the operator's configuration.
func (s *scene) configure(routes ...route) {
	var wire []map[string]any
	services := map[string]bool{}
	var list []map[string]any
	for _, r := range routes {
		entry := map[string]any{
			"Name": "q" + strings.Trim(r.prefix, "/") + "-" + r.service, "Host": host, "Prefix": r.prefix, "Kind": "non_idempotent", "TimeoutMs": 3000, "SloMs": 600,
			"Priority": 0, "Service": r.service, "MaxAttempts": 3, "SlackFactor": 1.6,
		}
		if r.advice != nil {
			entry["Advice"] = r.advice
		}
		wire = append(wire, entry)
		if !services[r.service] {
			services[r.service] = true
			list = append(list, map[string]any{"Name": r.service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": true, "Standby": false})
		}
	}
	if s.standby != "" {
		list = append(list, map[string]any{"Name": s.standby, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": true, "Standby": true})
	}
	s.store.Put("op", "config", map[string]any{
		"Version": 7 + 3*s.version, "Routes": wire, "Services": list, "Tenants": s.tenants,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// daemon is one entry machine with its process.
type daemon struct {
	scene    *scene
	name     string
	settings string
	weight   float64
	front    string
	ready    string
	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool
	ends     int // of the process that were not asked for
}

// startDaemons starts n daemons with settings as deploy/settings.json.tmpl gives them.
func (s *scene) startDaemons(n int) error {
	for i := range n {
		d := &daemon{scene: s, name: fmt.Sprintf("front-a-%d", i+1), weight: s.weights[i%len(s.weights)]}
		var addrs [3]string
		for k := range addrs {
			a, err := freeAddr()
			if err != nil {
				return err
			}
			addrs[k] = a
		}
		d.front, d.ready = addrs[0], addrs[1]
		bounds := map[string]any{"orders": 64.0, "remote": 3}
		for bound, value := range s.bounds {
			bounds[bound] = value
		}
		settings := map[string]any{
			"instance": d.name, "centre": "zone-" + string(rune('a'+i%3)), "region": "r", "store": s.storeAddr, "machines": s.cloudAddr,
			"listen": map[string]any{"callers": addrs[0], "ready": addrs[1], "peers": addrs[2]}, "weight": d.weight, "memory": d.memoryMB(),
			"bounds": bounds,
		}
		if s.adviser != nil {
			settings["policy"] = s.adviser.addr
		}
		b, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		d.settings = filepath.Join(s.dir, d.name+".json")
		if err := os.WriteFile(d.settings, b, 0o600); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range s.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // leaders are found
	return nil
}

// start starts the process; the platform starts one that ends by itself again.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(d.scene.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.scene.program, "serve", "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Dir = d.scene.dir
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.scene.dir, "LANG=C"}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd = cmd
	d.scene.note("%s started", d.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		d.mu.Lock()
		stopped := d.stopped
		if !stopped {
			d.ends++
		}
		d.mu.Unlock()
		if !stopped {
			d.scene.note("%s ended: %v", d.name, err)
			time.Sleep(restartDelay)
			_ = d.start()
		}
	}()
	return nil
}

// stop ends the process.
func (d *daemon) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(syscall.SIGKILL)
	}
}

// memoryMB is MemoryMb of the site's machines of this size.
func (d *daemon) memoryMB() int {
	if d.weight == smallWeight {
		return 184
	}
	return 536
}

// setCap sets the tenant of all callers, with a cap in thousandths of a core; 0 is none.
func (s *scene) setCap(cpu int) {
	s.tenants = []any{map[string]any{"Name": "t-1", "ApiKeys": []string{s.key}, "Weight": 50, "Cap": map[string]any{"Cpu": cpu, "MemMb": 0, "Gpus": 0}}}
}

// kill sends SIGKILL, as the platform does to a process that exceeds its memory.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
}

// residentMB returns the process's resident memory.
func (d *daemon) residentMB() int {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + d.ready + "/gypsumlead/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends a caller's request and returns the status, 0 without an answer, and the body.
func (d *daemon) call(method, path string, body any, wait time.Duration) (int, string) {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			panic(err) // callers pass only values that encode
		}
	}
	req, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader(b))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Gypsumlead-Deadline-Ms", "3000")
	req.Close = true
	if d.scene.key != "" {
		req.Header.Set("Authorization", "Bearer "+d.scene.key)
	}
	c := http.Client{Timeout: wait}
	resp, err := c.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in, at one daemon after the other as clients' retries do, and reports whether it was accepted.
func (s *scene) submit(path string, job any) bool {
	for i := range 5 {
		status, _ := s.daemons[i%len(s.daemons)].call(http.MethodPost, path, job, 3*time.Second)
		if status == http.StatusOK {
			return true
		}
		s.note("POST %s: %d", path, status)
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// gate stands before the store: it can delay its answers, and lose those of single writes.
type gate struct {
	next http.Handler
	mu   sync.Mutex
	slow time.Duration
	down bool
	late func(tx []byte) time.Duration // time after which a write is carried out without an answer; 0 is now, with one
}

func (g *gate) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
}

func (g *gate) setSlow(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slow = d
}

func (g *gate) setLate(f func(tx []byte) time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late = f
}

// answer keeps a response until it is sent.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	g.mu.Lock()
	late, down := g.late, g.down
	g.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/rows-tx") && late != nil {
		if delay := late(body); delay > 0 {
			go func() {
				time.Sleep(delay)
				again := r.Clone(r.Context())
				again.Body = io.NopCloser(bytes.NewReader(body))
				g.next.ServeHTTP(&answer{header: http.Header{}, status: http.StatusOK}, again)
			}()
			<-r.Context().Done()
			return
		}
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	a := &answer{header: http.Header{}, status: http.StatusOK}
	g.next.ServeHTTP(a, r)
	g.mu.Lock()
	slow := g.slow
	g.mu.Unlock()
	time.Sleep(slow)
	for k, v := range a.header {
		w.Header()[k] = v
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}

func mustAddrPort(a string) netip.AddrPort { return netip.MustParseAddrPort(a) }
