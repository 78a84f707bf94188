package flood

import (
	"encoding/json"
	"flag"
	"io"
	"math"
	"time"

	"gypsumlead/fault"
)

const (
	defaultWarm = 10 * time.Second
	burstLength = 4 * time.Second
)

// Plan is one run of the trial.
type Plan struct {
	Seed   uint64
	Site   string
	Design string
	Flood  string        // least, most, turns, none or the name of a kind of work
	Times  float64       // the flood, in what the whole fleet can take
	Warm   time.Duration // ordinary load before the flood
	Length time.Duration // of the flood
	Bursts bool          // the other kinds burst in turn below the flood
	Pooled bool          // the entries of a data centre share all of its slots
	Off    float64       // declared means are off by up to this factor either way
	Skew   float64       // part of the requests that the balancer sends to each data centre's first entry at once
}

// Line is the trial's result.
type Line struct {
	Seed   uint64  `json:"seed"`
	Site   string  `json:"site"`
	Design string  `json:"design"`
	Flood  string  `json:"flood"`
	Bursts bool    `json:"bursts"`
	Pooled bool    `json:"pooled"`
	Skew   float64 `json:"skew"`
	Off    float64 `json:"off"`
	Times  float64 `json:"times"`
	Length float64 `json:"length"` // seconds
	Kept   float64 `json:"kept"`   // the least of the other kinds
	Ratio  float64 `json:"ratio"`  // the greatest of the other kinds
	Kinds  []Kind  `json:"kind"`
}

// Kind is the result of one kind of work.
type Kind struct {
	Name    string  `json:"name"`
	Urgency int     `json:"urgency"`
	Floods  bool    `json:"floods"`
	Asked   int     `json:"asked"`
	Kept    float64 `json:"kept"` // throughput over that without the flood
	Served  float64 `json:"served"`
	P99     float64 `json:"p99"`    // milliseconds
	Base99  float64 `json:"base99"` // milliseconds, without the flood
	Ratio   float64 `json:"ratio"`
	Refused int     `json:"refused"` // tries
	Told    int     `json:"told"`    // refused tries with Retry-After
}

// Run parses args, runs the trial and prints its result as one JSON line.
func Run(args []string, out io.Writer) error {
	p := Plan{}
	fs := flag.NewFlagSet("flood", flag.ContinueOnError)
	fs.SetOutput(out)
	fs.Uint64Var(&p.Seed, "seed", 1, "seed of the random load")
	fs.StringVar(&p.Site, "site", "peachtree", "peachtree or tarjeta")
	fs.StringVar(&p.Design, "design", designShare, "share, first or split")
	fs.StringVar(&p.Flood, "flood", floodLeast, "least, most, turns, none or a kind of work as service/work")
	fs.Float64Var(&p.Times, "times", 5, "size of the flood in what the whole fleet can take")
	fs.DurationVar(&p.Warm, "warm", defaultWarm, "ordinary load before the flood")
	fs.DurationVar(&p.Length, "length", 20*time.Second, "length of the flood")
	fs.BoolVar(&p.Bursts, "bursts", false, "the other kinds burst in turn below the flood")
	fs.BoolVar(&p.Pooled, "pooled", false, "the entries of a data centre share all of its slots, in place of a fixed split")
	fs.Float64Var(&p.Skew, "skew", 0, "part of the requests that the balancer sends to each data centre's first entry at once")
	fs.Float64Var(&p.Off, "off", 1, "declared means are off by up to this factor either way")
	if err := fs.Parse(args); err != nil {
		return fault.Wrap(fault.Invalid, err, "trial flood")
	}
	line, err := p.Try()
	if err != nil {
		return err
	}
	return fault.Wrap(fault.Internal, json.NewEncoder(out).Encode(line), "print the trial's line")
}

// Try runs the plan without and with the flood, on the same requests of the other kinds.
func (p Plan) Try() (Line, error) {
	st, err := siteOf(p.Site)
	if err != nil {
		return Line{}, err
	}
	base, _, err := p.one(st, true)
	if err != nil {
		return Line{}, err
	}
	with, srcs, err := p.one(st, false)
	if err != nil {
		return Line{}, err
	}
	return p.line(srcs, base, with), nil
}

// one runs the plan's load once; calm takes the flood out of it, or the turns where they are
// what is tried.
func (p Plan) one(st site, calm bool) ([]tally, []*source, error) {
	srcs := sources(st, p.Seed)
	if err := chooseFlood(srcs, p.Flood); err != nil {
		return nil, nil, err
	}
	sh := shape{
		bursts: p.Bursts || p.Flood == floodTurns && !calm,
		turn:   burstLength,
		turns:  srcs[len(srcs)-1].turn + 1,
		begin:  p.Warm,
		end:    p.Warm + p.Length,
	}
	for _, s := range srcs {
		if s.floods && !calm {
			sh.flood = p.Times * float64(st.slots()) / s.work.run.Seconds()
		}
	}
	d, err := newDrive(st, p, srcs, sh)
	if err != nil {
		return nil, nil, err
	}
	return d.tallies, srcs, d.run()
}

func (p Plan) line(srcs []*source, base, with []tally) Line {
	l := Line{
		Seed: p.Seed, Site: p.Site, Design: p.Design, Flood: p.Flood, Bursts: p.Bursts, Pooled: p.Pooled, Skew: p.Skew, Off: p.Off,
		Times: p.Times, Length: p.Length.Seconds(), Kept: math.Inf(1),
	}
	for i, s := range srcs {
		b, w := &base[i], &with[i]
		k := Kind{
			Name: s.service.name + "/" + s.work.name, Urgency: s.work.urgency, Floods: s.floods,
			Asked: w.asked, Kept: ratio(float64(w.done), float64(b.done)), Served: rounded(w.share()),
			P99: rounded(w.p99()), Base99: rounded(b.p99()), Ratio: ratio(w.p99(), b.p99()),
			Refused: w.refusals, Told: w.told,
		}
		if !s.floods {
			l.Kept = math.Min(l.Kept, k.Kept)
			l.Ratio = math.Max(l.Ratio, k.Ratio)
		}
		l.Kinds = append(l.Kinds, k)
	}
	return l
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return rounded(a / b)
}

// rounded keeps four digits after the point.
func rounded(x float64) float64 {
	return math.Round(x*1e4) / 1e4
}
