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

// Times of a runner, from the platform's pages.
const (
	startUp    = 300 * time.Millisecond // of a task that lasts
	stopTime   = 50 * time.Millisecond
	restoring  = 100 * time.Millisecond
	orderTime  = time.Millisecond
	endsAtOnce = 500
	orderLate  = 2 * time.Second // an order that is carried out late is so after this
	orderLater = 12 * time.Second
)

// RunnerFaults are the troubles of a runner.
type RunnerFaults struct {
	FailRuns         bool    // every run fails at once
	StallRuns        bool    // no run makes progress
	SlowdownFactor   float64 // runs take so many times as long; 0 is 1
	DelayedOrderRate float64 // share of the orders that aren't answered and are carried out seconds later
}

// Runner is one life of a machine.
type Runner struct {
	ID      string
	Machine string
	Service string
	Addr    netip.AddrPort
	Centre  string
	Rack    string
	Room    work.Resources

	judge *Checker
	rand  *rand.Rand
	rate  float64 // of its steady clock

	mu     sync.Mutex
	began  time.Time
	born   int64
	token  int64
	until  time.Duration
	most   time.Duration
	runs   map[string]*running
	past   map[string]int // highest run of a task that has ended or was stopped here
	ends   [][]any
	n      int64
	acked  int64
	wake   chan struct{}
	faults RunnerFaults
	down   bool
	lapse  *time.Timer
}

// running is a run in progress.
type running struct {
	name  string
	n     int
	spec  SpecStep
	since time.Time
	base  time.Duration // progress that it started with
	total time.Duration
	pace  int
	stops bool
	end   *time.Timer
}

// NewRunner returns a runner that has just started.
func NewRunner(id, machine, service string, addr netip.AddrPort, centre, rack string, room work.Resources, longest time.Duration, j *Checker, r *rand.Rand) *Runner {
	now := time.Now()
	return &Runner{
		ID: id, Machine: machine, Service: service, Addr: addr, Centre: centre, Rack: rack, Room: room,
		judge: j, rand: r, rate: 1 - 0.02*r.Float64(),
		began: now, born: now.UnixMilli(), most: longest,
		runs: map[string]*running{}, past: map[string]int{}, wake: make(chan struct{}),
	}
}

// Heartbeat is the runner's entry in the store.
func (r *Runner) Heartbeat(seq int64, state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"Service": r.Service, "Address": r.Addr.String(), "Zone": r.Centre, "Version": "v1", "Slots": 8, "State": state,
		"SeqNo": seq, "ColdLeftMs": 0, "born": r.born, "Machine": r.Machine, "Labels": []string{"a", r.Rack},
		"Capacity": map[string]any{"Cpu": r.Room.CPU, "MemMb": r.Room.Mem, "Gpus": r.Room.GPU}, "ClockMs": r.clock().Milliseconds(),
	}
}

// SetFaults changes the runner's troubles.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	for _, x := range r.runs {
		if !x.stops {
			r.rest(x)
		}
	}
}

// Crash ends everything that runs, without a word.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for name, x := range r.runs {
		x.end.Stop()
		r.judge.lost(r, name)
		delete(r.runs, name)
	}
	r.judge.lapse(r)
	r.stir()
}

// Restart starts the runner again under its ID; it knows nothing of before.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return // an earlier revival was enough
	}
	r.down = false
	r.began = time.Now()
	r.born = max(r.born+1, r.began.UnixMilli())
	r.token, r.until, r.n, r.acked, r.ends = 0, 0, 0, 0, nil
	r.past = map[string]int{}
}

// clock is the runner's steady clock.
func (r *Runner) clock() time.Duration {
	return time.Duration(float64(time.Since(r.began)) * r.rate)
}

func (r *Runner) stir() {
	close(r.wake)
	r.wake = make(chan struct{})
}

type wireOrder struct {
	Task         string `json:"Task"`
	Run          int    `json:"Run"`
	Spec         string `json:"Spec"`
	DeadlineMs   int64  `json:"DeadlineMs"`
	FencingToken int64  `json:"FencingToken"`
	Checkpoint   string `json:"Checkpoint"`
	AckCursor    int64  `json:"AckCursor"`
	WaitMs       int64  `json:"WaitMs"`
	Percent      int    `json:"Percent"`
}

