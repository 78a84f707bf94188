//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

// addRunners adds n runners of a service, four a rack.
func (s *scene) addRunners(service string, n int, kind string, room capacity) []*runner {
	var list []*runner
	for i := range n {
		machine := fmt.Sprintf("%s-%s%d", service, kind, i)
		list = append(list, s.fleet.newRunner(machine, service, fmt.Sprintf("z%d", i%3+1), []string{kind, fmt.Sprintf("%s-%s-r%d", service, kind, i/4)}, room))
	}
	return list
}

// spreadCase: a job that lasts has one task on each of the two runners with accelerators; one of these runners is lost for good.
func spreadCase(s *scene) ([]string, error) {
	s.addService("desk")
	s.addQueue("desk", "desk", 0)
	s.addRunners("desk", 7, "a", worker)
	special := s.addRunners("desk", 2, "b", capacity{64000, 262144, 8})
	s.putConfig()
	if err := s.addDaemons(3); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	spread := s.newJob("desk", step{Count: 2, CPU: 1000, MemMb: 1024, Gpus: 1, EstimateMs: 1000, MaxPerServer: 1, LongRunning: true})
	if !s.submit(spread) {
		return nil, errors.New("the lasting job was not accepted")
	}
	time.Sleep(3 * time.Second)
	if n := s.fleet.running(spread); n != 2 {
		return nil, fmt.Errorf("%d tasks of the lasting job are at work", n)
	}
	if s.trouble {
		s.fleet.mu.Lock()
		special[0].crash(true)
		s.fleet.mu.Unlock()
	}
	time.Sleep(20 * time.Second)
	quick := s.newJob("desk", step{Count: 1, CPU: 1000, MemMb: 1024, Gpus: 1, EstimateMs: 1000, Work: time.Second})
	plain := s.newJob("desk", step{Count: 1, CPU: 1000, MemMb: 1024, EstimateMs: 1000, Work: time.Second})
	if !s.submit(quick) || !s.submit(plain) {
		return nil, errors.New("a job was not accepted")
	}
	s.note("end of the traffic")
	time.Sleep(finishTime)
	return append(s.idle(quick), s.idle(plain)...), nil
}

// idleLimit is how long a job may have nothing running after the end of the traffic, while there is capacity for it.
const idleLimit = 3 * time.Second

// idle returns what LOST says of a job of one step: whether, for 3 s on end, it has nothing running though a task's turn has come, there is
// capacity for it twice over, and under half of the service's capacity is in use.
func (s *scene) idle(j *job) []string {
	since := time.Now()
	for end := time.Now().Add(2 * idleLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.fleet.jobDone(j) || s.fleet.running(j) > 0 || !s.fleet.hasCapacityTwice(j) {
			since = time.Now()
		}
		if time.Since(since) < idleLimit {
			continue
		}
		state, status := s.state(j)
		return []string{fmt.Sprintf("LOST: job %s is %q (%d) and has had nothing running for %v from %v after the end of the traffic on, with capacity for it twice over; starts: %d",
			j.id, state, status, idleLimit, finishTime, s.fleet.started(j))}
	}
	return nil
}

// hasCapacityTwice reports whether the runners have room for a job's first step twice over, and under half of their service's capacity is in
// use.
func (f *fleet) hasCapacityTwice(j *job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	need := j.steps[0]
	places, used, total := 0, int64(0), int64(0)
	for _, r := range f.runners {
		if r.down || r.service != f.scene.serviceOf(j.queue) {
			continue
		}
		free := r.room
		for _, run := range r.runs {
			free.take(run.step)
		}
		used, total = used+r.room.CPU-free.CPU, total+r.room.CPU
		for free.take(&need); free.CPU >= 0 && free.MemMb >= 0 && free.Gpus >= 0; free.take(&need) {
			places++
		}
	}
	return places >= 2*need.Count && 2*used < total
}

// serviceOf returns the service that a queue is sent to.
func (s *scene) serviceOf(queue string) string {
	for _, r := range s.config.Routes {
		if r.Name == queue {
			return r.Service
		}
	}
	return ""
}
