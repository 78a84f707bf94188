//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["crowd"] = crowd }

// crowd: 500 clients hand in a job of one small task of 40 s each, on a service of nine runners of 64 cores; the tasks share a few of
// the runners. When all run, the runner with the most of them crashes; it is back after 3 s under its ID. Without the trouble it
// doesn't crash.
func crowd(s *site, trouble bool) int {
	if err := smallSite(s, 9, 64); err != nil {
		s.record.say("%v", err)
		return exitNotRun
	}
	const jobs = 500
	c := newClients(s)
	for n := range jobs {
		job := newJob(fmt.Sprintf("%016x", 0xee000+n), "alerts", 1, 1, specStep{Ms: 40_000, CPU: 100, Mem: 64}, nil)
		c.wg.Go(func() { c.submit(job, n) })
		time.Sleep(10 * time.Millisecond)
	}
	c.wg.Wait()
	for end := time.Now().Add(10 * time.Second); s.running() < jobs && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	s.record.say("%d tasks run", s.running())
	trafficEnds := time.Now()
	if trouble {
		most, n := s.fullest()
		s.record.say("%s crashes, which runs %d tasks", most.id, n)
		most.crash()
		time.AfterFunc(3*time.Second, most.restart)
	}
	return c.checkLost(trafficEnds)
}

// fullest returns the runner with the most runs, and how many it has.
func (s *site) fullest() (most *runner, n int) {
	for _, r := range s.runners {
		r.mu.Lock()
		if most == nil || len(r.runs) > n {
			most, n = r, len(r.runs)
		}
		r.mu.Unlock()
	}
	return most, n
}

// running returns how many tasks run on all runners.
func (s *site) running() int {
	n := 0
	for _, r := range s.runners {
		r.mu.Lock()
		n += len(r.runs)
		r.mu.Unlock()
	}
	return n
}
