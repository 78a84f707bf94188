package sched

import (
	"encoding/json"
	"slices"
	"time"

	"gypsumlead/fault"
	"gypsumlead/work"
)

// Progress is the part of a job's state that is stored besides the job itself.
type Progress struct {
	State   work.State    `json:"state"`
	Runners []string      `json:"at,omitempty"`   // those that may have runs of the job
	Tasks   *TaskProgress `json:"past,omitempty"` // nil if there is nothing to store of any task
	// Of rows of earlier releases, which are read but not written.
	Occurrences []OccurrenceProgress `json:"turns,omitempty"`
}

// Limits on what a job's progress stores beyond what a later leader has to know.
const (
	maxCheckpointSize = 16 << 10 // of all checkpoints of a job; tasks beyond that start from the beginning under another leader
	checkpointExtra   = 10       // of each, for its task's number and punctuation
	maxStoredCrashes  = 200      // of a job; crashes beyond them aren't held against its tasks under another leader
)

// TaskProgress is the progress of a job's tasks. They are numbered from 0 through all occurrences and steps, so that its size
// goes by the number of tasks and by what has happened to those that aren't done, however they are spread.
type TaskProgress struct {
	Done         []byte          `json:"done,omitempty"`    // one bit per task, low bits first, up to the last one that is set
	FailedRuns   map[int][]int   `json:"fails,omitempty"`   // numbers of failed runs, by task
	GangFailures map[int][]int   `json:"gangs,omitempty"`   // numbers of failed runs of a gang, by its first task
	Checkpoints  map[int]string  `json:"saved,omitempty"`   // checkpoints, by task
	Crashes      map[int][]Crash `json:"crashes,omitempty"` // crashes of runners, by task
	Trials       map[int]Trial   `json:"trials,omitempty"`  // trials that aren't settled, by task

	occurrences []byte // of a row of an earlier release: one bit for each occurrence that is done
}

// UnmarshalJSON decodes the progress of tasks. An earlier release stored a text in its place: the bits of the occurrences that
// are done. That release can't decode what this one stores, so that it doesn't run the tasks again.
func (tp *TaskProgress) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, &tp.occurrences)
	}
	type plain TaskProgress
	return json.Unmarshal(data, (*plain)(tp))
}

// OccurrenceProgress is the progress of one occurrence, as earlier releases stored it.
type OccurrenceProgress struct {
	Occurrence int            `json:"turn"`
	Steps      []StepProgress `json:"steps"`
}

// StepProgress is the progress of one step, as earlier releases stored it.
type StepProgress struct {
	Done        []byte          `json:"done,omitempty"`    // one bit per task, low bits first
	FailedRuns  map[int][]int   `json:"fails,omitempty"`   // numbers of failed runs, by task; a gang's by -1
	Checkpoints map[int]string  `json:"saved,omitempty"`   // checkpoints, by task
	Crashes     map[int][]Crash `json:"crashes,omitempty"` // crashes of runners, by task
	Trials      map[int]Trial   `json:"trials,omitempty"`  // trials that aren't settled, by task
}

// gangKey is the key of a gang's failed runs in StepProgress.FailedRuns.
const gangKey = -1

// progress returns the job's progress to store. A final job keeps only its state.
func (j *job) progress() Progress {
	if j.state.Final() {
		if j.workspace != nil && j.hasRuns() {
			return Progress{State: j.state, Runners: j.placements.list()} // its runs count against a cap until they have ended
		}
		return Progress{State: j.state}
	}
	return Progress{State: j.state, Runners: j.placements.list(), Tasks: j.taskProgress()}
}

// taskProgress returns what is to be stored of the job's tasks, or nil.
func (j *job) taskProgress() *TaskProgress {
	var tp TaskProgress
	checkpointRoom := maxCheckpointSize
	done := make([]byte, (j.countTasks()+7)/8)
	lastDone := -1
	j.eachNumberedTask(func(n int, t *task) {
		if t.done {
			done[n/8] |= 1 << (n % 8)
			lastDone = n
			return
		}
		tp.add(n, t, &checkpointRoom)
	})
	if lastDone >= 0 {
		tp.Done = done[:lastDone/8+1]
	}
	if tp.empty() {
		return nil
	}
	return &tp
}

// add adds what is to be stored of a task that isn't done, with its checkpoint if there is room for it.
func (tp *TaskProgress) add(n int, t *task, checkpointRoom *int) {
	if len(t.failedRuns) > 0 {
		set(&tp.FailedRuns, n, t.failedRuns)
	}
	if len(t.step.failedRuns) > 0 && t == t.step.tasks[0] {
		set(&tp.GangFailures, n, t.step.failedRuns)
	}
	if size := len(t.checkpoint) + checkpointExtra; t.checkpoint != "" && t.step.spec.Checkpointing && size <= *checkpointRoom {
		*checkpointRoom -= size
		set(&tp.Checkpoints, n, t.checkpoint)
	}
	if len(t.crashes) > 0 && len(tp.Crashes) < maxStoredCrashes {
		set(&tp.Crashes, n, slices.Clone(t.crashes))
	}
	if trial := t.trialToStore(); trial != nil {
		set(&tp.Trials, n, *trial)
	}
}

