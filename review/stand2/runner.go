//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of one runner, as PROTOCOL.md tells it. It reads from a job's spec what a task does:
// "cpu=1000 ms=400" ends as done after 400 ms, "cpu=1000 lasts" goes on until it is stopped.
type runner struct {
	scene   *scene
	id      string
	machine string
	service string
	addr    string

	mu      sync.Mutex
	labels  []string
	cpu     int
	born    time.Time
	up      bool
	seq     int
	token   int64
	lease   time.Duration // on its clock
	runs    map[string]*activeRun
	last    map[string]int
	ends    [][]any
	lastEnd int64
	wake    chan struct{}
	server  *http.Server
	life    int
	onStart func(task string, run int) // called with mu held
}

type activeRun struct {
	task    string
	run     int
	cpu     int
	since   time.Time
	length  time.Duration // 0 for one that lasts
	stopAt  time.Time
	stopped bool
}

// addRunner starts a runner and registers it.
func (s *scene) addRunner(id, service string, cpu int, labels ...string) (*runner, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	r := &runner{scene: s, id: id, machine: "m-" + id, service: service, addr: addr, cpu: cpu, labels: labels}
	s.mu.Lock()
	s.runners[id] = r
	s.mu.Unlock()
	if err := r.start(); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

// start begins a life of the runner, which knows nothing of earlier ones, and writes its entry.
func (r *runner) start() error {
	l, err := net.Listen("tcp", mustAddrPort(r.addr).String())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.born = time.Now()
	r.up, r.token, r.lease, r.lastEnd, r.ends = true, 0, 0, 0, nil
	r.runs, r.last = map[string]*activeRun{}, map[string]int{}
	r.wake = make(chan struct{})
	r.life++
	life := r.life
	r.server = &http.Server{Handler: r}
	server := r.server
	r.mu.Unlock()
	r.register()
	go func() { _ = server.Serve(l) }()
	go r.work(life)
	return nil
}

// crash ends the life of the runner at once: its runs are gone and its connections break.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	for task, run := range r.runs {
		r.scene.note("%s run %d of %s lost", r.id, run.run, task)
	}
	r.runs, r.ends = map[string]*activeRun{}, nil
	r.life++
	server := r.server
	r.mu.Unlock()
	r.scene.note("%s crashes", r.id)
	_ = server.Close()
}

// register writes the runner's entry to the store.
func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.seq++
	r.scene.store.Put("servers", r.id, map[string]any{
		"Service": r.service, "Address": r.addr, "Zone": "zone-a", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "SeqNo": r.seq,
		"born": r.born.UnixMilli(), "Machine": r.machine, "Labels": r.labels, "Capacity": r.capacity(), "ClockMs": r.clock().Milliseconds(),
	})
}

func (r *runner) capacity() map[string]any {
	return map[string]any{"Cpu": r.cpu, "MemMb": r.cpu * 4, "Gpus": 0}
}

// machineEntry is the runner's machine as the service for machines lists it.
func (r *runner) machineEntry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "up"
	if !r.up {
		state = "down"
	}
	return map[string]any{"Machine": r.machine, "Pool": r.service, "State": state, "Zone": "zone-a", "Labels": r.labels, "Capacity": r.capacity(), "Id": r.id}
}

// beat writes the entry every heartbeat. The entry of a runner that has been silent for three is removed.
func (r *runner) beat() {
	silent := 0
	for range time.Tick(heartbeat) {
		r.mu.Lock()
		up := r.up
		r.mu.Unlock()
		if up {
			silent = 0
			r.register()
		} else if silent++; silent == 3 {
			r.scene.store.Remove("servers", r.id)
			r.scene.note("the entry of %s is removed", r.id)
		}
	}
}

// clock is the runner's steady clock.
func (r *runner) clock() time.Duration { return time.Since(r.born) }

// work ends runs when they are done, stopped or without a lease.
func (r *runner) work(life int) {
	for range time.Tick(5 * time.Millisecond) {
		r.mu.Lock()
		if r.life != life {
			r.mu.Unlock()
			return
		}
		now := time.Now()
		for _, run := range r.runs {
			switch {
			case r.clock() > r.lease:
				r.finish(run, "lapsed")
			case run.stopped && now.After(run.stopAt):
				r.finish(run, "stopped")
			case !run.stopped && run.length > 0 && now.Sub(run.since) >= run.length:
				r.finish(run, "done")
			}
		}
		r.mu.Unlock()
	}
}

// finish ends a run; the caller holds mu.
func (r *runner) finish(run *activeRun, how string) {
	delete(r.runs, run.task)
	r.last[run.task] = max(r.last[run.task], run.run)
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, run.task, run.run, how, ""})
	r.scene.note("%s run %d of %s ended %s", r.id, run.run, run.task, how)
	close(r.wake)
	r.wake = make(chan struct{})
}

