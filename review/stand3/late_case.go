//go:build review

package main

import (
	"sync"
	"time"
)

// Times and doses of lateCase, as of ptscna-sched.
const (
	lateShare = 0.055 // of the orders that get no answer and are carried out later
	lateTime  = 5500 * time.Millisecond
	rackDark  = 6500 * time.Millisecond
	calmTime  = 9 * time.Second
	lateCycle = 3 // how often it all happens
)

// lateCase: for some seconds runners leave a share of their orders unanswered and carry them out later; then a rack crashes, and its runners
// are back under their IDs.
func lateCase(s *scene) ([]string, error) {
	s.addService("desk")
	s.addQueue("desk", "desk", 0)
	runners := s.addRunners("desk", 9, "a", worker)
	s.putConfig()
	if err := s.addDaemons(3); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	stopAt := time.Now().Add(lateCycle * (lateTime + rackDark + calmTime))
	wg.Go(func() {
		for time.Now().Before(stopAt) {
			s.submit(s.newJob("desk", step{Count: 12, CPU: 1200, MemMb: 400, EstimateMs: 1500, Work: 1500 * time.Millisecond}))
			time.Sleep(60 * time.Millisecond)
		}
	})
	for range lateCycle {
		if !s.trouble {
			break
		}
		s.setLate(runners, lateShare)
		time.Sleep(lateTime)
		s.setLate(runners, 0)
		s.fleet.mu.Lock()
		for _, r := range runners[4:8] { // a rack
			r.crash(false)
		}
		s.fleet.mu.Unlock()
		time.Sleep(rackDark)
		s.fleet.mu.Lock()
		for _, r := range runners[4:8] {
			r.start()
		}
		s.fleet.mu.Unlock()
		time.Sleep(calmTime)
	}
	wg.Wait()
	s.note("end of the traffic")
	time.Sleep(3 * time.Second)
	return nil, nil // what the runners have seen tells
}

// setLate sets the share of the orders that runners leave unanswered and carry out later.
func (s *scene) setLate(runners []*runner, share float64) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, r := range runners {
		r.lateRate = share
	}
}
