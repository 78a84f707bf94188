//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playMoved: a version of the configuration removes a queue's route and adds one with the same prefix to another service. The
// requests of jobs that were accepted before arrive once more. Each remains one job: no task may run twice.
func playMoved(s *scene) ([]string, error) {
	s.configure(route{prefix: "/jobs/", service: "desk"}, route{prefix: "/other/", service: "bus"})
	var mu sync.Mutex
	var broken []string
	startedOn := map[string]string{}
	for i := range 16 {
		service := "desk"
		if i >= 8 {
			service = "bus"
		}
		r, err := s.addRunner(fmt.Sprintf("i-%02d", i), service, 8000, "a", fmt.Sprintf("r%d", i/4))
		if err != nil {
			return nil, err
		}
		r.onStart = func(task string, run int) {
			mu.Lock()
			defer mu.Unlock()
			if before, ok := startedOn[task]; ok {
				broken = append(broken, fmt.Sprintf("TWICE: run %d of %s was started on %s (%s), after %s", run, task, r.id, service, before))
			}
			startedOn[task] = fmt.Sprintf("run %d on %s (%s)", run, r.id, service)
		}
	}
	if err := s.startDaemons(3); err != nil {
		return nil, err
	}
	// Half of the jobs are done when their requests arrive again, half are running.
	lengths := []int{500, 500, 15_000, 15_000}
	job := func(n int) map[string]any {
		return map[string]any{"Spec": fmt.Sprintf("cpu=2000 ms=%d", lengths[n]), "JobSteps": []any{map[string]any{"Count": 2, "Cpu": 2000, "MemMb": 512, "EstimateMs": lengths[n]}}}
	}
	for n := range lengths {
		if !s.submit("/jobs/"+jobID(n), job(n)) {
			return nil, fmt.Errorf("a job was not accepted")
		}
		s.note("POST %s: 200", jobID(n))
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.version++
		s.configure(route{prefix: "/jobs/", service: "bus"}, route{prefix: "/other/", service: "bus"}, route{prefix: "/rest/", service: "desk"})
		s.note("version %d: the route to desk is removed, and one with the same prefix to bus is added", s.version)
	}
	time.Sleep(4 * time.Second) // ConfigApplyMs is 2,000
	for n := range lengths {
		status, body := s.daemons[n%3].call(http.MethodGet, "/jobs/"+jobID(n), nil, 3*time.Second)
		s.note("GET %s: %d %s", jobID(n), status, body)
		if status == http.StatusGone {
			mu.Lock()
			broken = append(broken, "LOST: GET for the accepted job "+jobID(n)+" was answered 410")
			mu.Unlock()
		}
	}
	for n := range lengths {
		status, _ := s.daemons[(n+1)%3].call(http.MethodPost, "/jobs/"+jobID(n), job(n), 3*time.Second)
		s.note("POST %s once more: %d", jobID(n), status)
	}
	time.Sleep(18 * time.Second)
	for n := range lengths {
		status, body := s.daemons[0].call(http.MethodGet, "/jobs/"+jobID(n), nil, 3*time.Second)
		s.note("GET %s: %d %s", jobID(n), status, strings.TrimSpace(body))
	}
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}
