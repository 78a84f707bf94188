package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// Behaviour of the emulated callers.
const (
	tries      = 4
	tryTime    = 3 * time.Second
	retryPause = 300 * time.Millisecond
	pollEvery  = 400 * time.Millisecond
)

// handed is a job from its caller's side.
type handed struct {
	service  string
	job      work.Job
	at       time.Time
	accepted bool
	state    work.State
	ended    time.Duration // from handing in to being shown as over
}

// JobShape is what the emulated jobs are like.
type JobShape struct {
	MaxSteps      int
	MaxWidth      int
	MeanMS        int64
	CPU           int64
	FailingShare  float64 // share of the jobs whose tasks always fail
	Checkpointing bool
}

// wireStep and wireJob are a job in the platform's form.
type wireStep struct {
	Count         int   `json:"Count"`
	CPU           int64 `json:"Cpu"`
	MemMb         int64 `json:"MemMb"`
	EstimateMs    int64 `json:"EstimateMs,omitempty"`
	After         []int `json:"After,omitempty"`
	Checkpointing bool  `json:"Checkpointing,omitempty"`
	LongRunning   bool  `json:"LongRunning,omitempty"`
	MayMiss       *int  `json:"MayMiss,omitempty"`
	MaxPerServer  int   `json:"MaxPerServer,omitempty"`
	Gang          bool  `json:"Gang,omitempty"`
}

type wireJob struct {
	Spec     string     `json:"Spec"`
	JobSteps []wireStep `json:"JobSteps"`
}

func (w *Cluster) fork() *rand.Rand {
	return rand.New(rand.NewPCG(w.rand.Uint64(), w.rand.Uint64()))
}

// NewBatchJob makes a job of the shape.
func (w *Cluster) NewBatchJob(s JobShape) (wireJob, work.Job) {
	var wj wireJob
	var j work.Job
	var spec standin.Spec
	poison := w.rand.Float64() < s.FailingShare
	for i := range 1 + w.rand.IntN(s.MaxSteps) {
		ms := s.MeanMS/2 + w.rand.Int64N(s.MeanMS)
		ws := wireStep{Count: 1 + w.rand.IntN(s.MaxWidth), CPU: s.CPU, MemMb: 100, EstimateMs: ms * (60 + w.rand.Int64N(90)) / 100, Checkpointing: s.Checkpointing}
		if i > 0 {
			ws.After = []int{i - 1}
		}
		wj.JobSteps = append(wj.JobSteps, ws)
		j.Steps = append(j.Steps, work.Step{Count: ws.Count, After: ws.After, Checkpointing: s.Checkpointing})
		spec.Steps = append(spec.Steps, standin.SpecStep{RunMS: ms, CPU: ws.CPU, Mem: ws.MemMb, AlwaysFails: poison, Checkpointing: s.Checkpointing})
	}
	wj.Spec = spec.Text()
	j.Spec = wj.Spec
	return wj, j
}

// NewLongRunningJob makes a job whose tasks run until it is cancelled.
func (w *Cluster) NewLongRunningJob(count, miss int, cpu int64) (wireJob, work.Job) {
	spec := standin.Spec{Steps: []standin.SpecStep{{CPU: cpu, Mem: 100, LongRunning: true}}}
	wj := wireJob{Spec: spec.Text(), JobSteps: []wireStep{{Count: count, CPU: cpu, MemMb: 100, LongRunning: true, MayMiss: &miss, MaxPerServer: 2}}}
	return wj, work.Job{Spec: wj.Spec, Steps: []work.Step{{Count: count, LongRunning: true}}}
}

// Submit hands a job in and follows it, in a goroutine of its own.
func (w *Cluster) Submit(service string, wj wireJob, j work.Job) work.ID {
	w.mu.Lock()
	w.nextID++
	id := work.ID(fmt.Sprintf("%016x", w.nextID))
	h := &handed{service: service, job: j, at: time.Now(), state: work.Queued}
	w.jobs[id] = h
	r := w.fork()
	w.mu.Unlock()
	w.Checker.Submitted(id, j, attempts)
	body, err := json.Marshal(wj)
	if err != nil {
		panic(err) // the emulator's own values encode
	}
	w.wg.Go(func() {
		if w.handIn(id, h, body, r) {
			w.watch(id, h, r)
		}
	})
	return id
}

