//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// capacity is what a runner has, or a task needs.
type capacity struct {
	CPU   int64 `json:"Cpu"`
	MemMb int64
	Gpus  int64
}

// runner is one life of a machine. All of its state is guarded by the fleet's mutex.
type runner struct {
	fleet   *fleet
	id      string
	machine string
	service string
	zone    string
	labels  []string
	room    capacity

	addr     string
	server   *http.Server
	born     time.Time
	rate     float64 // of its clock
	seq      int64
	token    int64
	lease    time.Duration
	expiry   *time.Timer
	runs     map[string]*activeRun
	highest  map[string]int // highest run of a task that has ended or was stopped here
	ends     []*runEnd
	lastEnd  int64
	wake     chan struct{}
	down     bool
	gone     bool // for good
	life     int
	cut      bool    // calls don't reach it, and it runs on
	lateRate float64 // share of the orders that get no answer and are carried out seconds later
}

// activeRun is a run in progress.
type activeRun struct {
	task     string
	run      int
	step     *step
	log      *taskLog
	begun    time.Time // since when it works; zero while a gang waits
	restored time.Duration
	needs    time.Duration
	started  time.Time
	stopping bool
	timers   []*time.Timer
	gang     *gang
	pace     int
}

// gang is one run of a gang.
type gang struct {
	members map[*activeRun]*runner
	begun   bool
}

// order is the body of a call to a runner.
type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Checkpoint   string
	AckCursor    int64
	WaitMs       int64
	Percent      int
	Ticket       string
}

// addRunner starts a runner of a machine; the caller holds f.mu.
func (f *fleet) addRunner(machine, service, zone string, labels []string, room capacity) *runner {
	f.next++
	r := &runner{
		fleet: f, id: fmt.Sprintf("w%d-%s", f.next, machine), machine: machine, service: service, zone: zone, labels: labels, room: room,
		rate: 1 - 0.02*rand.Float64(), down: true,
	}
	f.runners[r.id] = r
	r.start()
	return r
}

// newRunner is addRunner for callers that don't hold f.mu.
func (f *fleet) newRunner(machine, service, zone string, labels []string, room capacity) *runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addRunner(machine, service, zone, labels, room)
}

// start begins a life of the runner; the caller holds f.mu.
func (r *runner) start() {
	if r.fleet.closed || !r.down || r.gone {
		return
	}
	at := r.addr
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		r.fleet.scene.note("runner %s cannot listen: %v", r.id, err)
		return
	}
	r.addr = l.Addr().String()
	r.born = time.Now()
	r.token, r.lease, r.lastEnd, r.ends, r.seq, r.down = 0, 0, 0, nil, 0, false
	r.runs, r.highest, r.wake = map[string]*activeRun{}, map[string]int{}, make(chan struct{})
	r.life++
	life := r.life
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serveHTTP(w, req, life) })}
	server := r.server
	go func() { _ = server.Serve(l) }()
	r.fleet.scene.note("runner %s of %s is up at %s", r.id, r.service, r.addr)
	go r.beat(life)
}

// beat writes the runner's entry until its life ends, and removes it three intervals after that.
func (r *runner) beat(life int) {
	f := r.fleet
	if life > 1 {
		time.Sleep(time.Duration(rand.Int64N(int64(beatInterval)))) // it writes about every interval, not at its start
	}
	for {
		f.mu.Lock()
		if f.closed || r.life != life || r.down {
			f.mu.Unlock()
			break
		}
		r.seq++
		entry := map[string]any{
			"Service": r.service, "Address": r.addr, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "SeqNo": r.seq,
			"born": r.born.UnixMilli(), "Machine": r.machine, "Labels": r.labels, "Capacity": r.room, "ClockMs": r.clock().Milliseconds(),
		}
		f.mu.Unlock()
		f.scene.store.Put("servers", r.id, entry)
		time.Sleep(beatInterval)
	}
	time.Sleep(2 * beatInterval)
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.life == life && !f.closed {
		f.scene.store.Remove("servers", r.id)
	}
}