type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
	Ticket       string
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("X-Gypsumlead-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	if o.FencingToken < r.token {
		reply := r.reply("fence")
		r.mu.Unlock()
		writeJSON(w, http.StatusConflict, reply)
		return
	}
	r.token = o.FencingToken
	switch req.URL.Path {
	case "/gypsumlead/run-start":
		reason := r.startRun(o)
		reply := r.reply(reason)
		r.mu.Unlock()
		if reason != "" {
			writeJSON(w, http.StatusConflict, reply)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	case "/gypsumlead/run-stop":
		r.last[o.Task] = max(r.last[o.Task], o.Run)
		if run := r.runs[o.Task]; run != nil && run.run <= o.Run && !run.stopped {
			run.stopped, run.stopAt = true, time.Now().Add(stopTimeout/2)
			r.scene.note("%s told to stop run %d of %s", r.id, o.Run, o.Task)
		}
		reply := r.reply("")
		r.mu.Unlock()
		writeJSON(w, http.StatusOK, reply)
	case "/gypsumlead/hold":
		r.hold(w, req, o)
	default:
		reply := r.reply("")
		r.mu.Unlock()
		writeJSON(w, http.StatusOK, reply)
	}
}

// reply is the body of an answer; the caller holds mu.
func (r *runner) reply(reason string) map[string]any {
	body := map[string]any{"ClockMs": r.clock().Milliseconds(), "born": r.born.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	return body
}

// extend extends the lease; the caller holds mu.
func (r *runner) extend(deadlineMs int64) {
	deadline := min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+maxHold)
	r.lease = max(r.lease, deadline)
}

// startRun carries out a start and returns the reason of a refusal; the caller holds mu.
func (r *runner) startRun(o order) string {
	if time.Duration(o.DeadlineMs)*time.Millisecond < r.clock() {
		return "late"
	}
	r.extend(o.DeadlineMs)
	if run := r.runs[o.Task]; run != nil && run.run == o.Run {
		return ""
	}
	if r.runs[o.Task] != nil || r.last[o.Task] >= o.Run {
		return "old"
	}
	if a := r.scene.adviser; a != nil && !a.valid(o.Task, r.id, o.Ticket) {
		return "ticket"
	}
	run := &activeRun{task: o.Task, run: o.Run, since: time.Now()}
	for _, word := range strings.Fields(o.Spec) {
		key, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch key {
		case "cpu":
			run.cpu = n
		case "ms":
			run.length = time.Duration(n) * time.Millisecond
		}
	}
	used := run.cpu
	for _, other := range r.runs {
		used += other.cpu
	}
	if used > r.cpu {
		return "room"
	}
	r.runs[o.Task] = run
	r.scene.note("%s %v starts run %d of %s", r.id, r.labels, o.Run, o.Task)
	if r.onStart != nil {
		r.onStart(o.Task, o.Run)
	}
	return ""
}

// hold extends the lease, forgets ends and lists what runs and what has ended; the caller holds mu, and hold releases it.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, o order) {
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	r.ends = slices.DeleteFunc(r.ends, func(end []any) bool { return end[0].(int64) <= o.AckCursor })
	life := r.life
	timeout := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(r.ends) == 0; {
		wake := r.wake
		r.mu.Unlock()
		select {
		case <-wake:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			return
		}
		r.mu.Lock()
	}
	if r.life != life {
		r.mu.Unlock()
		return
	}
	body := r.reply("")
	running := [][]any{}
	for _, run := range r.runs {
		running = append(running, []any{run.task, run.run, "", run.percent(), 0})
	}
	body["Running"], body["Finished"] = running, r.ends[:min(len(r.ends), 500)]
	b, err := json.Marshal(body)
	r.mu.Unlock()
	if err != nil {
		panic(err) // names and numbers always encode
	}
	_, _ = w.Write(b)
}

// percent is the progress of a run.
func (a *activeRun) percent() int {
	age := time.Since(a.since)
	if a.length == 0 {
		return int(min(100, 100*age/(300*time.Millisecond)))
	}
	return int(min(99, 100*age/a.length))
}

// running returns the tasks of a job that run, with their runners.
func (s *scene) running(job string) map[string]*runner {
	found := map[string]*runner{}
	for _, r := range s.allRunners() {
		r.mu.Lock()
		for task := range r.runs {
			if strings.HasPrefix(task, job+".") {
				found[task] = r
			}
		}
		r.mu.Unlock()
	}
	return found
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+n) }