// handIn tries until the job is accepted or the caller gives up.
func (w *Cluster) handIn(id work.ID, h *handed, body []byte, r *rand.Rand) bool {
	for range tries {
		status, head, _ := w.ask(http.MethodPost, h.service, string(id), body, r)
		accepted := status == http.StatusOK
		refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		w.Checker.SubmitAnswered(id, accepted, refused)
		if accepted {
			w.mu.Lock()
			h.accepted = true
			w.mu.Unlock()
			return true
		}
		wait := retryPause
		if s, err := strconv.Atoi(head.Get("Retry-After")); err == nil {
			wait = time.Duration(s) * time.Second
		}
		if !w.sleep(wait) {
			return false
		}
	}
	return false
}

// watch asks for the job's state until it is over.
func (w *Cluster) watch(id work.ID, h *handed, r *rand.Rand) {
	for w.sleep(pollEvery) {
		status, _, body := w.ask(http.MethodGet, h.service, string(id), nil, r)
		if status != http.StatusOK {
			continue
		}
		var got struct {
			State string `json:"State"`
		}
		if json.Unmarshal(body, &got) != nil {
			continue
		}
		s := work.State(got.State)
		if s == "completed" {
			s = work.Done
		}
		w.mu.Lock()
		h.state = s
		if s.Final() {
			h.ended = time.Since(h.at)
		}
		w.mu.Unlock()
		if s.Final() {
			return
		}
	}
}

// Cancel cancels a job.
func (w *Cluster) Cancel(id work.ID) bool {
	w.mu.Lock()
	h := w.jobs[id]
	r := w.fork()
	w.mu.Unlock()
	for range tries {
		status, _, _ := w.ask(http.MethodDelete, h.service, string(id), nil, r)
		if status == http.StatusOK {
			w.Checker.CancelAcked(id)
			return true
		}
		if !w.sleep(retryPause) {
			return false
		}
	}
	return false
}

// ask sends one request to a daemon that takes callers; status 0 is no answer.
func (w *Cluster) ask(method, service, id string, body []byte, r *rand.Rand) (int, http.Header, []byte) {
	n := w.pick(r)
	ctx, cancel := context.WithTimeout(w.ctx, tryTime)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/%s", netip.AddrPortFrom(n.at, portCallers), service, id)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // the emulator's own addresses are well-formed
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Gypsumlead-Deadline-Ms", strconv.FormatInt(tryTime.Milliseconds(), 10))
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, http.Header{}, nil
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, http.Header{}, nil
	}
	return resp.StatusCode, resp.Header, data
}

// pick returns a daemon that is up; the balancer's lag is left out.
func (w *Cluster) pick(r *rand.Rand) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up []*node
	for _, name := range w.Daemons() {
		if n := w.daemons[name]; n.life != nil {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return w.daemons["e1"]
	}
	return up[r.IntN(len(up))]
}

// sleep waits; it is false when the world ends first.
func (w *Cluster) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// State returns a job's state as its caller last saw it.
func (w *Cluster) State(id work.ID) work.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id].state
}

// Stats is what callers got.
type Stats struct {
	Submitted, Accepted, Done, Failed int
	MedianLatency, MaxLatency         time.Duration // from handing in to being shown as completed
}

// Stats returns what callers got so far.
func (w *Cluster) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	var t Stats
	var times []time.Duration
	for _, h := range w.jobs {
		t.Submitted++
		if h.accepted {
			t.Accepted++
		}
		switch h.state {
		case work.Done:
			t.Done++
			times = append(times, h.ended)
		case work.Failed:
			t.Failed++
		case work.Queued, work.Running, work.Cancelled:
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		t.MedianLatency, t.MaxLatency = times[len(times)/2], times[len(times)-1]
	}
	return t
}

func sorted(list []string) []string {
	slices.Sort(list)
	return list
}
