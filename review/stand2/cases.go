//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playLabel: a runner crashes and starts again under its Id and address, as another kind. Its entry, which it writes before it
// takes calls, reaches the daemons later, as the store is slow. No task that needs the old kind's label may be started on it.
func playLabel(s *scene) ([]string, error) {
	s.configure(route{prefix: "/jobs/", service: "desk"})
	var changed *runner
	for i := range 8 {
		kind := "a"
		if i < 3 {
			kind = "b"
		}
		r, err := s.addRunner(fmt.Sprintf("i-%d", i), "desk", 8000, kind, fmt.Sprintf("r%d", i/4))
		if err != nil {
			return nil, err
		}
		if i == 0 {
			changed = r
		}
	}
	if err := s.startDaemons(3); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	changed.onStart = func(task string, run int) {
		if changed.labels[0] != "b" {
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("ROUTE: run %d of %s, which requires label b, was started on %s %v", run, task, changed.id, changed.labels))
		}
	}
	var jobs sync.WaitGroup
	stop := make(chan struct{})
	accepted := atomic.Int64{}
	jobs.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			jobs.Go(func() {
				job := map[string]any{"Spec": "cpu=2000 ms=800", "JobSteps": []any{map[string]any{"Count": 2, "Cpu": 2000, "MemMb": 512, "EstimateMs": 800, "RequiredLabel": "b"}}}
				if s.submit("/jobs/"+jobID(n), job) {
					accepted.Add(1)
				}
			})
		}
	})
	time.Sleep(4 * time.Second)
	for range 6 {
		if s.trouble {
			s.gate.setSlow(236 * time.Millisecond) // 60 times the store's 4 ms
			changed.crash()
			time.Sleep(2 * time.Second)
			changed.mu.Lock()
			changed.labels = []string{map[string]string{"a": "b", "b": "a"}[changed.labels[0]], "r0"}
			changed.mu.Unlock()
			s.note("%s starts again as %v", changed.id, changed.labels)
			if err := changed.start(); err != nil {
				return nil, err
			}
			time.Sleep(2 * time.Second)
			s.gate.setSlow(0)
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	jobs.Wait()
	s.note("%d jobs accepted", accepted.Load())
	if accepted.Load() == 0 {
		return nil, fmt.Errorf("no job was accepted")
	}
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

// playCancel: the answer of the write that stores a job is lost, and the write is carried out later. The client leaves and
// cancels the job; DELETE is answered 410. The job must not run after that.
func playCancel(s *scene) ([]string, error) {
	s.configure(route{prefix: "/jobs/", service: "desk"})
	for i := range 8 {
		if _, err := s.addRunner(fmt.Sprintf("i-%d", i), "desk", 8000, "a", fmt.Sprintf("r%d", i/4)); err != nil {
			return nil, err
		}
	}
	if err := s.startDaemons(3); err != nil {
		return nil, err
	}
	job := map[string]any{"Spec": "cpu=2000 lasts", "JobSteps": []any{map[string]any{"Count": 3, "Cpu": 2000, "MemMb": 512, "EstimateMs": 800, "LongRunning": true}}}
	// The service works before.
	if !s.submit("/jobs/"+jobID(0), job) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if len(s.running(jobID(0))) != 3 {
		return nil, fmt.Errorf("the first job does not run")
	}
	var lost, writes atomic.Int64
	var broken []string
	type cancelled struct {
		id string
		at time.Time
	}
	var all []cancelled
	for n := 1; n <= 3; n++ {
		id := jobID(n)
		if s.trouble {
			// The first write with the job's row is lost and late, of all writes at most a third.
			mine := atomic.Int64{}
			s.gate.setLate(func(tx []byte) time.Duration {
				total := writes.Add(1)
				if !strings.Contains(string(tx), `"job"`) || !strings.Contains(string(tx), id) || mine.Add(1) > 1 {
					return 0
				}
				s.note("write with job %s: no answer, to be carried out in 3 s (%d lost of %d writes)", id, lost.Add(1), total)
				return 3 * time.Second
			})
		}
		d := s.daemons[n%len(s.daemons)]
		begun := time.Now()
		status, _ := d.call(http.MethodPost, "/jobs/"+id, job, 600*time.Millisecond)
		s.note("POST %s at %s: %d after %d ms; the client leaves", id, d.name, status, time.Since(begun).Milliseconds())
		for {
			status, _ = d.call(http.MethodDelete, "/jobs/"+id, nil, 3*time.Second)
			s.note("DELETE %s at %s: %d", id, d.name, status)
			if status == http.StatusOK || status == http.StatusGone {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		all = append(all, cancelled{id, time.Now()})
		time.Sleep(5 * time.Second)
	}
	s.gate.setLate(nil)
	time.Sleep(10 * time.Second) // without disruption
	for _, c := range all {
		tasks := s.running(c.id)
		s.note("%s: %d tasks run %.1f s after its cancelling was acknowledged", c.id, len(tasks), time.Since(c.at).Seconds())
		if len(tasks) > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: %d tasks of %s run %.1f s after its cancelling was acknowledged", len(tasks), c.id, time.Since(c.at).Seconds()))
		}
	}
	return broken, nil
}

// playCrash: the runner of a task crashes, five times in all, one runner at a time. No run has ended as failed, so the job must
// not be shown as failed.
func playCrash(s *scene) ([]string, error) {
	s.configure(route{prefix: "/jobs/", service: "desk"})
	for i := range 8 {
		if _, err := s.addRunner(fmt.Sprintf("i-%d", i), "desk", 8000, "a", fmt.Sprintf("r%d", i/4)); err != nil {
			return nil, err
		}
	}
	if err := s.startDaemons(3); err != nil {
		return nil, err
	}
	id := jobID(1)
	job := map[string]any{"Spec": "cpu=2000 ms=12000", "JobSteps": []any{map[string]any{"Count": 1, "Cpu": 2000, "MemMb": 512, "EstimateMs": 12000}}}
	if !s.submit("/jobs/"+id, job) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	for n := 0; s.trouble && n < 5; {
		time.Sleep(50 * time.Millisecond)
		for _, r := range s.running(id) {
			time.Sleep(3 * time.Second)
			r.crash()
			n++
			time.Sleep(2 * time.Second)
			if err := r.start(); err != nil {
				return nil, err
			}
			s.note("%s is back", r.id)
		}
		if time.Since(s.begun) > 80*time.Second {
			break
		}
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		status, body := s.daemons[0].call(http.MethodGet, "/jobs/"+id, nil, 3*time.Second)
		s.note("GET %s: %d %s", id, status, body)
		switch {
		case strings.Contains(body, "failed"):
			return []string{"LOST: " + id + " is shown as failed, and no run of it has ended failed"}, nil
		case strings.Contains(body, "completed"):
			return nil, nil
		}
	}
	return nil, nil
}
