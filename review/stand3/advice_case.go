//go:build review

package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"
)

// terms are the Advice of a queue in the configuration.
type terms struct {
	DecisionMs, PerWorkerMs, ValidMs int
}

// adviser is the service that approves runners; it approves all of them. It handles one call at a time for each calling machine; the
// daemons of a scene share an address, so that it tells them apart by nothing and takes their calls side by side.
type adviser struct {
	scene *scene
	terms terms

	mu      sync.Mutex
	tickets map[string]time.Time // until when valid, by step and runner
}

func (s *scene) addAdviser(t terms) error {
	s.adviser = &adviser{scene: s, terms: t, tickets: map[string]time.Time{}}
	at, err := s.serve(s.adviser)
	s.adviserAt = at
	return err
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var call struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(req.Body).Decode(&call) != nil || len(call.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(a.terms.DecisionMs+a.terms.PerWorkerMs*len(call.Workers)) * time.Millisecond)
	approved := [][]string{}
	a.mu.Lock()
	for _, id := range call.Workers {
		a.tickets[call.Step+" "+id] = time.Now().Add(time.Duration(a.terms.ValidMs) * time.Millisecond)
		approved = append(approved, []string{id, "t-" + id})
	}
	a.mu.Unlock()
	a.scene.note("advice for %s on %d runners; caller gone: %v", call.Step, len(call.Workers), req.Context().Err() != nil)
	reply(w, http.StatusOK, map[string]any{"Approved": approved, "ValidMs": a.terms.ValidMs})
}

// valid reports whether a start carries a valid ticket.
func (a *adviser) valid(o order, runner string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return o.Ticket == "t-"+runner && time.Now().Before(a.tickets[o.Task[:strings.LastIndexByte(o.Task, '.')]+" "+runner])
}

// adviceCase: jobs of 24 tasks come at once on a queue that needs approvals.
func adviceCase(s *scene) ([]string, error) {
	if err := s.addAdviser(terms{DecisionMs: 200, PerWorkerMs: 50, ValidMs: 3000}); err != nil {
		return nil, err
	}
	s.addService("desk")
	s.addQueue("desk", "desk", 0)
	s.config.Routes[0].Advice = &s.adviser.terms
	s.addRunners("desk", 40, "a", worker)
	s.putConfig()
	if err := s.addDaemons(3); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	width := 24
	if !s.trouble {
		width = 6
	}
	var jobs []*job
	for range 3 {
		j := s.newJob("desk", step{Count: 6, CPU: 1000, MemMb: 512, EstimateMs: 1000, Work: time.Second})
		if !s.submit(j) {
			return nil, errors.New("a job was not accepted")
		}
		jobs = append(jobs, j)
		time.Sleep(2 * time.Second)
	}
	for range 3 {
		j := s.newJob("desk", step{Count: width, CPU: 1000, MemMb: 512, EstimateMs: 1000, Work: time.Second})
		if !s.submit(j) {
			return nil, errors.New("a job was not accepted")
		}
		jobs = append(jobs, j)
	}
	s.note("end of the traffic")
	time.Sleep(finishTime)
	return s.idleJobs(jobs), nil
}
