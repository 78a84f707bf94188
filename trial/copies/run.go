package copies

import (
	"encoding/json"
	"flag"
	"io"
	"math"
	"time"

	"gypsumlead/fault"
)

// Line is the trial's result.
type Line struct {
	Seed   uint64 `json:"seed"`
	Policy string `json:"policy"`
	Cells  []Cell `json:"cell"`
}

// Cell is the result at one load and failure probability.
type Cell struct {
	Load   float64 `json:"load"` // part of the slots that single copies keep busy
	Fail   float64 `json:"fail"` // probability that a try is lost in silence
	Copies float64 `json:"copies"`
	Kinds  []Kind  `json:"kind"`
}

// Kind is the result of one class of criticality.
type Kind struct {
	Name   string  `json:"name"`
	Served float64 `json:"served"` // by the deadline
	P50    float64 `json:"p50"`    // milliseconds
	P99    float64 `json:"p99"`    // milliseconds
}

// Run parses args, runs the trial and prints its result as one JSON line.
func Run(args []string, out io.Writer) error {
	fs := flag.NewFlagSet("copies", flag.ContinueOnError)
	fs.SetOutput(out)
	seed := fs.Uint64("seed", 1, "seed of the random load")
	name := fs.String("policy", policyAdapt, "none, always, adapt or hedge")
	length := fs.Duration("length", 60*time.Second, "virtual time of each cell")
	if err := fs.Parse(args); err != nil {
		return fault.Wrap(fault.Invalid, err, "trial copies")
	}
	line, err := Try(*seed, *name, *length)
	if err != nil {
		return err
	}
	return fault.Wrap(fault.Internal, json.NewEncoder(out).Encode(line), "print the trial's line")
}

// Try runs a policy over all loads and failure probabilities.
func Try(seed uint64, name string, length time.Duration) (Line, error) {
	l := Line{Seed: seed, Policy: name}
	for _, load := range []float64{0.3, 0.6, 0.8} {
		for _, fail := range []float64{0, 0.01, 0.05} {
			p, err := newPolicy(name)
			if err != nil {
				return Line{}, err
			}
			d := newDrive(seed, p, load, fail, length)
			d.run()
			l.Cells = append(l.Cells, d.result(load, fail))
		}
	}
	return l, nil
}

func (d *drive) result(load, fail float64) Cell {
	c := Cell{Load: load, Fail: fail, Copies: rounded(float64(d.copies) / float64(max(1, d.asked)))}
	for i, v := range classes() {
		x := d.cells[i]
		c.Kinds = append(c.Kinds, Kind{
			Name:   v.name,
			Served: rounded(float64(x.good) / float64(max(1, x.asked))),
			P50:    float64(x.delays.ValueAtQuantile(50)) / 1000,
			P99:    float64(x.delays.ValueAtQuantile(99)) / 1000,
		})
	}
	return c
}

// rounded keeps four digits after the point.
func rounded(x float64) float64 {
	return math.Round(x*1e4) / 1e4
}
