package standin

import (
	"cmp"
	"slices"
	"sync"
)

// Run is what a runner knows of one Request-Id.
type Run struct {
	ID       string `json:"id"`
	Seen     int    `json:"seen"`     // request heads that arrived
	Started  int    `json:"started"`  // runs that began
	Finished int    `json:"finished"` // runs that came to their end
	Cut      int    `json:"cut"`      // requests in progress that a stop or reboot of the runner cut
}

// Account is what a runner has done since it was made, over all its boots.
type Account struct {
	Boot  string `json:"boot"`
	Runs  []Run  `json:"runs"`  // sorted by ID
	Now   int    `json:"now"`   // requests in progress, those that wait for a slot included
	Peak  int    `json:"peak"`  // most requests in progress at once
	Waits int    `json:"waits"` // requests that found no free slot
	Conns int    `json:"conns"` // open connections
	Shed  int    `json:"shed"`  // connections closed because there were too many
}

// ledger counts every request that reaches a runner.
type ledger struct {
	mu    sync.Mutex
	runs  map[string]*Run
	now   int
	peak  int
	waits int
}

func newLedger() *ledger {
	return &ledger{runs: map[string]*Run{}}
}

// note alters the run of a Request-Id.
func (l *ledger) note(id string, do func(r *Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	if r == nil {
		r = &Run{ID: id}
		l.runs[id] = r
	}
	do(r)
}

// enter counts a request in progress; the function returned takes it out again.
func (l *ledger) enter(id string) (leave func()) {
	l.note(id, func(r *Run) {
		r.Seen++
		l.now++
		l.peak = max(l.peak, l.now)
	})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.now--
	}
}

func (l *ledger) wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waits++
}

func (l *ledger) account() Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := Account{Now: l.now, Peak: l.peak, Waits: l.waits, Runs: make([]Run, 0, len(l.runs))}
	for _, r := range l.runs {
		a.Runs = append(a.Runs, *r)
	}
	slices.SortFunc(a.Runs, func(x, y Run) int { return cmp.Compare(x.ID, y.ID) })
	return a
}

// Of returns the account's run of a Request-Id; one that never arrived is all zero.
func (a Account) Of(id string) Run {
	i, ok := slices.BinarySearchFunc(a.Runs, id, func(r Run, id string) int { return cmp.Compare(r.ID, id) })
	if !ok {
		return Run{ID: id}
	}
	return a.Runs[i]
}

// Total returns the sums over all runs.
func (a Account) Total() Run {
	var t Run
	for _, r := range a.Runs {
		t.Seen += r.Seen
		t.Started += r.Started
		t.Finished += r.Finished
		t.Cut += r.Cut
	}
	return t
}
