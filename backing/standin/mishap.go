package standin

import (
	"time"
)

// Mishap is something that goes wrong with one exchange of a runner.
type Mishap string

// The mishaps, in the order of the exchange.
const (
	MishapNone   Mishap = ""
	MishapAccept Mishap = "accept" // the connection is reset when it is accepted
	MishapHead   Mishap = "head"   // reset after the request's head; nothing is run
	MishapDrop   Mishap = "drop"   // closed after the whole request was read; nothing is run
	MishapRefuse Mishap = "refuse" // answered 503; nothing is run
	MishapRan    Mishap = "ran"    // reset after the run, before the answer
	MishapEarly  Mishap = "early"  // a 103 comes before the answer
	MishapAnswer Mishap = "answer" // reset in the answer's head
	MishapBody   Mishap = "body"   // reset in the answer's body
	MishapShort  Mishap = "short"  // closed in good order before the declared length is reached
	MishapLong   Mishap = "long"   // another whole answer follows that nobody asked for
)

// Mishaps returns every mishap.
func Mishaps() []Mishap {
	return []Mishap{
		MishapAccept, MishapHead, MishapDrop, MishapRefuse, MishapRan,
		MishapEarly, MishapAnswer, MishapBody, MishapShort, MishapLong,
	}
}

// RunnerFaults is what is wrong with a runner; the zero value is a runner in good health.
type RunnerFaults struct {
	Mishaps []Mishap      `json:"mishaps,omitempty"` // one of them befalls an exchange
	Odds    float64       `json:"odds,omitempty"`    // probability that one does; zero means always
	Slow    time.Duration `json:"slow,omitempty"`    // added to each run
	Chunked bool          `json:"chunked,omitempty"` // answers declare no length
	Off     bool          `json:"off,omitempty"`     // new connections are reset
	Silent  bool          `json:"silent,omitempty"`  // new connections are acknowledged and deliver nothing
}

// SetFaults replaces the runner's faults.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// SetRun sets how long a request runs that doesn't say so itself.
func (r *Runner) SetRun(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.run = d
}

// Silence makes the connections that are open now acknowledge and deliver nothing for good; new ones work.
func (r *Runner) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent.Store(true)
	}
}

// pick draws what befalls an exchange; accepts tells whether a connection is being accepted.
func (r *Runner) pick(accepts bool) Mishap {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults
	if len(f.Mishaps) == 0 || (f.Odds > 0 && r.rnd.Float64() >= f.Odds) {
		return MishapNone
	}
	m := f.Mishaps[r.rnd.IntN(len(f.Mishaps))]
	if (m == MishapAccept) != accepts {
		return MishapNone
	}
	return m
}
