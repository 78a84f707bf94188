package jobtrial

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"gypsumlead/backing/standin"
	"gypsumlead/job"
)

// Report is the JSON line of a trial.
type Report struct {
	Seed   uint64   `json:"seed"`
	Size   string   `json:"size"`
	Design string   `json:"design"`
	Runs   []Result `json:"runs"`
}

// designs returns the policy of a design by name.
func designs(name string) (job.Policy, error) {
	y := job.DefaultPolicy()
	switch name {
	case "ours":
	case "firstfit":
		y.FirstFit, y.Declared = true, true
	case "declared":
		y.Declared = true
	case "nodisplace":
		y.NoDisplace = true
	case "noquarantine":
		y.NoQuarantine = true
	case "noshare":
		y.UrgentShare = 1
	default:
		return y, fmt.Errorf("design %q is none of ours, firstfit, declared, nodisplace, noquarantine, noshare", name)
	}
	return y, nil
}

// Run runs the trial that args ask for and writes one JSON line.
func Run(args []string, out io.Writer) error {
	fs := flag.NewFlagSet("job", flag.ContinueOnError)
	seed := fs.Uint64("seed", 1, "seed of the workload and the faults")
	size := fs.String("size", "today", "today (both users) or target")
	design := fs.String("design", "ours", "ours, firstfit, declared, nodisplace, noquarantine or noshare")
	span := fs.Duration("span", 0, "virtual time; zero means the size's own")
	if err := fs.Parse(args); err != nil {
		return err
	}
	y, err := designs(*design)
	if err != nil {
		return err
	}
	scs, err := scales(*size)
	if err != nil {
		return err
	}
	rep := Report{Seed: *seed, Size: *size, Design: *design}
	for _, sc := range scs {
		if *span > 0 {
			sc.Span = *span
		}
		r, err := runScale(sc, *seed, y)
		if err != nil {
			return err
		}
		rep.Runs = append(rep.Runs, r)
	}
	return json.NewEncoder(out).Encode(rep)
}

// runScale runs the pools of a scale side by side and joins what they measured.
func runScale(sc Scale, seed uint64, y job.Policy) (Result, error) {
	ctx := context.Background()
	var sum Result
	var steps []time.Duration
	for i := range sc.Pools {
		w := NewWorld(sc.split(i), fmt.Sprintf("%s%d", sc.Name, i), seed+uint64(i)*1000, 1, job.WithPolicy(y))
		w.Truth.SetFaults(standin.Faults{Slow: callTime})
		if err := w.run(ctx); err != nil {
			return sum, fmt.Errorf("pool %d of %s: %w", i, sc.Name, err)
		}
		r := w.result()
		r.Bytes = w.bytes()
		steps = append(steps, w.meter.steps...)
		if i == 0 {
			sum = r
			continue
		}
		sum.join(r)
	}
	sum.Step = latencyOf(steps, 0)
	sum.Step.Late = 0
	return sum, nil
}

// bytes returns what the holder's state takes, by dropping it.
func (w *World) bytes() int64 {
	before := heap()
	for _, h := range w.Holders {
		h.Driver = nil
	}
	return before - heap()
}