// crash ends the runner's life without a word; forGood: it never comes back. The caller holds f.mu.
func (r *runner) crash(forGood bool) {
	if r.down {
		return
	}
	r.fleet.scene.note("runner %s crashes with %d runs", r.id, len(r.runs))
	r.down, r.gone = true, forGood
	_ = r.server.Close()
	for _, run := range r.runs {
		r.forget(run)
	}
	if r.expiry != nil {
		r.expiry.Stop()
	}
	close(r.wake)
	r.wake = make(chan struct{})
}

// forget removes a run without listing its end; its gang breaks.
func (r *runner) forget(run *activeRun) {
	for _, t := range run.timers {
		t.Stop()
	}
	delete(r.runs, run.task)
	delete(run.log.active, r)
	r.breakGang(run)
}

// clock returns the runner's steady clock.
func (r *runner) clock() time.Duration { return time.Duration(float64(time.Since(r.born)) * r.rate) }

// serveHTTP serves a call in one life.
func (r *runner) serveHTTP(w http.ResponseWriter, req *http.Request, life int) {
	if want := req.Header.Get("X-Gypsumlead-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.life != life || r.down {
		panic(http.ErrAbortHandler)
	}
	late := req.URL.Path != "/gypsumlead/hold" && rand.Float64() < r.lateRate
	if r.cut || late {
		if late && !r.cut {
			delay := 2*time.Second + time.Duration(rand.Int64N(int64(10*time.Second)))
			f.tell(o.Task, "%s of run %d gets no answer and is carried out %v later on %s", req.URL.Path, o.Run, delay, r.id)
			time.AfterFunc(delay, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if r.down {
					return
				}
				_, reason := r.carryOut(req.URL.Path, o)
				f.tell(o.Task, "%s of run %d, sent to life %d of %s, is carried out in life %d, %v after its start (%q)", req.URL.Path, o.Run, life, r.id, r.life, time.Since(r.born), reason)
			})
		}
		f.mu.Unlock()
		<-req.Context().Done()
		f.mu.Lock()
		return
	}
	if req.URL.Path == "/gypsumlead/hold" && o.FencingToken >= r.token {
		r.token = o.FencingToken
		r.serveHold(w, req, o, life)
		return
	}
	status, reason := r.carryOut(req.URL.Path, o)
	body := map[string]any{"ClockMs": r.clock().Milliseconds(), "born": r.born.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	reply(w, status, body)
}

// carryOut carries out an order and returns the status and the reason of the answer.
func (r *runner) carryOut(path string, o order) (int, string) {
	if o.FencingToken < r.token {
		return http.StatusConflict, "fence"
	}
	r.token = o.FencingToken
	reason := ""
	switch path {
	case "/gypsumlead/run-start":
		reason = r.startRun(o)
	case "/gypsumlead/run-stop":
		r.stopRun(o)
	case "/gypsumlead/pace":
		if run := r.runs[o.Task]; run != nil && run.run == o.Run {
			run.pace = o.Percent
		}
	default:
		return http.StatusNotFound, ""
	}
	switch reason {
	case "":
		return http.StatusOK, ""
	case "bad":
		return http.StatusBadRequest, ""
	}
	return http.StatusConflict, reason
}

// startRun starts a run and returns why not, or "".
func (r *runner) startRun(o order) string {
	deadline := time.Duration(o.DeadlineMs) * time.Millisecond
	if deadline < r.clock() {
		return "late"
	}
	r.extend(deadline)
	run := r.runs[o.Task]
	if run != nil && run.run == o.Run {
		return ""
	}
	if run != nil || r.highest[o.Task] >= o.Run {
		return "old"
	}
	t, _, _ := r.fleet.log(o.Task)
	if t != nil && !r.fits(t.step) {
		return "room"
	}
	if a := r.fleet.scene.adviser; a != nil && !a.valid(o, r.id) {
		return "ticket"
	}
	log := r.fleet.checkStart(r, o)
	if log == nil {
		return "bad"
	}
	run = &activeRun{task: o.Task, run: o.Run, step: log.step, log: log, started: time.Now(), pace: 100, needs: log.step.Work}
	if log.step.Affinity != "" && log.step.Affinity != r.labels[len(r.labels)-1] {
		run.needs *= 2
	}
	if o.Checkpoint != "" {
		var ms int64
		_, _ = fmt.Sscanf(o.Checkpoint, "%08x", &ms) // checkStart has checked it
		run.restored = time.Duration(ms) * time.Millisecond
		run.needs += restoreTime
	}
	r.runs[o.Task] = run
	log.active[r] = run
	r.fleet.tell(o.Task, "start of run %d on %s", o.Run, r.id)
	if log.step.Gang {
		r.joinGang(run)
		return ""
	}
	r.begin(run)
	return ""
}

