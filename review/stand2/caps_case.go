//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playCaps: one of two daemons is killed and started again, while the store is down for 1.3 s. Jobs that are handed in later, without
// any disruption, must run: the pools are idle and the tenant is below its cap.
func playCaps(s *scene) ([]string, error) {
	s.setCap(40_000)
	s.weights = []float64{smallWeight, 0.8}
	s.standby = "kantor-pusat"
	s.configure(
		route{prefix: "/one/", service: "korporat"}, route{prefix: "/two/", service: "tarif"},
		route{prefix: "/three/", service: "loket"}, route{prefix: "/four/", service: "pesanan"},
	)
	for i := range 8 {
		service := "korporat"
		if i >= 4 {
			service = "tarif"
		}
		if _, err := s.addRunner(fmt.Sprintf("i-%d", i), service, 8000, "a", fmt.Sprintf("r%d", i/4)); err != nil {
			return nil, err
		}
	}
	if err := s.startDaemons(2); err != nil {
		return nil, err
	}
	job := map[string]any{"Spec": "cpu=2000 ms=500", "JobSteps": []any{map[string]any{"Count": 2, "Cpu": 2000, "MemMb": 512, "EstimateMs": 500}}}
	paths := []string{}
	handIn := func(n int) error {
		path := []string{"/one/", "/two/"}[n%2] + jobID(n)
		if !s.submit(path, job) {
			return fmt.Errorf("job %s was not accepted", path)
		}
		s.note("POST %s: 200", path)
		paths = append(paths, path)
		return nil
	}
	for n := range 4 {
		if err := handIn(n); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	for _, path := range paths {
		if _, body := s.daemons[0].call(http.MethodGet, path, nil, 3*time.Second); !strings.Contains(body, "completed") {
			return nil, fmt.Errorf("job %s did not run before: %s", path, body)
		}
	}
	paths = nil
	if s.trouble {
		s.note("the store is down (503), %s is killed", s.daemons[0].name)
		s.gate.setDown(true)
		s.daemons[0].kill()
		time.Sleep(1300 * time.Millisecond)
		s.gate.setDown(false)
		s.note("the store is back")
	}
	time.Sleep(10 * time.Second) // without disruption; ContactMs is 4,000
	for n := 10; n < 16; n++ {
		if err := handIn(n); err != nil {
			return nil, err
		}
	}
	time.Sleep(30 * time.Second)
	var broken []string
	for i, path := range paths {
		status, body := s.daemons[i%2].call(http.MethodGet, path, nil, 3*time.Second)
		s.note("GET %s: %d %s", path, status, body)
		if strings.Contains(body, "queued") && len(s.running(path[len("/one/"):])) == 0 {
			broken = append(broken, "LOST: "+path+" has nothing running 30 s after it was accepted, 40 s after the last disruption, in an idle pool")
		}
	}
	return broken, nil
}
