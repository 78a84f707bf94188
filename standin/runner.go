package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"gypsumlead/work"
)

// Durations and limits of a runner, from the platform's documentation.
const (
	longRunningStartup = 300 * time.Millisecond // after which a long-running task reports full progress
	stopTime           = 50 * time.Millisecond  // until a stopped or failing run ends
	restoreTime        = 100 * time.Millisecond // of a checkpoint
	crashDelay         = 10 * time.Millisecond  // from the start of a run that crashes its runner until it does
	orderLatency       = time.Millisecond
	maxEndsPerPoll     = 500
)

// RunnerFaults are the faults that a Runner injects; the zero value injects none.
type RunnerFaults struct {
	FailRuns         bool      // every run fails after stopTime
	StallRuns        bool      // no run makes progress
	SlowdownFactor   float64   // multiplies the remaining time of runs; values below 1 count as 1
	DelayedOrderRate float64   // fraction of orders that get no reply and are applied seconds later
	DelayedPollRate  float64   // fraction of polls that get no reply and are applied seconds later
	DelayUntil       time.Time // when delayed orders and polls are applied; drawn for each if zero
}

// Runner emulates the runner of a machine from one boot of the machine to the next. It may crash and restart under its
// ID meanwhile.
type Runner struct {
	ID      string
	Machine string
	Service string
	Addr    netip.AddrPort
	Centre  string
	Rack    string

	Unguarded bool // it starts whatever it is told, even without room; set it before the first order

	checker   *Checker
	rand      *rand.Rand
	clockRate float64 // of its monotonic clock, against real time

	mu         sync.Mutex
	room       work.Resources // what it has for runs, as its heartbeats say
	pastRooms  []pastRoom     // what it had before, oldest first
	startedAt  time.Time      // zero of the monotonic clock
	drainingAt time.Time      // when the store accepted that it drains; zero if it doesn't
	born       int64          // Unix time of the start in ms; identifies the incarnation
	token      int64          // highest fencing token seen
	leaseUntil time.Duration  // on the monotonic clock
	maxLease   time.Duration
	runs       map[string]*activeRun // by task name
	lastRuns   map[string]int        // by task name: highest run number that has ended or was stopped here
	ends       [][]any               // unacknowledged ends in the protocol's form, oldest first
	lastEnd    int64                 // number of the newest end
	acked      int64                 // highest end number acknowledged
	wake       chan struct{}         // closed and replaced on every end, crash and restart
	faults     RunnerFaults
	crashed    bool
	leaseTimer *time.Timer    // calls expireLease; nil before the first lease
	onCrash    func()         // called when a run crashes the runner
	policy     *PolicyService // whose tickets starts need; nil if they need none
}

// pastRoom is what a runner had for runs until a moment.
type pastRoom struct {
	room  work.Resources
	until time.Time
}

// activeRun is a run in progress.
type activeRun struct {
	name      string
	number    int
	spec      SpecStep
	startedAt time.Time
	restored  time.Duration // progress restored from a checkpoint
	total     time.Duration // run time, with the restore of the checkpoint
	pace      int           // percent
	stopping  bool          // a stop was ordered
	endTimer  *time.Timer   // calls finishRun
}

// NewRunner returns a runner that has just started. Leases are limited to maxLease, and its clock runs up to 2% slow.
func NewRunner(id, machine, service string, addr netip.AddrPort, centre, rack string, room work.Resources, maxLease time.Duration, c *Checker, r *rand.Rand) *Runner {
	now := time.Now()
	return &Runner{
		ID: id, Machine: machine, Service: service, Addr: addr, Centre: centre, Rack: rack, room: room,
		checker: c, rand: r, clockRate: 1 - 0.02*r.Float64(),
		startedAt: now, born: now.UnixMilli(), maxLease: maxLease,
		runs: map[string]*activeRun{}, lastRuns: map[string]int{}, wake: make(chan struct{}),
	}
}

// RequireTickets has the runner reject starts without a ticket of the policy service.
func (r *Runner) RequireTickets(p *PolicyService) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy = p
}