// set sets an entry of a map, which it makes if it is nil.
func set[V any](m *map[int]V, n int, v V) {
	if *m == nil {
		*m = map[int]V{}
	}
	(*m)[n] = v
}

// empty reports whether there is nothing to store.
func (tp *TaskProgress) empty() bool { return len(tp.Crashes)+len(tp.Trials) == 0 && !tp.started() }

// started reports whether the progress proves that a runner has started a task. A crash that is blamed on a task doesn't:
// its start may not have been confirmed.
func (tp *TaskProgress) started() bool {
	return len(tp.Done)+len(tp.FailedRuns)+len(tp.GangFailures)+len(tp.Checkpoints) > 0 ||
		slices.ContainsFunc(tp.occurrences, func(bits byte) bool { return bits != 0 })
}

// Encode returns the progress in its stored form.
func (pr Progress) Encode() ([]byte, error) {
	b, err := json.Marshal(pr)
	return b, fault.Wrap(fault.Internal, err, "encode job progress")
}

// DecodeProgress decodes a job's progress from its stored form.
func DecodeProgress(value []byte) (Progress, error) {
	var pr Progress
	err := json.Unmarshal(value, &pr)
	return pr, fault.Wrap(fault.Invalid, err, "decode job progress")
}

// RestoreJob adds a job that an earlier leader accepted, with its stored progress or nil. It does nothing if the job is
// known.
func (p *Pool) RestoreJob(now time.Time, id work.ID, queue work.Queue, spec work.Job, accepted time.Time, pr *Progress) {
	if _, ok := p.jobs[id]; ok {
		return
	}
	j := newJob(id, p.newestTerms(queue), spec, accepted)
	j.inherited, j.workspace = true, p.joinWorkspace(spec.Workspace, queue.Version)
	p.jobs[id] = j
	p.shares.unclassified = append(p.shares.unclassified, j)
	if pr != nil {
		p.restore(now, j, *pr)
	}
	if !j.state.Final() {
		p.live = append(p.live, j)
	}
}

// restore applies stored progress to a new job.
func (p *Pool) restore(now time.Time, j *job, pr Progress) {
	if pr.State.Final() {
		j.state, j.committedState, j.ended = pr.State, pr.State, now
		// Polls find the job's remaining runs, which are then stopped.
		if len(pr.Runners) > 0 {
			j.restorePlacements(pr.Runners)
			p.endedInherited = append(p.endedInherited, j)
		}
		return
	}
	j.restorePlacements(pr.Runners)
	if pr.Tasks != nil {
		p.restoreTasks(j, pr.Tasks)
	}
	for _, op := range pr.Occurrences {
		if op.Occurrence < 0 || op.Occurrence >= len(j.occurrences) {
			continue
		}
		for stepIndex, sp := range op.Steps {
			if stepIndex < len(j.occurrences[op.Occurrence].steps) {
				p.restoreStep(j.occurrences[op.Occurrence].steps[stepIndex], sp)
			}
		}
	}
	if pr.started() {
		j.state = work.Running
	}
}

// started reports whether the progress proves that a runner has started a task.
func (pr Progress) started() bool {
	for _, op := range pr.Occurrences {
		if slices.ContainsFunc(op.Steps, func(sp StepProgress) bool { return sp.Done != nil || sp.FailedRuns != nil || sp.Checkpoints != nil }) {
			return true
		}
	}
	return pr.Tasks != nil && pr.Tasks.started()
}

// restoreTasks applies the stored progress of a new job's tasks.
func (p *Pool) restoreTasks(j *job, tp *TaskProgress) {
	j.eachNumberedTask(func(n int, t *task) {
		if bitSet(tp.Done, n) || bitSet(tp.occurrences, t.name.Occurrence) {
			t.markDone()
		}
		if runs, ok := tp.GangFailures[n]; ok {
			t.step.failedRuns = runs
		}
		t.restore(tp.FailedRuns[n], tp.Crashes[n], tp.Checkpoints[n])
		if trial, ok := tp.Trials[n]; ok && !t.done {
			p.addLostTrial(t, &trial)
		}
	})
}

// restoreStep applies stored progress to a new step.
func (p *Pool) restoreStep(s *step, sp StepProgress) {
	s.restore(sp)
	for i, t := range s.tasks {
		if trial, ok := sp.Trials[i]; ok && !t.done {
			p.addLostTrial(t, &trial)
		}
	}
}

// bitSet reports whether a bit is set; low bits come first.
func bitSet(bits []byte, i int) bool { return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

// restore applies stored progress to a new step.
func (s *step) restore(sp StepProgress) {
	s.failedRuns = sp.FailedRuns[gangKey]
	for i, t := range s.tasks {
		if bitSet(sp.Done, i) {
			t.markDone()
		}
		t.restore(sp.FailedRuns[i], sp.Crashes[i], sp.Checkpoints[i])
	}
}

// restore applies what is stored of a new task.
func (t *task) restore(failedRuns []int, crashes []Crash, checkpoint string) {
	t.failedRuns = failedRuns
	for _, number := range failedRuns {
		t.lastRun = max(t.lastRun, number)
	}
	t.crashes = crashes
	t.suspect = len(crashes) > 0
	for _, c := range crashes {
		t.lastRun = max(t.lastRun, c.Run)
	}
	t.checkpoint = checkpoint
}
