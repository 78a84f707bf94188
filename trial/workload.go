package trial

import (
	"math/rand/v2"
	"time"

	"gypsumlead/work"
)

// arrival is a job that is handed in.
type arrival struct {
	at   time.Duration
	spec work.Job
}

// Workload is a pool and what is asked of it.
type Workload struct {
	Name            string
	Machines        int
	CoresPerMachine int64
	arrivals        []arrival
	lost            time.Duration // when a rack is lost; zero is never
}

// Workloads are the names of the loads.
var Workloads = []string{"steady", "turns", "bursts", "rack"}

// Times and sizes of the loads.
const (
	loadSpan  = 40 * time.Second
	slice     = 100 * time.Millisecond // arrivals are drawn for one after the other
	machines  = 40
	cores     = 16
	rackSize  = 8
	turnLong  = 10 * time.Second // a queue's turn comes so often
	turnShort = 3 * time.Second  // and lasts so long
	turnTimes = 5                // times the mean, while it lasts
	lull      = 0.05             // of the mean, in between
	mean      = 0.6              // of what the pool holds
	rackAt    = 12 * time.Second
	bigShare  = 0.1 // of the jobs are large
	bigTimes  = 5   // times as wide as the others
)

// makeLoad draws a load; the same seed gives the same one.
func makeLoad(name string, seed uint64) Workload {
	r := rand.New(rand.NewPCG(seed, 1))
	l := Workload{Name: name, Machines: machines, CoresPerMachine: cores}
	if name == "rack" {
		l.lost = rackAt
	}
	held := float64(machines * cores) // core-seconds a second
	due := 0.0
	for at := time.Duration(0); at < loadSpan; at += slice {
		due += rate(name, at) * mean * held * slice.Seconds()
		for due > 0 {
			spec := draw(r, name)
			due -= spec.CPUSeconds()
			l.arrivals = append(l.arrivals, arrival{at, spec})
		}
	}
	return l
}

// rate is how many times the mean a load asks for at a time.
func rate(name string, at time.Duration) float64 {
	if name != "turns" && name != "bursts" {
		return 1
	}
	if at%turnLong < turnShort {
		return turnTimes * turnShort.Seconds() / turnLong.Seconds() * 2
	}
	return lull
}

// draw makes one job: one or two steps, one after the other, of eight tasks or, rarely, many more.
func draw(r *rand.Rand, name string) work.Job {
	j := work.Job{Spec: "trial"}
	width := 8
	if r.Float64() < bigShare && name == "bursts" {
		width *= bigTimes
	}
	for n := range 1 + r.IntN(2) {
		s := work.Step{
			Count:     width,
			Resources: work.Resources{CPU: 1000 + r.Int64N(2000), Mem: 100},
			Estimate:  time.Duration(500+r.IntN(700)) * time.Millisecond,
		}
		if n > 0 {
			s.After = []int{n - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}
