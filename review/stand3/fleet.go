//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet is the service for machines and all runners, with what their sockets have seen.
type fleet struct {
	scene *scene

	mu      sync.Mutex
	runners map[string]*runner
	jobs    map[string]*job
	tasks   map[string]*taskLog
	gangs   map[string]*gang
	broken  []string
	told    map[string][]string // what runners did with each task, for the record
	next    int
	closed  bool
}

// taskLog is what runners have done for one task.
type taskLog struct {
	step   *step
	active map[*runner]*activeRun
	starts []time.Time
	done   []*runEnd
	failed []*runEnd
	saved  map[string]bool
}

// runEnd is the end of a run that a runner lists.
type runEnd struct {
	n      int64
	task   string
	run    int
	how    string
	saved  string
	at     time.Time
	noted  time.Time // when the cursor reached it; zero before
	lapsed bool      // the runner's lease lapsed before that, so that it is never taken note of
}

func newFleet(s *scene) *fleet {
	return &fleet{scene: s, runners: map[string]*runner{}, jobs: map[string]*job{}, tasks: map[string]*taskLog{}, gangs: map[string]*gang{}, told: map[string][]string{}}
}

func (f *fleet) addJob(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.id] = j
}

// report records that a rule is broken.
func (f *fleet) report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.scene.note("BROKEN: %s", text)
	f.broken = append(f.broken, text)
}

// tell remembers a line on a task for the record. The caller holds f.mu.
func (f *fleet) tell(task, format string, args ...any) {
	f.told[task] = append(f.told[task], fmt.Sprintf("%9.3f  %s", time.Since(f.scene.begun).Seconds(), fmt.Sprintf(format, args...)))
}

// writeTasks writes what runners did with each task: in full, or in a line for each job where all of a job's tasks started once and ended as done.
func (f *fleet) writeTasks() {
	f.mu.Lock()
	defer f.mu.Unlock()
	plain := map[string]int{}
	for _, task := range slices.Sorted(maps.Keys(f.told)) {
		lines := f.told[task]
		if len(lines) == 2 && strings.HasSuffix(lines[1], ": done") {
			plain[strings.Split(task, ".")[0]]++
			continue
		}
		f.scene.note("task %s:\n           %s", task, strings.Join(lines, "\n           "))
	}
	for _, id := range slices.Sorted(maps.Keys(plain)) {
		f.scene.note("job %s: %d of its tasks started once and ended as done", id, plain[id])
	}
}

// log returns the log of a task, and its job and step; nil if no client sent such a task. The caller holds f.mu.
func (f *fleet) log(name string) (*taskLog, *job, int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil, nil, 0
	}
	j := f.jobs[parts[0]]
	at, err := strconv.Atoi(parts[2])
	index, err2 := strconv.Atoi(parts[3])
	occurrence, err3 := strconv.Atoi(parts[1])
	if j == nil || err != nil || err2 != nil || err3 != nil || at >= len(j.steps) || index >= j.steps[at].Count || occurrence >= max(1, j.repeat) {
		return nil, nil, 0
	}
	t := f.tasks[name]
	if t == nil {
		t = &taskLog{step: &j.steps[at], active: map[*runner]*activeRun{}, saved: map[string]bool{}}
		f.tasks[name] = t
	}
	return t, j, at
}

// stepDone reports whether all tasks of a step have ended as done. The caller holds f.mu.
func (f *fleet) stepDone(j *job, occurrence string, at int) bool {
	n := 0
	for i := range j.steps[at].Count {
		if t := f.tasks[fmt.Sprintf("%s.%s.%d.%d", j.id, occurrence, at, i)]; t != nil && len(t.done) > 0 {
			n++
		}
	}
	return n == j.steps[at].Count || (j.steps[at].Gang && n > 0)
}

// jobDone reports whether all tasks of a job have ended as done.
func (f *fleet) jobDone(j *job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for occurrence := range max(1, j.repeat) {
		for at := range j.steps {
			if !f.stepDone(j, strconv.Itoa(occurrence), at) {
				return false
			}
		}
	}
	return true
}

// running returns how many tasks of a job are running.
func (f *fleet) running(j *job) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, t := range f.tasks {
		if strings.HasPrefix(name, j.id+".") {
			n += len(t.active)
		}
	}
	return n
}

// started returns how many starts of a job's tasks there were.
func (f *fleet) started(j *job) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, t := range f.tasks {
		if strings.HasPrefix(name, j.id+".") {
			n += len(t.starts)
		}
	}
	return n
}

