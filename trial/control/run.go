package control

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"gypsumlead/fault"
)

const (
	centreSize    = 4 // entries in a data centre
	settleDefault = 5 * time.Second
	spanDefault   = 10 * time.Second
	megabyte      = 1 << 20
)

// Result is one line of the trial, each figure for one daemon.
type Result struct {
	Daemons   int     `json:"daemons"`
	Instances int     `json:"instances"`
	Pools     int     `json:"pools"`
	Peers     float64 `json:"peers"`    // open sessions, mean
	Sent      float64 `json:"sent"`     // bytes a second to peers and the platform
	Received  float64 `json:"received"` // bytes a second from them, as the daemon asked
	Core      float64 `json:"core"`     // part of a core
	Heap      float64 `json:"heap"`     // megabytes in use, with its part of the stand-in
	Reads     float64 `json:"reads"`    // of the table, a second, of all daemons
	Writes    float64 `json:"writes"`   // of the table, a second, of all daemons
}

// Run starts daemons that nobody asks anything, and prints what they cost as one JSON line.
func Run(args []string, out io.Writer) error {
	fs := flag.NewFlagSet("trial control", flag.ContinueOnError)
	fs.SetOutput(out)
	daemons := fs.Int("daemons", 7, "entries, four a data centre")
	instances := fs.Int("instances", 115, "instances in the platform's list besides")
	pools := fs.Int("pools", 5, "pools that the instances are spread over")
	settle := fs.Duration("settle", settleDefault, "time before the measurement")
	span := fs.Duration("span", spanDefault, "time of the measurement")
	if err := fs.Parse(args); err != nil {
		return fault.Wrap(fault.Invalid, err, "read the flags")
	}
	s, err := newSite(*daemons, *instances, *pools)
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.fill(); err != nil {
		return err
	}
	time.Sleep(*settle)
	line, err := json.Marshal(s.measure(*span))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode the result")
	}
	_, err = fmt.Fprintf(out, "%s\n", line)
	return err
}

// sample is the counters at one instant.
type sample struct {
	at     time.Time
	cpu    time.Duration
	sent   int64
	got    int64
	reads  int64
	writes int64
}

func (s *site) sample() sample {
	table := s.counts()
	return sample{
		at:     time.Now(),
		cpu:    cpuTime(),
		sent:   s.meter.sent.Load(),
		got:    s.meter.got.Load(),
		reads:  table.Reads,
		writes: table.Writes,
	}
}

// measure compares two samples and shares the difference over the daemons.
func (s *site) measure(span time.Duration) Result {
	before := s.sample()
	time.Sleep(span)
	after := s.sample()
	took := after.at.Sub(before.at).Seconds()
	n := float64(len(s.daemons))
	per := func(total int64) float64 { return float64(total) / took / n }
	peers := 0
	for _, d := range s.daemons {
		peers += d.app.Peers()
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Result{
		Daemons:   len(s.daemons),
		Instances: s.instances,
		Pools:     s.pools,
		Peers:     float64(peers) / n,
		Sent:      per(after.sent - before.sent),
		Received:  per(after.got - before.got),
		Core:      (after.cpu - before.cpu).Seconds() / took / n,
		Heap:      float64(m.HeapInuse) / megabyte / n,
		Reads:     float64(after.reads-before.reads) / took,
		Writes:    float64(after.writes-before.writes) / took,
	}
}

// cpuTime is the processor time of this process so far, daemons and stand-in together.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
