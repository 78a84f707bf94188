//go:build review

package main

import (
	"fmt"
	"time"
)

// crowdCase: 500 jobs of one small task each run; the runner with the most of them crashes and is back.
func crowdCase(s *scene) ([]string, error) {
	s.addService("desk")
	s.addQueue("desk", "desk", 0)
	runners := s.addRunners("desk", 9, "a", worker)
	s.putConfig()
	if err := s.addDaemons(3); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var jobs []*job
	for range 500 {
		j := s.newJob("desk", step{Count: 1, CPU: 100, MemMb: 64, EstimateMs: 40_000, Work: 40 * time.Second})
		if s.submit(j) {
			jobs = append(jobs, j)
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.fleet.mu.Lock()
		most := runners[0]
		for _, r := range runners {
			if len(r.runs) > len(most.runs) {
				most = r
			}
		}
		most.crash(false)
		s.fleet.mu.Unlock()
		time.Sleep(3 * time.Second)
		s.fleet.mu.Lock()
		most.start()
		s.fleet.mu.Unlock()
	}
	s.note("%d jobs were accepted", len(jobs))
	time.Sleep(finishTime)
	return s.idleJobs(jobs), nil
}

// idleJobs returns what LOST says of jobs of one step: that some have nothing running for 3 s, though a task's turn has come, there is capacity
// for it twice over, and under half of the service's capacity is in use.
func (s *scene) idleJobs(jobs []*job) []string {
	idle := map[*job]bool{}
	for _, j := range jobs {
		idle[j] = true
	}
	for end := time.Now().Add(idleLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for j := range idle {
			if s.fleet.jobDone(j) || s.fleet.running(j) > 0 || !s.fleet.hasCapacityTwice(j) {
				delete(idle, j)
			}
		}
	}
	states := map[string]int{}
	for _, j := range jobs {
		state, status := s.state(j)
		states[fmt.Sprintf("%s (%d)", state, status)]++
	}
	s.note("states: %v", states)
	if len(idle) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d accepted jobs have had nothing running for %v from %v after the end of the traffic on, with capacity for them twice over", len(idle), len(jobs), idleLimit, finishTime)}
}
