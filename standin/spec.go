package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"

	"gypsumlead/work"
)

// Spec tells an emulated runner what a job's tasks do; it is sent as the job's spec text.
type Spec struct {
	Steps []SpecStep `json:"steps"`
}

// SpecStep is one step of a Spec; every task of the step behaves alike.
type SpecStep struct {
	RunMS         int64 `json:"ms"`                // run time of a task, without the restore of a checkpoint
	StartupMS     int64 `json:"startup,omitempty"` // of a long-running task; longRunningStartup if 0
	StopMS        int64 `json:"stop,omitempty"`    // until a stopped run ends; stopTime if 0
	CPU           int64 `json:"cpu"`
	Mem           int64 `json:"mem"`
	AlwaysFails   bool  `json:"fails,omitempty"`   // every run ends as failed
	CrashesRunner bool  `json:"crashes,omitempty"` // every run crashes its runner
	SlowPercent   int64 `json:"slow,omitempty"`    // of the runs, which take slowFactor times as long
	LongRunning   bool  `json:"lasts,omitempty"`
	Checkpointing bool  `json:"saves,omitempty"`
	BestEffort    bool  `json:"fills,omitempty"`
	Gang          int   `json:"gang,omitempty"` // members of a gang; 0 if the step is not a gang
}

// occupied returns what a task of the step takes of its runner's room; the CPU of a best-effort task isn't counted.
func (s SpecStep) occupied() work.Resources {
	if s.BestEffort {
		return work.Resources{Mem: s.Mem}
	}
	return work.Resources{CPU: s.CPU, Mem: s.Mem}
}

// startup returns the time after which a long-running task reports full progress.
func (s SpecStep) startup() time.Duration {
	if s.StartupMS > 0 {
		return time.Duration(s.StartupMS) * time.Millisecond
	}
	return longRunningStartup
}

// stopTime returns the time until a stopped run ends.
func (s SpecStep) stopTime() time.Duration {
	if s.StopMS > 0 {
		return time.Duration(s.StopMS) * time.Millisecond
	}
	return stopTime
}

// slowFactor is how many times as long a slow run takes.
const slowFactor = 7

// isSlow reports whether a run is slow, by a hash of its names.
func (s SpecStep) isSlow(task string, run int, runner string) bool {
	if s.SlowPercent == 0 {
		return false
	}
	h := fnv.New32a()
	fmt.Fprint(h, task, run, runner) // a hash's Write returns no error
	return int64(h.Sum32()%100) < s.SlowPercent
}

// Text returns the spec in JSON, as a job carries it.
func (s Spec) Text() string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // numbers and booleans always encode
	}
	return string(b)
}

// parseSpec reads a job's spec; it returns false if text is not valid JSON for a Spec.
func parseSpec(text string) (Spec, bool) {
	var s Spec
	return s, json.Unmarshal([]byte(text), &s) == nil
}