// begin lets a run work.
func (r *runner) begin(run *activeRun) {
	run.begun = time.Now()
	if run.step.Checkpointing && run.step.Work > 0 {
		r.saveLater(run)
	}
	switch {
	case run.step.FailAfter > 0:
		r.after(run, max(10*time.Millisecond, run.step.FailAfter-run.restored), func() { r.end(run, "failed") })
	case run.step.LongRunning:
	default:
		r.after(run, max(0, run.needs-run.restored), func() { r.finish(run) })
	}
}

// after calls f with the fleet's mutex held, unless the run has ended by then.
func (r *runner) after(run *activeRun, d time.Duration, f func()) {
	run.timers = append(run.timers, time.AfterFunc(d, func() {
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		if r.runs[run.task] == run {
			f()
		}
	}))
}

// saveLater produces a checkpoint after each interval of work.
func (r *runner) saveLater(run *activeRun) {
	r.after(run, saveInterval, func() {
		r.save(run)
		r.saveLater(run)
	})
}

// save returns a new checkpoint of a run.
func (r *runner) save(run *activeRun) string {
	if !run.step.Checkpointing || run.begun.IsZero() {
		return ""
	}
	worked := min(run.needs, run.restored+time.Since(run.begun))
	value := fmt.Sprintf("%08x%08x", worked.Milliseconds(), rand.Uint32())
	run.log.saved[value] = true
	return value
}

// finish ends a run as done; of a gang, all members.
func (r *runner) finish(run *activeRun) {
	if run.gang == nil {
		r.end(run, "done")
		return
	}
	members := run.gang.members
	run.gang.members = map[*activeRun]*runner{}
	for member, on := range members {
		on.end(member, "done")
	}
}

// joinGang adds a run to its gang, which begins to work once all members are there.
func (r *runner) joinGang(run *activeRun) {
	f := r.fleet
	key := fmt.Sprintf("%s/%d", run.task[:lastDot(run.task)], run.run)
	g := f.gangs[key]
	if g == nil {
		g = &gang{members: map[*activeRun]*runner{}}
		f.gangs[key] = g
	}
	g.members[run] = r
	run.gang = g
	if len(g.members) == run.step.Count && !g.begun {
		g.begun = true
		for member, on := range g.members {
			on.begin(member)
		}
		return
	}
	r.after(run, gangTimeout, func() {
		if !g.begun {
			f.tell(run.task, "run %d on %s is alone", run.run, r.id)
			r.end(run, "alone")
		}
	})
}

func lastDot(name string) int {
	for i := len(name) - 1; i >= 0; i-- {
		if name[i] == '.' {
			return i
		}
	}
	return 0
}

// breakGang ends the other members of a run's gang once it works.
func (r *runner) breakGang(run *activeRun) {
	g := run.gang
	if g == nil {
		return
	}
	delete(g.members, run)
	if !g.begun {
		return
	}
	members := g.members
	g.members = map[*activeRun]*runner{}
	for member, on := range members {
		on.end(member, "broken")
	}
}

// stopRun stops a run, and keeps it from starting later.
func (r *runner) stopRun(o order) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	run := r.runs[o.Task]
	if run == nil || run.run > o.Run || run.stopping {
		return
	}
	run.stopping = true
	r.fleet.tell(o.Task, "stop of run %d on %s", run.run, r.id)
	for _, t := range run.timers {
		t.Stop()
	}
	r.after(run, stopTimeout/2, func() { r.end(run, "stopped") })
}

