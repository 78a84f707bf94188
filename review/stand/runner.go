//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// specStep tells a runner what the tasks of a step do, and says what the rules allow; a job's Spec has one for each step.
type specStep struct {
	Count  int    `json:"count,omitempty"`
	Ms     int    `json:"ms"`
	Spread int    `json:"spread,omitempty"` // ms by which the longest task takes longer than the shortest
	CPU    int    `json:"cpu"`
	Mem    int    `json:"mem"`
	Gang   int    `json:"gang,omitempty"` // members
	Lasts  bool   `json:"lasts,omitempty"`
	Fails  int    `json:"fails,omitempty"` // runs of each task that fail first
	After  []int  `json:"after,omitempty"`
	Label  string `json:"label,omitempty"`
	Most   int    `json:"most,omitempty"` // MaxPerServer
	Copies bool   `json:"copies,omitempty"`
	Rack   bool   `json:"rack,omitempty"`
}

// duration returns how long a task works, by its number.
func (s specStep) duration(index int) time.Duration {
	return time.Duration(s.Ms+s.Spread*(index%25)/24) * time.Millisecond
}

// taskID is the name of a task, ID.K.STEP.INDEX.
type taskID struct {
	job               string
	turn, step, index int
}

func parseTask(name string) (taskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskID{}, false
	}
	t := taskID{job: parts[0]}
	for i, to := range []*int{&t.turn, &t.step, &t.index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return taskID{}, false
		}
		*to = n
	}
	return t, true
}

// runner is a runner as PROTOCOL.md describes it.
type runner struct {
	site    *site
	id      string
	machine string
	service string
	zone    string
	labels  []string
	cpu     int
	mem     int
	at      netip.AddrPort

	mu       sync.Mutex
	down     bool
	started  time.Time
	born     int64
	seq      int
	token    int64
	lease    time.Duration
	runs     map[string]*run
	highest  map[string]int // by task: the highest run that was stopped or has ended here
	finished []*runEnd
	lastEnd  int64
	wake     chan struct{}
}

// runEnd is an end that no AckCursor has reached yet.
type runEnd struct {
	number int64
	run    *run
	how    string
	lapsed bool // the runner's lease has lapsed since
}

func (e *runEnd) row() []any {
	return []any{e.number, e.run.task, e.run.number, e.how, e.run.checkpoint}
}

// run is one run of a task.
type run struct {
	task       string
	id         taskID
	number     int
	step       specStep
	steps      []specStep
	startedAt  time.Time
	workSince  time.Time // when it began to work: a gang waits for its members
	workLeft   time.Duration
	checkpoint string
	gone       bool
}

func (s *site) addRunner(id, service, zone, rack string, cpu, mem int, labels ...string) error {
	l, at, err := listen()
	if err != nil {
		return err
	}
	now := time.Now()
	r := &runner{
		site: s, id: id, machine: "m-" + id, service: service, zone: zone, labels: append(labels, rack), cpu: cpu, mem: mem, at: at,
		started: now, born: now.UnixMilli(), runs: map[string]*run{}, highest: map[string]int{}, wake: make(chan struct{}),
	}
	s.mu.Lock()
	s.runners = append(s.runners, r)
	s.mu.Unlock()
	go serve(l, r)
	go func() {
		for ; ; time.Sleep(heartbeatMs * time.Millisecond) {
			r.register()
		}
	}()
	go func() {
		for ; ; time.Sleep(5 * time.Millisecond) {
			r.advance()
		}
	}()
	return nil
}

func (r *runner) capacity() map[string]any {
	return map[string]any{"Cpu": r.cpu, "MemMb": r.mem, "Gpus": 0}
}

// register writes the runner's entry in the store.
func (r *runner) register() {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.seq++
	entry := map[string]any{
		"Service": r.service, "Address": r.at.String(), "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready", "SeqNo": r.seq,
		"ColdLeftMs": 0, "born": r.born, "Machine": r.machine, "Labels": r.labels, "Capacity": r.capacity(), "ClockMs": r.clock().Milliseconds(),
	}
	r.mu.Unlock()
	r.site.store.Put("servers", r.id, entry)
}

// crash ends the runner's life without a word: what runs there is gone, and nothing is answered.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for task, run := range r.runs {
		run.gone = true
		delete(r.runs, task)
		r.site.tasks.lost(r, run)
	}
	r.finished = nil
	close(r.wake)
	r.wake = make(chan struct{})
	r.site.record.log("runner %s crashes", r.id)
}

// restart begins the runner's next life under the same ID: it knows nothing of before.
func (r *runner) restart() {
	r.mu.Lock()
	r.down = false
	r.started = time.Now()
	r.born = r.started.UnixMilli()
	r.token, r.lease, r.lastEnd = 0, 0, 0
	r.highest = map[string]int{}
	r.site.record.log("runner %s starts again", r.id)
	r.mu.Unlock()
	r.register()
}

