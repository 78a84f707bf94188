package flood

import (
	"math"
	"math/rand/v2"
	"time"

	"gypsumlead/fault"
)

// The loads that the trial puts on top of the ordinary one.
const (
	floodNone  = "none"
	floodLeast = "least" // the least urgent kind of work floods
	floodMost  = "most"  // the most urgent one does
	floodTurns = "turns" // each service in its turn bursts, nothing floods
)

const (
	burstTimes = 5.0  // of the mean
	lullTimes  = 0.05 // of the mean
	runSpread  = 0.5  // sigma of the log-normal run times
)

// source makes the requests of one kind of work, the same ones whatever else goes on.
type source struct {
	index   int
	pool    int
	service service
	work    work
	turn    int // place of its service among the bursts
	mean    float64
	rng     *rand.Rand
	floods  bool
}

// shape is how the load changes with time.
type shape struct {
	bursts bool
	turn   time.Duration // length of one burst
	turns  int           // services that burst one after another
	begin  time.Duration // of the flood
	end    time.Duration
	flood  float64 // requests a second of the flooding kind; zero means no flood
}

func sources(st site, seed uint64) []*source {
	var out []*source
	turn := 0
	for pi, p := range st.pools {
		for _, s := range p.services {
			for _, w := range s.works {
				out = append(out, &source{
					index: len(out), pool: pi, service: s, work: w, turn: turn, mean: p.mean(w),
					rng: rand.New(rand.NewPCG(seed, uint64(len(out)))),
				})
			}
			turn++
		}
	}
	return out
}

// chooseFlood marks the source that floods.
func chooseFlood(srcs []*source, which string) error {
	switch which {
	case floodNone, floodTurns:
		return nil
	case floodLeast, floodMost:
	default:
		return floodByName(srcs, which)
	}
	pick := srcs[0]
	for _, s := range srcs {
		if (s.work.urgency > pick.work.urgency) == (which == floodMost) {
			pick = s
		}
	}
	pick.floods = true
	return nil
}

// floodByName marks the source of the kind of work that is called service/work.
func floodByName(srcs []*source, name string) error {
	for _, s := range srcs {
		if s.service.name+"/"+s.work.name == name {
			s.floods = true
			return nil
		}
	}
	return fault.New(fault.Invalid, "flag -flood: no load or kind of work %q; loads are least, most, turns and none", name)
}

// rate returns the requests a second at an instant.
func (s *source) rate(sh shape, at time.Duration) float64 {
	if s.floods && sh.flood > 0 && at >= sh.begin && at < sh.end {
		return sh.flood
	}
	if !sh.bursts {
		return s.mean
	}
	if int(at/sh.turn)%sh.turns == s.turn {
		return s.mean * burstTimes
	}
	return s.mean * lullTimes
}

// peak returns the highest rate that the source ever has.
func (s *source) peak(sh shape) float64 {
	most := s.mean
	if sh.bursts {
		most = s.mean * burstTimes
	}
	if s.floods {
		most = math.Max(most, sh.flood)
	}
	return most
}

// gap draws the time to the next candidate; taken then thins the candidates to the rate.
func (s *source) gap(sh shape) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / s.peak(sh) * float64(time.Second))
}

// taken tells whether the candidate at an instant is a request.
func (s *source) taken(sh shape, at time.Duration) bool {
	return s.rng.Float64()*s.peak(sh) < s.rate(sh, at)
}

// draw draws a run time with the work's mean.
func (s *source) draw() time.Duration {
	scale := math.Exp(runSpread*s.rng.NormFloat64() - runSpread*runSpread/2)
	return time.Duration(scale * float64(s.work.run))
}
