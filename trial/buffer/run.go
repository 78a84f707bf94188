package buffer

import (
	"encoding/json"
	"flag"
	"io"
	"math"
	"time"

	"gypsumlead/fault"
)

// Plan is one run of the trial.
type Plan struct {
	Seed    uint64
	Site    string
	Design  string
	Load    string
	Reserve int // instances beyond what the pools have of their own
	Length  time.Duration
}

// Line is the trial's result.
type Line struct {
	Seed    uint64  `json:"seed"`
	Site    string  `json:"site"`
	Design  string  `json:"design"`
	Load    string  `json:"load"`
	Hours   float64 `json:"hours"`
	Buffer  float64 `json:"buffer"`  // instance-hours in reserve
	Idle    float64 `json:"idle"`    // those of them that nothing used, moves under way included
	Rollout float64 `json:"rollout"` // hours; zero as no wave runs
	Moved   int     `json:"moved"`   // instances
	Served  float64 `json:"served"`  // share of the demand
	Shifted float64 `json:"shifted"` // share of the demand of pools while they shift
	Peak    int     `json:"peak"`    // most moves at once
	Seconds int     `json:"move"`    // that one move takes
}

const defaultReserve = 4 // instances: what the spare pool can lend above its floor

// Run parses args, runs the trial and prints its result as one JSON line.
func Run(args []string, out io.Writer) error {
	p := Plan{}
	fs := flag.NewFlagSet("buffer", flag.ContinueOnError)
	fs.SetOutput(out)
	fs.Uint64Var(&p.Seed, "seed", 1, "seed of the random load")
	fs.StringVar(&p.Site, "site", "peachtree", "peachtree or tarjeta")
	fs.StringVar(&p.Design, "design", designLend, "lend, eager (without hysteresis) or fixed (a reserve in each pool)")
	fs.StringVar(&p.Load, "load", loadBoth, "bursts, shifts or both")
	fs.IntVar(&p.Reserve, "reserve", defaultReserve, "instances in reserve, in the spare pool or spread over the others")
	fs.DurationVar(&p.Length, "length", 24*time.Hour, "virtual time of the run")
	if err := fs.Parse(args); err != nil {
		return fault.Wrap(fault.Invalid, err, "trial buffer")
	}
	line, err := p.Try()
	if err != nil {
		return err
	}
	return fault.Wrap(fault.Internal, json.NewEncoder(out).Encode(line), "print the trial's line")
}

// Try runs the plan.
func (p Plan) Try() (Line, error) {
	d, err := newDrive(p)
	if err != nil {
		return Line{}, err
	}
	if err := d.run(); err != nil {
		return Line{}, err
	}
	s := d.sum
	return Line{
		Seed: p.Seed, Site: p.Site, Design: p.Design, Load: p.Load, Hours: p.Length.Hours(),
		Buffer: hours(s.reserve), Idle: hours(s.idle), Moved: s.moved,
		Served: part(s.served, s.asked), Shifted: part(s.servedUp, s.askedShift),
		Peak: s.out, Seconds: moveTakes,
	}, nil
}

func hours(seconds float64) float64 {
	return math.Round(seconds/36) / 100
}

func part(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return math.Round(a/b*1e4) / 1e4
}