func (r *runner) clock() time.Duration { return time.Since(r.started) }

// advance ends the runs that are due; called every few milliseconds.
func (r *runner) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	if r.clock() > r.lease {
		for _, run := range r.runs {
			r.end(run, "lapsed")
		}
		for _, end := range r.finished {
			end.lapsed = true
		}
		return
	}
	now := time.Now()
	for _, run := range r.runs {
		if run.step.Gang > 0 && run.workSince.IsZero() {
			switch state := r.site.tasks.gangState(run); {
			case state == gangWorks:
				run.workSince = now
			case state == gangBroken:
				r.end(run, "broken")
			case now.Sub(run.startedAt) > gangMs*time.Millisecond:
				r.end(run, "alone")
			}
			continue
		}
		if run.step.Gang > 0 && r.site.tasks.gangState(run) == gangBroken {
			r.end(run, "broken")
			continue
		}
		if run.step.Lasts || now.Sub(run.workSince) < run.workLeft {
			continue
		}
		if r.site.tasks.failures(run.task) < run.step.Fails {
			r.end(run, "failed")
			continue
		}
		r.end(run, "done")
	}
}

// end ends a run; the caller holds r.mu.
func (r *runner) end(run *run, how string) {
	if run.gone {
		return
	}
	run.gone = true
	delete(r.runs, run.task)
	r.highest[run.task] = max(r.highest[run.task], run.number)
	r.lastEnd++
	r.finished = append(r.finished, &runEnd{number: r.lastEnd, run: run, how: how})
	r.site.tasks.ended(r, run, how, r.lastEnd)
	close(r.wake)
	r.wake = make(chan struct{})
}

// order is the body of any order.
type order struct {
	Task         string `json:"Task"`
	Run          int    `json:"Run"`
	Spec         string `json:"Spec"`
	DeadlineMs   int64  `json:"DeadlineMs"`
	FencingToken int64  `json:"FencingToken"`
	Checkpoint   string `json:"Checkpoint"`
	AckCursor    int64  `json:"AckCursor"`
	WaitMs       int64  `json:"WaitMs"`
}

// ServeHTTP serves the orders of the daemons.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("X-Gypsumlead-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		<-req.Context().Done()
		return
	}
	if o.FencingToken < r.token {
		reply := map[string]any{"ClockMs": r.clock().Milliseconds(), "Reason": "fence", "born": r.born}
		r.mu.Unlock()
		answer(w, http.StatusConflict, reply)
		return
	}
	r.token = o.FencingToken
	switch req.URL.Path {
	case "/gypsumlead/run-start":
		reason := r.start(o)
		reply := map[string]any{"ClockMs": r.clock().Milliseconds(), "born": r.born}
		r.mu.Unlock()
		switch reason {
		case "":
			answer(w, http.StatusOK, reply)
		case "bad":
			answer(w, http.StatusBadRequest, reply)
		default:
			reply["Reason"] = reason
			answer(w, http.StatusConflict, reply)
		}
	case "/gypsumlead/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if run := r.runs[o.Task]; run != nil && run.number <= o.Run {
			time.AfterFunc(stopMs/4*time.Millisecond, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.end(run, "stopped")
			})
		}
		reply := map[string]any{"ClockMs": r.clock().Milliseconds(), "born": r.born}
		r.mu.Unlock()
		answer(w, http.StatusOK, reply)
	case "/gypsumlead/hold":
		r.hold(w, req, o)
	default:
		r.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// extend extends the lease; it never shortens.
func (r *runner) extend(deadlineMs int64) {
	r.lease = max(r.lease, min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+maxHoldMs*time.Millisecond))
}

// start starts a run and returns the reason of a refusal; the caller holds r.mu.
func (r *runner) start(o order) string {
	if time.Duration(o.DeadlineMs)*time.Millisecond < r.clock() {
		return "late"
	}
	r.extend(o.DeadlineMs)
	if present := r.runs[o.Task]; present != nil && present.number == o.Run {
		return ""
	}
	if r.runs[o.Task] != nil || o.Run <= r.highest[o.Task] {
		return "old"
	}
	id, ok := parseTask(o.Task)
	var steps []specStep
	if !ok || json.Unmarshal([]byte(o.Spec), &steps) != nil || len(steps) == 0 {
		return "bad"
	}
	step := steps[min(id.step, len(steps)-1)]
	if cpu, mem := r.inUse(); cpu+step.CPU > r.cpu || mem+step.Mem > r.mem {
		return "room"
	}
	now := time.Now()
	started := &run{task: o.Task, id: id, number: o.Run, step: step, steps: steps, startedAt: now, checkpoint: o.Checkpoint, workLeft: step.duration(id.index)}
	if step.Gang == 0 {
		started.workSince = now
	}
	r.runs[o.Task] = started
	r.site.tasks.started(r, started)
	return ""
}

