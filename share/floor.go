package share

import (
	"math"
	"time"
)

const (
	refreshEvery = 250 * time.Millisecond
	leastDemand  = 0.05 // slots, so that a kind without a mean still has a floor
	staffSteps   = 40   // bisection steps
)

// refresh computes the floors anew from the means and the measured run times.
func (p *Pool) refresh(now time.Time) {
	for _, k := range p.kinds {
		k.observe(now.Sub(p.refreshed))
	}
	p.refreshed = now
	demand := p.demands()
	c := headroom(demand, float64(p.slots))
	scale := 1.0
	if sum := staffed(demand, 0); sum > float64(p.slots) {
		scale = float64(p.slots) / sum
	}
	for _, g := range p.groups {
		g.floor = 0
	}
	for i, k := range p.kinds {
		k.accrue(now, p.opts.burst)
		k.floor = 0
		if !k.gone {
			k.floor = scale * (demand[i] + c*math.Sqrt(demand[i]))
		}
		k.group.floor += k.floor
	}
}

// demands returns the slots that each kind holds on average at its mean, by Little's law.
func (p *Pool) demands() []float64 {
	part := p.part()
	ds := make([]float64, len(p.kinds))
	for i, k := range p.kinds {
		if !k.gone {
			ds[i] = math.Max(k.work.Mean*part*k.run, leastDemand)
		}
	}
	return ds
}

// headroom returns the c for which demand + c*sqrt(demand), summed over the kinds, is the
// pool's slots (square-root staffing: small kinds need more room in proportion).
func headroom(demand []float64, slots float64) float64 {
	if staffed(demand, 0) >= slots {
		return 0
	}
	low, high := 0.0, 1.0
	for staffed(demand, high) < slots && high < math.MaxFloat32 {
		high *= 2
	}
	for range staffSteps {
		mid := (low + high) / 2
		if staffed(demand, mid) < slots {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

func staffed(demand []float64, c float64) float64 {
	sum := 0.0
	for _, d := range demand {
		sum += d + c*math.Sqrt(d)
	}
	return sum
}
