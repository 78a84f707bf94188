package flood

import (
	"math"
	"math/rand/v2"
	"time"

	"gypsumlead/fault"
	"gypsumlead/record"
	"gypsumlead/share"
)

const slotsPerRunner = 8

// site is a fleet with the load that it has in ordinary times.
type site struct {
	name    string
	centres []centre
	pools   []pool
}

// centre is a data centre with the entries in it.
type centre struct {
	entries int
}

// pool is a pool of runners, spread evenly over the data centres.
type pool struct {
	name     string
	runners  int
	services []service
}

type service struct {
	name    string
	timeout time.Duration
	works   []work
}

// work is a kind of work; its mean follows from the part of the pool's slots that it keeps busy.
type work struct {
	name    string
	urgency int
	run     time.Duration // mean
	part    float64
}

func siteOf(name string) (site, error) {
	switch name {
	case "peachtree":
		return peachtree(), nil
	case "tarjeta":
		return tarjeta(), nil
	}
	return site{}, fault.New(fault.Invalid, "flag -site: no site %q; known are peachtree and tarjeta", name)
}

func peachtree() site {
	return site{
		name:    "peachtree",
		centres: []centre{{2}, {2}, {2}, {1}},
		pools: []pool{
			{"district", 30, []service{
				{"notices", 2 * time.Second, []work{
					{"closure", 9, 40 * time.Millisecond, 0.14},
					{"reminder", 3, 80 * time.Millisecond, 0.07},
				}},
				{"kitchens", 2 * time.Second, []work{
					{"cancel", 7, 60 * time.Millisecond, 0.12},
					{"menu", 2, 120 * time.Millisecond, 0.09},
				}},
				{"routes", 2 * time.Second, []work{
					{"cancel", 8, 50 * time.Millisecond, 0.14},
					{"update", 4, 100 * time.Millisecond, 0.07},
				}},
			}},
			{"family", 20, []service{
				{"daycares", 2 * time.Second, []work{
					{"notify", 6, 60 * time.Millisecond, 0.20},
					{"digest", 1, 300 * time.Millisecond, 0.10},
				}},
				{"accounts", 3 * time.Second, []work{
					{"login", 5, 30 * time.Millisecond, 0.20},
					{"report", 0, 400 * time.Millisecond, 0.10},
				}},
			}},
		},
	}
}

func tarjeta() site {
	return site{
		name:    "tarjeta",
		centres: []centre{{3}, {2}, {2}},
		pools: []pool{
			{"depot", 30, []service{
				{"picks", 2 * time.Second, []work{
					{"list", 8, 50 * time.Millisecond, 0.14},
					{"preview", 3, 100 * time.Millisecond, 0.07},
				}},
				{"vans", 2 * time.Second, []work{
					{"route", 7, 80 * time.Millisecond, 0.12},
					{"track", 5, 20 * time.Millisecond, 0.09},
				}},
				{"stock", 4 * time.Second, []work{
					{"lookup", 6, 30 * time.Millisecond, 0.14},
					{"summary", 0, 500 * time.Millisecond, 0.07},
				}},
			}},
			{"buyers", 20, []service{
				{"reorders", 2 * time.Second, []work{
					{"confirm", 9, 60 * time.Millisecond, 0.20},
					{"quote", 4, 120 * time.Millisecond, 0.10},
				}},
				{"catalogue", 3 * time.Second, []work{
					{"search", 2, 40 * time.Millisecond, 0.20},
					{"export", 1, 350 * time.Millisecond, 0.10},
				}},
			}},
		},
	}
}

func (p pool) slots() int { return p.runners * slotsPerRunner }

// slotsIn returns the slots of the pool's runners in the i-th of n data centres.
func (p pool) slotsIn(i, n int) int {
	runners := p.runners / n
	if i < p.runners%n {
		runners++
	}
	return runners * slotsPerRunner
}

// mean returns the requests a second of w in ordinary times.
func (p pool) mean(w work) float64 {
	return w.part * float64(p.slots()) / w.run.Seconds()
}

// configured returns the pool's services as records give them, with means that are off by a
// random factor of at most off either way.
func (p pool) configured(rng *rand.Rand, off float64) []share.Service {
	var ss []share.Service
	for _, s := range p.services {
		v := share.Service{Name: s.name}
		for _, w := range s.works {
			wrong := math.Pow(math.Max(1, off), 2*rng.Float64()-1)
			v.Works = append(v.Works, record.Work{Name: w.name, Urgency: w.urgency, Mean: p.mean(w) * wrong})
		}
		ss = append(ss, v)
	}
	return ss
}

func (s site) slots() int {
	n := 0
	for _, p := range s.pools {
		n += p.slots()
	}
	return n
}
