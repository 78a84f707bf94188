//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients send it, with what only its runners know.
type step struct {
	Count         int     `json:"Count,omitempty"`
	CPU           int64   `json:"Cpu,omitempty"`
	MemMb         int64   `json:"MemMb,omitempty"`
	Gpus          int64   `json:"Gpus,omitempty"`
	EstimateMs    float64 `json:"EstimateMs,omitempty"`
	After         []int   `json:"After,omitempty"`
	Checkpointing bool    `json:"Checkpointing,omitempty"`
	Gang          bool    `json:"Gang,omitempty"`
	SameRack      bool    `json:"SameRack,omitempty"`
	RequiredLabel string  `json:"RequiredLabel,omitempty"`
	Affinity      string  `json:"Affinity,omitempty"`
	MaxPerServer  int     `json:"MaxPerServer,omitempty"`
	Speculative   bool    `json:"Speculative,omitempty"`
	LongRunning   bool    `json:"LongRunning,omitempty"`
	Image         string  `json:"Image,omitempty"`
	TargetMs      float64 `json:"TargetMs,omitempty"`
	Fills         bool    `json:"Fills,omitempty"`
	MayMiss       int     `json:"MayMiss,omitempty"`

	Work      time.Duration `json:"-"` // of each task
	FailAfter time.Duration `json:"-"` // its runs fail after this time; 0 never
}

// job is a job that a client hands in, and what became of it.
type job struct {
	id          string
	queue       string
	spec        string
	steps       []step
	repeat      int
	startAt     time.Time
	interval    time.Duration
	maxAttempts int

	mu        sync.Mutex
	sentAt    time.Time
	accepted  time.Time // zero until a 2xx
	attempts  int
	rejected  int       // attempts answered with 429 or 503
	cancelled time.Time // when the cancellation was acknowledged
}

// newID returns a job's ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newJob returns a job of a queue.
func (s *scene) newJob(queue string, steps ...step) *job {
	j := &job{id: newID(), queue: queue, steps: steps, maxAttempts: 3}
	j.spec = "spec of " + j.id
	s.fleet.addJob(j)
	return j
}

func (j *job) body() []byte {
	b, err := json.Marshal(struct {
		Spec        string
		JobSteps    []step
		RepeatCount int   `json:",omitempty"`
		StartAtMs   int64 `json:",omitempty"`
		IntervalMs  int64 `json:",omitempty"`
	}{j.spec, j.steps, j.repeat, j.startMs(), j.interval.Milliseconds()})
	if err != nil {
		panic(err) // it has only plain fields
	}
	return b
}

func (j *job) startMs() int64 {
	if j.repeat == 0 {
		return 0
	}
	return j.startAt.UnixMilli()
}

// front returns the address of a random daemon.
func (s *scene) front() string { return s.daemons[rand.IntN(len(s.daemons))].front }

// submit hands a job in, with up to four repeats at any daemon where the outcome is unknown, and reports whether it was accepted.
func (s *scene) submit(j *job) bool {
	body := j.body()
	j.mu.Lock()
	j.sentAt = time.Now()
	j.mu.Unlock()
	for range 5 {
		at := s.front()
		status, answer, err := call(http.MethodPost, "http://"+at+"/"+j.queue+"/"+j.id, host, body)
		s.note("POST /%s/%s to %s: %d %s %v", j.queue, j.id, at, status, strings.TrimSpace(string(answer)), err)
		j.mu.Lock()
		j.attempts++
		switch {
		case err == nil && status/100 == 2:
			j.accepted = time.Now()
			j.mu.Unlock()
			return true
		case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
			j.rejected++
			j.mu.Unlock()
			return false
		case err == nil && status/100 == 4:
			j.mu.Unlock()
			return false
		}
		j.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks a daemon for a job's state.
func (s *scene) state(j *job) (string, int) {
	status, body, err := call(http.MethodGet, "http://"+s.front()+"/"+j.queue+"/"+j.id, host, nil)
	if err != nil {
		return "", 0
	}
	var shown struct{ State string }
	_ = json.Unmarshal(body, &shown) // the status tells
	return shown.State, status
}