// end ends a run and lists its end.
func (r *runner) end(run *activeRun, how string) {
	if r.runs[run.task] != run {
		return
	}
	saved := ""
	if how != "done" {
		saved = r.save(run)
	}
	for _, t := range run.timers {
		t.Stop()
	}
	delete(r.runs, run.task)
	delete(run.log.active, r)
	r.highest[run.task] = max(r.highest[run.task], run.run)
	r.lastEnd++
	e := &runEnd{n: r.lastEnd, task: run.task, run: run.run, how: how, saved: saved, at: time.Now()}
	r.ends = append(r.ends, e)
	switch how {
	case "done":
		run.log.done = append(run.log.done, e)
	case "failed":
		run.log.failed = append(run.log.failed, e)
	}
	r.fleet.tell(run.task, "end of run %d on %s: %s", run.run, r.id, how)
	r.breakGang(run)
	close(r.wake)
	r.wake = make(chan struct{})
}

// fits reports whether the runner has room for a task.
func (r *runner) fits(s *step) bool {
	free := r.room
	for _, run := range r.runs {
		free.take(run.step)
	}
	free.take(s)
	return free.CPU >= 0 && free.MemMb >= 0 && free.Gpus >= 0
}

func (c *capacity) take(s *step) {
	if !s.Fills {
		c.CPU -= s.CPU
	}
	c.MemMb -= s.MemMb
	c.Gpus -= s.Gpus
}

// extend extends the lease to a time on the runner's clock.
func (r *runner) extend(until time.Duration) {
	until = min(until, r.clock()+maxHold)
	if until <= r.lease {
		return
	}
	r.lease = until
	if r.expiry != nil {
		r.expiry.Stop()
	}
	life := r.life
	r.expiry = time.AfterFunc(time.Duration(float64(until-r.clock())/r.rate)+time.Millisecond, func() { r.expire(life) })
}

// expire ends everything when the lease has lapsed.
func (r *runner) expire(life int) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.life != life || r.down || r.clock() < r.lease {
		return
	}
	r.fleet.scene.note("the lease of %s lapses with %d runs", r.id, len(r.runs))
	for _, e := range r.ends {
		e.lapsed = true
	}
	for _, run := range r.runs {
		r.end(run, "lapsed")
	}
}

// serveHold extends the lease and lists what runs and what has ended.
func (r *runner) serveHold(w http.ResponseWriter, req *http.Request, o order, life int) {
	f := r.fleet
	if o.DeadlineMs > 0 {
		r.extend(time.Duration(o.DeadlineMs) * time.Millisecond)
	}
	for len(r.ends) > 0 && r.ends[0].n <= o.AckCursor {
		if !r.ends[0].lapsed {
			r.ends[0].noted = time.Now()
		}
		r.ends = r.ends[1:]
	}
	timeout := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timeout.Stop()
	for waiting := o.WaitMs > 0; waiting && len(r.ends) == 0; {
		wake := r.wake
		f.mu.Unlock()
		select {
		case <-wake:
		case <-timeout.C:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		f.mu.Lock()
		if r.life != life || r.down {
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range r.runs {
		saved := ""
		for value := range run.log.saved {
			saved = max(saved, value)
		}
		running = append(running, []any{run.task, run.run, saved, run.percent(), 0})
	}
	for _, e := range r.ends[:min(500, len(r.ends))] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	reply(w, http.StatusOK, map[string]any{"ClockMs": r.clock().Milliseconds(), "born": r.born.UnixMilli(), "Running": running, "Finished": finished})
}

// percent returns a run's progress.
func (a *activeRun) percent() int {
	switch {
	case a.begun.IsZero():
		return 0
	case a.step.LongRunning && time.Since(a.begun) > 300*time.Millisecond:
		return 100
	case a.step.LongRunning || a.needs <= 0:
		return 0
	}
	return int(min(99, 100*(a.restored+time.Since(a.begun))/a.needs))
}