// inUse returns what the runs need; the caller holds r.mu.
func (r *runner) inUse() (cpu, mem int) {
	for _, run := range r.runs {
		cpu += run.step.CPU
		mem += run.step.Mem
	}
	return cpu, mem
}

// hold answers a poll; the caller holds r.mu, which it releases.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, o order) {
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	for len(r.finished) > 0 && r.finished[0].number <= o.AckCursor {
		r.site.tasks.noted(r, r.finished[0])
		r.finished = r.finished[1:]
	}
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	born := r.born
	for len(r.finished) == 0 && time.Now().Before(deadline) {
		wake := r.wake
		r.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Until(deadline)):
		case <-req.Context().Done():
			return
		}
		r.mu.Lock()
		if r.down || r.born != born {
			r.mu.Unlock()
			<-req.Context().Done()
			return
		}
	}
	running := [][]any{}
	for _, run := range r.runs {
		percent := 0
		switch {
		case run.workSince.IsZero():
		case run.step.Lasts:
			percent = 100
		default:
			percent = min(99, int(100*time.Since(run.workSince)/max(run.workLeft, 1)))
		}
		running = append(running, []any{run.task, run.number, run.checkpoint, percent, 0})
	}
	finished := [][]any{}
	for _, end := range r.finished[:min(len(r.finished), maxEnds)] {
		finished = append(finished, end.row())
	}
	reply := map[string]any{"ClockMs": r.clock().Milliseconds(), "born": r.born, "Running": running, "Finished": finished}
	r.mu.Unlock()
	answer(w, http.StatusOK, reply)
}

// States of a gang as one of its members sees it.
type gangStatus int

const (
	gangWaits gangStatus = iota
	gangWorks
	gangBroken
)

// taskLog records the runs of all tasks, as the runners see them.
type taskLog struct {
	mu     sync.Mutex
	record *record
	byTask map[string]*taskHistory
	gangs  map[string]map[string]string // by gang run: how each member ended, or "" while it runs
	alone  int                          // ends alone
	// cancelled has the jobs whose cancelling was acknowledged, with the time of that.
	cancelled   map[string]time.Time
	inTouchFrom time.Time // ContactMs after the end of the disruption; rules for machines in touch hold from then on
	broken      []string  // rules that were broken
}

// taskHistory is what has happened to a task.
type taskHistory struct {
	running   int
	starts    int
	failed    int
	doneNoted bool // an end done was taken note of
	done      bool
	// startAfterDone describes a start after an end done that wasn't taken note of by then.
	startAfterDone string
	startNumber    int
	lastRun        time.Time // when it last started or ended
	job            string
}

func newTaskLog(rec *record) *taskLog {
	return &taskLog{record: rec, byTask: map[string]*taskHistory{}, gangs: map[string]map[string]string{}, cancelled: map[string]time.Time{}}
}

func (l *taskLog) history(task string) *taskHistory {
	h := l.byTask[task]
	if h == nil {
		id, _ := parseTask(task)
		h = &taskHistory{job: id.job}
		l.byTask[task] = h
	}
	return h
}

func gangName(r *run) string {
	return fmt.Sprintf("%s.%d.%d#%d", r.id.job, r.id.turn, r.id.step, r.number)
}

func (l *taskLog) started(r *runner, started *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(started.task)
	l.record.log("run %s #%d starts on %s", started.task, started.number, r.id)
	if h.running > 0 && !started.step.Copies {
		l.breaks(fmt.Sprintf("TWICE: %s starts on %s while it runs elsewhere", started.task, r.id))
	}
	if h.done && !h.doneNoted && !started.step.Copies {
		h.startAfterDone = fmt.Sprintf("%s #%d starts on %s after a run of it has ended done", started.task, started.number, r.id)
		h.startNumber = started.number
	}
	if h.doneNoted && !started.step.Copies {
		l.breaks(fmt.Sprintf("TWICE: %s starts on %s after its end was taken note of", started.task, r.id))
	}
	l.checkStart(r, started)
	h.running++
	h.starts++
	h.lastRun = time.Now()
	if started.step.Gang > 0 {
		name := gangName(started)
		if l.gangs[name] == nil {
			l.gangs[name] = map[string]string{}
		}
		l.gangs[name][started.task] = ""
	}
}

// breaks records that a rule was broken; the caller holds l.mu.
func (l *taskLog) breaks(line string) {
	l.broken = append(l.broken, line)
	l.record.log("BROKEN %s", line)
}

