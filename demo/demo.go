package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"gypsumlead/fault"
)

// config is what the options set.
type config struct {
	seed     uint64
	duration time.Duration
}

// Option changes how the demo runs.
type Option func(*config)

// WithSeed seeds the callers' choices.
func WithSeed(seed uint64) Option {
	return func(c *config) { c.seed = seed }
}

// WithDuration sets how long callers ask.
func WithDuration(d time.Duration) Option {
	return func(c *config) { c.duration = d }
}

const defaultDuration = 12 * time.Second

// Result is the demo's last line; the last five fields count breaches.
type Result struct {
	Served  int `json:"served"`
	NotRun  int `json:"notrun"`
	Unknown int `json:"unknown"`
	Lost    int `json:"lost"`    // answered as served, but no runner finished it
	Doubled int `json:"doubled"` // ran twice, or ran although the caller was told that it did not
	Mixed   int `json:"mixed"`   // answer of another request
	Cut     int `json:"cut"`     // in progress when a planned stop came
	Budget  int `json:"budget"`  // looks at which a pool had more instances out than its budget
}

// breaches is the sum of what must be zero.
func (r Result) breaches() int {
	return r.Lost + r.Doubled + r.Mixed + r.Cut + r.Budget
}

// Run plays the demo's script, prints each step and last the result as a line of JSON; a breach is an error.
func Run(ctx context.Context, out io.Writer, opts ...Option) error {
	c := config{seed: 1, duration: defaultDuration}
	for _, o := range opts {
		o(&c)
	}
	s, err := newSite(c)
	if err != nil {
		return err
	}
	defer s.close()
	r, err := play(ctx, s, c, out)
	if err != nil {
		return err
	}
	line, err := json.Marshal(r)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode the result")
	}
	fmt.Fprintf(out, "%s\n", line)
	if n := r.breaches(); n > 0 {
		return fault.New(fault.Breach, "the demo saw %d breaches", n)
	}
	return nil
}

// play is the script.
func play(ctx context.Context, s *site, c config, out io.Writer) (Result, error) {
	say := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	say("seed %d: %d entries and %d runners in 2 data centres, all on loopback", c.seed, len(s.entries), len(s.runners))
	op, err := newOperator(s)
	if err != nil {
		return Result{}, err
	}
	if err := op.setUp(ctx); err != nil {
		return Result{}, err
	}
	say("pools, services and members made through the operators' interface")
	watch := newWatch(s)
	load := newLoad(s, c.seed)
	load.start(c.duration)
	for _, step := range steps(s, op) {
		text, err := step(ctx)
		if err != nil {
			load.wait()
			watch.stop()
			return Result{}, err
		}
		say("%s", text)
	}
	load.wait()
	r := judge(s, load.calls)
	if text := reasons(load.calls); text != "" {
		say("not served: %s", text)
	}
	r.Budget = watch.stop()
	return r, nil
}

// steps are what happens while callers ask.
func steps(s *site, op *operator) []func(context.Context) (string, error) {
	return []func(context.Context) (string, error){
		op.changeConfiguration,
		s.restartEntry,
		op.runWave,
	}
}
