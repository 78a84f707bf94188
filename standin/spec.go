package standin

import "encoding/json"

// Spec says to a stand-in runner what a job's tasks do; it travels as the job's spec.
type Spec struct {
	Steps []SpecStep `json:"steps"`
}

// SpecStep is one step of a Spec.
type SpecStep struct {
	RunMS         int64 `json:"ms"` // run time of a task
	CPU           int64 `json:"cpu"`
	Mem           int64 `json:"mem"`
	AlwaysFails   bool  `json:"fails,omitempty"` // every run fails
	LongRunning   bool  `json:"lasts,omitempty"`
	Checkpointing bool  `json:"saves,omitempty"`
	BestEffort    bool  `json:"fills,omitempty"`
	Gang          int   `json:"gang,omitempty"` // members; 0 is no gang
}

// Text returns the spec as a job carries it.
func (s Spec) Text() string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // numbers and booleans encode
	}
	return string(b)
}

func specOf(text string) (Spec, bool) {
	var s Spec
	return s, json.Unmarshal([]byte(text), &s) == nil
}