// Heartbeat returns the value of the runner's row in the store.
func (r *Runner) Heartbeat(seq int64, state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"Service": r.Service, "Address": r.Addr.String(), "Zone": r.Centre, "Version": "v1", "Slots": 8, "State": state,
		"SeqNo": seq, "ColdLeftMs": 0, "born": r.born, "Machine": r.Machine, "Labels": []string{"a", r.Rack},
		"Capacity": map[string]any{"Cpu": r.room.CPU, "MemMb": r.room.Mem, "Gpus": r.room.GPU}, "ClockMs": r.clock().Milliseconds(),
	}
}

// SetRoom changes what the runner has for runs; those in progress stay.
func (r *Runner) SetRoom(room work.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pastRooms = append(r.pastRooms, pastRoom{r.room, time.Now()})
	r.room = room
}

// SetFaults replaces the faults that the runner injects, also for runs in progress that aren't being stopped.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	for _, run := range r.runs {
		if !run.stopping {
			r.scheduleEnd(run)
		}
	}
}

// SetCrashHook sets the function that is called when a run crashes the runner. It has to call Crash.
func (r *Runner) SetCrashHook(hook func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onCrash = hook
}

// Crash drops all runs without reporting their ends; the runner doesn't reply until Restart.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
	for name, run := range r.runs {
		run.endTimer.Stop()
		r.checker.runLost(r, name)
		r.checker.serviceGone(r, name)
		delete(r.runs, name)
	}
	r.checker.runnerLost(r)
	r.wakeWaiters()
}

// TakeOffline crashes the runner by an order for its machine, which ends the runs in progress.
func (r *Runner) TakeOffline() {
	r.mu.Lock()
	for name := range r.runs {
		r.checker.serviceOrdered(r, name, "an order for its machine", false)
	}
	r.mu.Unlock()
	r.Crash()
}

// Restart starts a crashed runner again under the same ID, as a new incarnation without the state of the old one.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.crashed {
		return // already restarted
	}
	r.crashed = false
	r.startedAt = time.Now()
	r.born = max(r.born+1, r.startedAt.UnixMilli())
	r.token, r.leaseUntil, r.lastEnd, r.acked, r.ends = 0, 0, 0, 0, nil
	r.lastRuns = map[string]int{}
	if r.leaseTimer != nil {
		r.leaseTimer.Stop() // it belongs to the lease of the earlier incarnation
	}
	r.wakeWaiters()
}

// clock returns the runner's monotonic clock, which starts at 0 with each incarnation.
func (r *Runner) clock() time.Duration {
	return time.Duration(float64(time.Since(r.startedAt)) * r.clockRate)
}

// wakeWaiters wakes all polls that wait for an end, and all calls that wait for a restart.
func (r *Runner) wakeWaiters() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// wireOrder is the body of every order and poll; each uses some of the fields.
type wireOrder struct {
	Task         string `json:"Task"`
	Run          int    `json:"Run"`
	Spec         string `json:"Spec"`
	DeadlineMs   int64  `json:"DeadlineMs"`
	FencingToken int64  `json:"FencingToken"`
	Checkpoint   string `json:"Checkpoint"`
	Ticket       string `json:"Ticket"`
	AckCursor    int64  `json:"AckCursor"`
	WaitMs       int64  `json:"WaitMs"`
	Percent      int    `json:"Percent"`

	contactSince time.Time // since when the contact of the daemon that sent it with the store is undisturbed
}

// ServeHTTP serves orders and polls.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("X-Gypsumlead-Expect-Instance"); id != "" && id != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o wireOrder
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.contactSince = r.checker.contactOf(req.RemoteAddr)
	path := req.URL.Path
	r.mu.Lock()
	crashed := r.crashed
	delay, delayed := r.drawDelay(path)
	r.mu.Unlock()
	if crashed {
		r.serveAfterRestart(w, req, o)
		return
	}
	time.Sleep(orderLatency)
	if delayed {
		go r.applyLate(path, o, delay)
		withholdReply(req)
		return
	}
	r.serveCall(w, req, o, false)
}

// serveCall serves an order or poll, which may have been delayed. A runner that is down sends no reply.
func (r *Runner) serveCall(w http.ResponseWriter, req *http.Request, o wireOrder, delayed bool) {
	if r.down() {
		withholdReply(req)
		return
	}
	if req.URL.Path == pollPath {
		r.servePoll(w, req, o)
		return
	}
	status, body := r.applyOrder(req.URL.Path, o, delayed)
	w.WriteHeader(status)
	writeJSON(w, body)
}

