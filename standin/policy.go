package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gypsumlead/sleep"
)

// maxPolicyQueue is how many calls may wait for the policy service.
const maxPolicyQueue = 32

// PolicyTerms say how long the policy service takes to answer, and for how long its tickets are valid.
type PolicyTerms struct {
	Base  time.Duration
	Each  time.Duration // for each runner of a call
	Valid time.Duration
}

// PolicyService decides which runners may run a step. It handles one call at a time for each calling host.
type PolicyService struct {
	ctx   context.Context // ends the handling of calls
	terms PolicyTerms

	mu       sync.Mutex
	hosts    map[string]chan struct{} // holds an element while a call of the host is handled
	waiting  int
	tickets  map[string]time.Time // until when valid, by step and runner
	refused  func(runner string) bool
	down     bool
	calls    int
	inFlight map[string]int // calls by step
	repeated int            // calls about a step beside one that wasn't answered
}

// NewPolicyService returns a service that approves all runners, until ctx ends.
func NewPolicyService(ctx context.Context, terms PolicyTerms) *PolicyService {
	return &PolicyService{
		ctx: ctx, terms: terms, hosts: map[string]chan struct{}{}, tickets: map[string]time.Time{}, inFlight: map[string]int{},
		refused: func(string) bool { return false },
	}
}

// Refuse sets which runners no step may run on.
func (p *PolicyService) Refuse(refused func(runner string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = refused
}

// SetDown sets whether the service answers 503 to every call.
func (p *PolicyService) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Calls returns how many calls have arrived, and how many of them while an earlier one about the same step was in progress.
func (p *PolicyService) Calls() (all, repeated int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.repeated
}

// policyCall is the body of a call.
type policyCall struct {
	Step    string
	Workers []string
}

// ServeHTTP answers a call once its host's earlier ones are handled and the time by the terms has passed, whether or not the host
// still waits.
func (p *PolicyService) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var call policyCall
	if json.NewDecoder(req.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	host, _, _ := net.SplitHostPort(req.RemoteAddr) // an address without a port is a host of its own
	turn, status := p.enter(host, call)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	select {
	case turn <- struct{}{}:
	case <-p.ctx.Done():
		return
	}
	_ = sleep.For(p.ctx, p.terms.Base+time.Duration(len(call.Workers))*p.terms.Each) // the answer is of no use then
	<-turn
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Approved": p.leave(call), "ValidMs": p.terms.Valid.Milliseconds()}) // the host may be gone
}

// enter counts a call, and returns its host's turns and the status of a refusal.
func (p *PolicyService) enter(host string, call policyCall) (chan struct{}, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	switch {
	case p.down:
		return nil, http.StatusServiceUnavailable
	case p.waiting >= maxPolicyQueue:
		return nil, http.StatusTooManyRequests
	}
	p.waiting++
	if p.inFlight[call.Step] > 0 {
		p.repeated++
	}
	p.inFlight[call.Step]++
	if p.hosts[host] == nil {
		p.hosts[host] = make(chan struct{}, 1)
	}
	return p.hosts[host], http.StatusOK
}

// leave returns the rows of the runners that a call approves.
func (p *PolicyService) leave(call policyCall) [][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	p.inFlight[call.Step]--
	approved := [][]string{}
	for _, id := range call.Workers {
		if !p.refused(id) {
			p.tickets[call.Step+" "+id] = time.Now().Add(p.terms.Valid)
			approved = append(approved, []string{id, policyTicket(id)})
		}
	}
	return approved
}

func policyTicket(runner string) string { return "t-" + runner }

// valid reports whether a start of a task carries a valid ticket for a runner.
func (p *PolicyService) valid(task, runner, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	step := task[:max(0, strings.LastIndexByte(task, '.'))]
	return ticket == policyTicket(runner) && time.Now().Before(p.tickets[step+" "+runner])
}