// cancelAcknowledged records that a client was told that its job is cancelled, or that there is none.
func (l *taskLog) cancelAcknowledged(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelled[job] = time.Now()
}

// calmSince records that a disruption has ended at a time.
func (l *taskLog) calmSince(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inTouchFrom = at.Add(contactMs * time.Millisecond)
}

// checkStart checks the rules ORDER, ROUTE and BUDGET at a start; the caller holds l.mu and r.mu.
func (l *taskLog) checkStart(r *runner, started *run) {
	for _, before := range started.step.After {
		count := started.steps[before].Count
		gang := started.steps[before].Gang > 0
		done := 0
		for i := range count {
			if h := l.byTask[fmt.Sprintf("%s.%d.%d.%d", started.id.job, started.id.turn, before, i)]; h != nil && h.done {
				done++
			}
		}
		if done < count && !(gang && done > 0) {
			l.breaks(fmt.Sprintf("ORDER: %s starts, %d of %d tasks of step %d are done", started.task, done, count, before))
		}
	}
	if label := started.step.Label; label != "" && !slices.Contains(r.labels, label) {
		l.breaks(fmt.Sprintf("ROUTE: %s starts on %s without the label %s", started.task, r.id, label))
	}
	if started.step.Most > 0 {
		n := 0
		for _, run := range r.runs {
			if run != started && run.id.job == started.id.job && run.id.turn == started.id.turn && run.id.step == started.id.step {
				n++
			}
		}
		if n >= started.step.Most {
			l.breaks(fmt.Sprintf("ROUTE: %s starts on %s beside %d others of its step", started.task, r.id, n))
		}
	}
	if h := l.history(started.task); started.step.Gang == 0 && h.failed >= maxAttempts && !started.step.Lasts {
		l.breaks(fmt.Sprintf("BUDGET: %s starts after %d ends as failed", started.task, h.failed))
	}
	if at, ok := l.cancelled[started.id.job]; ok && time.Since(at) > cancelMs*time.Millisecond && time.Now().After(l.inTouchFrom) {
		l.breaks(fmt.Sprintf("UNASKED: %s starts %.1f s after its job's cancelling was acknowledged", started.task, time.Since(at).Seconds()))
	}
}

func (l *taskLog) ended(r *runner, ended *run, how string, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(ended.task)
	h.running--
	h.lastRun = time.Now()
	if how == "failed" {
		h.failed++
	}
	h.done = h.done || how == "done"
	if ended.step.Gang > 0 {
		l.gangs[gangName(ended)][ended.task] = how
	}
	if _, ok := l.cancelled[ended.id.job]; how == "alone" && !ok {
		l.alone++
		l.record.log("ALONE %s", ended.task)
	}
	l.record.log("run %s #%d ends on %s: %s (end %d)", ended.task, ended.number, r.id, how, number)
}

// lost records that a run is gone with its runner.
func (l *taskLog) lost(r *runner, lost *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(lost.task)
	h.running--
	h.lastRun = time.Now()
	l.record.log("run %s #%d is gone with %s", lost.task, lost.number, r.id)
}

// noted records that an end was taken note of: AckCursor has reached it. It isn't if the runner's lease lapsed between the two.
func (l *taskLog) noted(r *runner, end *runEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end.how != "done" || end.lapsed {
		return
	}
	h := l.history(end.run.task)
	h.doneNoted = true
	if h.startAfterDone != "" && end.run.number < h.startNumber {
		l.breaks(fmt.Sprintf("TWICE: %s; that end, %d of %s, has been taken note of since", h.startAfterDone, end.number, r.id))
		h.startAfterDone = ""
	}
}

func (l *taskLog) failures(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history(task).failed
}

func (l *taskLog) gangState(r *run) gangStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := l.gangs[gangName(r)]
	for _, how := range members {
		if how != "" && how != "done" {
			return gangBroken
		}
	}
	if len(members) == r.step.Gang {
		return gangWorks
	}
	return gangWaits
}

// ofJob returns how many tasks of a job have ended done and run now, and when one last started or ended.
func (l *taskLog) ofJob(job string) (done, running int, last time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.byTask {
		if h.job != job {
			continue
		}
		if h.done {
			done++
		}
		running += h.running
		if h.lastRun.After(last) {
			last = h.lastRun
		}
	}
	return done, running, last
}

// failedEnds returns the largest number of ends as failed among the tasks of a job.
func (l *taskLog) failedEnds(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, h := range l.byTask {
		if h.job == job {
			most = max(most, h.failed)
		}
	}
	return most
}

// violations returns the rules that were broken.
func (l *taskLog) violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.broken...)
}