// ServeHTTP answers orders and looks.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	down, late := r.down, r.rand.Float64() < r.faults.DelayedOrderRate
	r.mu.Unlock()
	if down {
		mute(q)
		return
	}
	if id := q.Header.Get("X-Gypsumlead-Expect-Instance"); id != "" && id != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o wireOrder
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(orderTime)
	path := q.URL.Path
	if late && path != "/gypsumlead/hold" {
		r.mu.Lock()
		wait := orderLate + time.Duration(r.rand.Int64N(int64(orderLater-orderLate)))
		born := r.born
		r.mu.Unlock()
		go func() {
			time.Sleep(wait)
			r.mu.Lock()
			same := r.born == born // what a life had received ends with it
			r.mu.Unlock()
			if same {
				r.carryOut(path, o)
			}
		}()
		mute(q)
		return
	}
	if path == "/gypsumlead/hold" {
		r.hold(w, q, o)
		return
	}
	status, body := r.carryOut(path, o)
	w.WriteHeader(status)
	send(w, body)
}

type wireClock struct {
	ClockMs int64  `json:"ClockMs"`
	Reason  string `json:"Reason,omitempty"`
}

// carryOut does what an order says.
func (r *Runner) carryOut(path string, o wireOrder) (int, wireClock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := wireClock{ClockMs: r.clock().Milliseconds()}
	if r.down {
		return http.StatusServiceUnavailable, at
	}
	if o.FencingToken < r.token {
		at.Reason = "fence"
		return http.StatusConflict, at
	}
	r.token = o.FencingToken
	switch path {
	case "/gypsumlead/run-start":
		at.Reason = r.start(o)
		if at.Reason == "bad" {
			return http.StatusBadRequest, at
		}
		if at.Reason != "" {
			return http.StatusConflict, at
		}
	case "/gypsumlead/run-stop":
		r.stop(o)
	case "/gypsumlead/pace":
		if x := r.runs[o.Task]; x != nil && x.n == o.Run {
			x.pace = o.Percent
		}
	}
	return http.StatusOK, at
}

// hold extends the lease, forgets ends, and tells what runs and what has ended.
func (r *Runner) hold(w http.ResponseWriter, q *http.Request, o wireOrder) {
	r.mu.Lock()
	if o.FencingToken < r.token {
		r.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		send(w, wireClock{Reason: "fence"})
		return
	}
	r.token = o.FencingToken
	if o.DeadlineMs > 0 {
		r.extend(time.Duration(o.DeadlineMs) * time.Millisecond)
	}
	r.ack(o.AckCursor)
	r.mu.Unlock()
	over := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer over.Stop()
	for {
		r.mu.Lock()
		wake := r.wake
		if len(r.ends) > 0 || o.WaitMs == 0 {
			break
		}
		r.mu.Unlock()
		select {
		case <-wake:
			continue
		case <-q.Context().Done():
			return
		case <-over.C:
			r.mu.Lock()
		}
		break
	}
	body := r.lists()
	r.mu.Unlock()
	send(w, body)
}

func (r *Runner) ack(n int64) {
	for len(r.ends) > 0 && r.ends[0][0].(int64) <= n {
		r.judge.noted(r, r.ends[0][0].(int64))
		r.ends = r.ends[1:]
	}
	r.acked = max(r.acked, n)
}

type wireLists struct {
	ClockMs  int64   `json:"ClockMs"`
	Born     int64   `json:"born"`
	Running  [][]any `json:"Running"`
	Finished [][]any `json:"Finished"`
}

func (r *Runner) lists() wireLists {
	l := wireLists{ClockMs: r.clock().Milliseconds(), Born: r.born, Running: [][]any{}, Finished: r.ends[:min(len(r.ends), endsAtOnce)]}
	for _, x := range r.runs {
		percent := 0
		switch {
		case r.faults.StallRuns:
		case x.spec.LongRunning && time.Since(x.since) >= startUp:
			percent = 100
		case !x.spec.LongRunning && x.total > 0:
			percent = int(min(99, 100*(x.base+time.Since(x.since))/x.total))
		}
		l.Running = append(l.Running, []any{x.name, x.n, "", percent, 0})
	}
	return l
}
