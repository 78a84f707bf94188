//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// adviser is a stand-in of the service that approves runners.
type adviser struct {
	scene     *scene
	addr      string
	decision  time.Duration
	perWorker time.Duration
	validFor  time.Duration
	approves  func(step, runner string) bool

	turn    sync.Mutex // calls are handled one at a time
	mu      sync.Mutex
	waiting int
	calls   int
	tickets map[string]time.Time // until when valid, by step and runner
}

func (s *scene) addAdviser(decision, perWorker, validFor time.Duration, approves func(step, runner string) bool) error {
	a := &adviser{scene: s, decision: decision, perWorker: perWorker, validFor: validFor, approves: approves, tickets: map[string]time.Time{}}
	var err error
	a.addr, err = serve(a)
	s.adviser = a
	return err
}

// terms is the queue's Advice in the configuration.
func (a *adviser) terms() map[string]any {
	return map[string]any{"DecisionMs": a.decision.Milliseconds(), "PerWorkerMs": a.perWorker.Milliseconds(), "ValidMs": a.validFor.Milliseconds()}
}

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.calls++
	if a.waiting >= 32 {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	gone := r.Context().Err() != nil // a caller that has left before its turn costs nothing
	if !gone {
		time.Sleep(a.decision + time.Duration(len(call.Workers))*a.perWorker)
	}
	a.turn.Unlock()
	approved := [][]string{}
	a.mu.Lock()
	for _, id := range call.Workers {
		if a.approves(call.Step, id) {
			a.tickets[call.Step+" "+id] = time.Now().Add(a.validFor)
			approved = append(approved, []string{id, "t-" + id})
		}
	}
	a.mu.Unlock()
	a.scene.note("advice for %s on %d runners: %d approved, caller gone: %v", call.Step, len(call.Workers), len(approved), r.Context().Err() != nil)
	writeJSON(w, http.StatusOK, map[string]any{"Approved": approved, "ValidMs": a.validFor.Milliseconds()})
}

// valid reports whether a start of a task on a runner carries a valid ticket.
func (a *adviser) valid(task, runner, ticket string) bool {
	step := task[:strings.LastIndexByte(task, '.')]
	a.mu.Lock()
	defer a.mu.Unlock()
	return ticket == "t-"+runner && time.Now().Before(a.tickets[step+" "+runner])
}