// checkStart checks a start that a runner is about to make. The caller holds f.mu.
func (f *fleet) checkStart(r *runner, o order) *taskLog {
	t, j, at := f.log(o.Task)
	if t == nil {
		f.report("UNASKED: %s is told to start %s, which no client sent", r.id, o.Task)
		return nil
	}
	now := time.Now()
	occurrence := strings.Split(o.Task, ".")[1]
	if o.Spec != j.spec {
		f.report("UNASKED: %s is told to start %s with another spec", r.id, o.Task)
	}
	if o.Checkpoint != "" && !f.isSaved(j, occurrence, at, t, o.Checkpoint) {
		f.report("UNASKED: %s is told to start %s with checkpoint %s, which isn't the task's", r.id, o.Task, o.Checkpoint)
	}
	for _, a := range t.step.After {
		if !f.stepDone(j, occurrence, a) {
			f.report("ORDER: %s starts %s before step %d is done", r.id, o.Task, a)
		}
	}
	if k, _ := strconv.Atoi(occurrence); j.repeat > 0 {
		if due := j.startAt.Add(time.Duration(k) * j.interval); now.Before(due.Add(-250 * time.Millisecond)) {
			f.report("ORDER: %s starts %s %v before its time", r.id, o.Task, due.Sub(now))
		}
	}
	if t.step.RequiredLabel != "" && !slices.Contains(r.labels, t.step.RequiredLabel) {
		f.report("ROUTE: %s starts %s without its label", r.id, o.Task)
	}
	same := 0
	for _, run := range r.runs {
		if run.step == t.step && strings.Split(run.task, ".")[1] == occurrence {
			same++
		}
	}
	if t.step.MaxPerServer > 0 && same >= t.step.MaxPerServer {
		f.report("ROUTE: %s starts %s beyond MaxPerServer", r.id, o.Task)
	}
	for other := range t.active {
		if !t.step.Speculative && other != r {
			f.report("TWICE: %s starts run %d of %s, of which a run is in progress on %s", r.id, o.Run, o.Task, other.id)
		}
	}
	failures := 0
	for _, e := range t.failed {
		if !e.noted.IsZero() {
			failures++
		}
	}
	if failures >= j.maxAttempts && !t.step.LongRunning && !t.step.Gang && !t.step.Speculative {
		f.report("BUDGET: %s starts %s after %d failed runs", r.id, o.Task, failures)
	}
	j.mu.Lock()
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > cancelTime {
		f.report("UNASKED: %s starts %s %v after the cancellation", r.id, o.Task, now.Sub(j.cancelled))
	}
	j.mu.Unlock()
	t.starts = append(t.starts, now)
	return t
}

// isSaved reports whether a checkpoint is of a task, or of a member of its gang. The caller holds f.mu.
func (f *fleet) isSaved(j *job, occurrence string, at int, t *taskLog, checkpoint string) bool {
	if t.saved[checkpoint] {
		return true
	}
	for i := range t.step.Count {
		member := f.tasks[fmt.Sprintf("%s.%s.%d.%d", j.id, occurrence, at, i)]
		if t.step.Gang && member != nil && member.saved[checkpoint] {
			return true
		}
	}
	return false
}

// violations returns what was broken so far, with what only the end shows.
func (f *fleet) violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, t := range f.tasks {
		for _, e := range t.done {
			if e.noted.IsZero() || t.step.Speculative || t.step.LongRunning {
				continue
			}
			for _, at := range t.starts {
				if at.After(e.at) {
					f.report("TWICE: %s started %v after run %d had ended as done, an end that was taken note of", name, at.Sub(e.at), e.run)
				}
			}
		}
	}
	return slices.Clone(f.broken)
}

// close ends all runners.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, r := range f.runners {
		if r.server != nil {
			_ = r.server.Close()
		}
	}
}

// ServeHTTP is the platform's service for machines.
func (f *fleet) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/gypsumlead/machines":
		f.serveMachines(w)
	case "/gypsumlead/machine-upkeep":
		f.serveMaintenance(w, req)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (f *fleet) serveMachines(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	type entry struct {
		Machine, Pool, State, Zone string
		Labels                     []string
		Capacity                   capacity
		ID                         string `json:"Id"`
	}
	list := []entry{}
	for _, r := range f.runners {
		if r.gone {
			continue
		}
		e := entry{r.machine, r.service, "up", r.zone, r.labels, r.room, r.id}
		if r.down {
			e.State, e.ID = "down", ""
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b entry) int { return strings.Compare(a.Machine, b.Machine) })
	reply(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": ""})
}

// serveMaintenance takes a machine down for its maintenance.
func (f *fleet) serveMaintenance(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Machine string
		Wave    int64
	}
	_ = json.NewDecoder(req.Body).Decode(&o) // an empty machine is unknown
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		if r.machine != o.Machine || r.gone {
			continue
		}
		if r.down {
			reply(w, http.StatusConflict, map[string]any{"Reason": "busy"})
			return
		}
		f.scene.note("upkeep of %s begins, %d runs there", r.machine, len(r.runs))
		r.crash(true)
		replaced := r
		time.AfterFunc(maintainTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !f.closed {
				f.addRunner(replaced.machine, replaced.service, replaced.zone, replaced.labels, replaced.room)
			}
		})
		reply(w, http.StatusOK, map[string]any{})
		return
	}
	reply(w, http.StatusBadRequest, map[string]any{})
}

// reply writes a response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}