type wireClock struct {
	ClockMs int64  `json:"ClockMs"`
	Reason  string `json:"Reason,omitempty"`
}

// applyOrder executes an order, which may have been delayed, and returns the reply's status and body.
func (r *Runner) applyOrder(path string, o wireOrder, delayed bool) (int, wireClock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wireClock{ClockMs: r.clock().Milliseconds()}
	if r.crashed {
		return http.StatusServiceUnavailable, reply
	}
	if o.FencingToken < r.token {
		reply.Reason = "fence"
		return http.StatusConflict, reply
	}
	r.token = o.FencingToken
	switch path {
	case "/gypsumlead/run-start":
		reply.Reason = r.startRun(o, delayed)
		if reply.Reason == "bad" {
			return http.StatusBadRequest, reply
		}
		if reply.Reason != "" {
			return http.StatusConflict, reply
		}
	case "/gypsumlead/run-stop":
		r.stopRun(o, delayed)
	case "/gypsumlead/pace":
		if run := r.runs[o.Task]; run != nil && run.number == o.Run {
			run.pace = o.Percent
		}
	}
	return http.StatusOK, reply
}

// applyPoll extends the lease and drops acknowledged ends. It returns false if the poll has a lower fencing token than an
// earlier call; the caller holds r.mu.
func (r *Runner) applyPoll(o wireOrder) bool {
	if o.FencingToken < r.token {
		return false
	}
	r.token = o.FencingToken
	if o.DeadlineMs > 0 {
		r.extendLease(time.Duration(o.DeadlineMs) * time.Millisecond)
	}
	r.ack(o.AckCursor)
	return true
}

// servePoll applies a poll and replies with the active runs and the ends. It waits for an end up to the request's WaitMs.
func (r *Runner) servePoll(w http.ResponseWriter, req *http.Request, o wireOrder) {
	r.mu.Lock()
	accepted, born := r.applyPoll(o), r.born
	r.mu.Unlock()
	if !accepted {
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, wireClock{Reason: "fence"})
		return
	}
	timeout := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		r.mu.Lock()
		if r.crashed || r.born != born {
			r.mu.Unlock()
			withholdReply(req) // the connection ended with the incarnation
			return
		}
		wake := r.wake
		if len(r.ends) > 0 || o.WaitMs == 0 {
			break
		}
		r.mu.Unlock()
		select {
		case <-wake:
			continue
		case <-req.Context().Done():
			return
		case <-timeout.C:
			r.mu.Lock()
		}
		break
	}
	result := r.pollResult()
	r.mu.Unlock()
	writeJSON(w, result)
}

// ack drops the ends up to number cursor, which the leader has handled; the caller holds r.mu.
func (r *Runner) ack(cursor int64) {
	for len(r.ends) > 0 && r.ends[0][0].(int64) <= cursor {
		r.checker.endAcked(r, r.ends[0][0].(int64))
		r.ends = r.ends[1:]
	}
	r.acked = max(r.acked, cursor)
}

type wirePollResult struct {
	ClockMs  int64   `json:"ClockMs"`
	Born     int64   `json:"born"`
	Running  [][]any `json:"Running"`
	Finished [][]any `json:"Finished"`
}

// pollResult returns the active runs with their progress in percent, and the oldest unacknowledged ends; the caller
// holds r.mu.
func (r *Runner) pollResult() wirePollResult {
	result := wirePollResult{ClockMs: r.clock().Milliseconds(), Born: r.born, Running: [][]any{}, Finished: r.ends[:min(len(r.ends), maxEndsPerPoll)]}
	for _, run := range r.runs {
		percent := 0
		switch {
		case r.faults.StallRuns:
		case run.spec.LongRunning && time.Since(run.startedAt) >= run.spec.startup():
			percent = 100
		case !run.spec.LongRunning && run.total > 0:
			percent = int(min(99, 100*(run.restored+time.Since(run.startedAt))/run.total))
		}
		result.Running = append(result.Running, []any{run.name, run.number, "", percent, 0})
	}
	return result
}
