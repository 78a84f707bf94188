package share

import (
	"math"
	"time"
)

const (
	refreshEvery = 250 * time.Millisecond
	leastDemand  = 0.05 // slots, so that a kind without a mean still has a floor
	staffSteps   = 40   // bisection steps
	calmLoad     = 0.8  // part of the slots in use
	mostLearned  = 4.0  // learned mean over the declared one
)

// refresh computes the floors anew from the means and the measured run times.
func (p *Pool) refresh(now time.Time) {
	passed := now.Sub(p.refreshed)
	calm := p.calm()
	if calm && !p.refreshed.IsZero() {
		p.learnt += passed
	}
	for _, k := range p.kinds {
		k.observe(passed)
		if calm {
			k.learn(passed, p.opts.learn)
		}
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

// calm tells whether the pool serves all that is asked with slots to spare; only then is
// what is asked taken for the mean, so that a flood can't raise its own floor.
func (p *Pool) calm() bool {
	return p.waiting == 0 && float64(p.running) <= calmLoad*float64(p.slots)
}

// demands returns the slots that each kind holds on average at its mean, by Little's law. The
// mean is the declared one or, where it is higher, the learned one. Where these leave little
// of the slots, the learned ones are taken alone once there are any, for what is declared too
// high takes the floors of others; else the declared ones.
func (p *Pool) demands() []float64 {
	part := p.part()
	ds := p.demandsBy(func(k *kind) float64 {
		declared := k.work.Mean * part
		return math.Max(declared, math.Min(k.learned, mostLearned*declared))
	})
	if staffed(ds, 0) <= calmLoad*float64(p.slots) {
		return ds
	}
	known := p.learnt >= p.opts.learn && p.opts.learn > 0
	return p.demandsBy(func(k *kind) float64 {
		declared := k.work.Mean * part
		if !known {
			return declared
		}
		return math.Max(declared/mostLearned, math.Min(k.learned, mostLearned*declared))
	})
}

// demandsBy sets the means that the floors are for and returns the slots they hold.
func (p *Pool) demandsBy(mean func(*kind) float64) []float64 {
	ds := make([]float64, len(p.kinds))
	for i, k := range p.kinds {
		k.mean = mean(k)
		if !k.gone {
			ds[i] = math.Max(k.mean*k.run, leastDemand)
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
