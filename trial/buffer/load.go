package buffer

import (
	"math/rand/v2"
	"time"

	"gypsumlead/fault"
)

// The loads of the trial.
const (
	loadBursts = "bursts" // each queue in its turn asks five times its mean, a twentieth between
	loadShifts = "shifts" // a pool's demand rises above what it holds for half an hour
	loadBoth   = "both"
)

const (
	burstLength = 4 // seconds
	burstTimes  = 5.0
	lullTimes   = 0.05
	shiftLength = 30 * time.Minute
	shiftEvery  = time.Hour // on average
	shiftRise   = 2 * time.Minute
	shiftLoad   = 1.25 // of the pool's own instances
	noise       = 0.1  // part of the demand
)

// demand makes the demands of a site second by second.
type demand struct {
	site   site
	load   string
	rng    *rand.Rand
	shifts []shift
}

// shift is one pool's rise of demand.
type shift struct {
	pool  int
	begin int // seconds
}

func newDemand(st site, load string, seed uint64, length time.Duration) (*demand, error) {
	d := &demand{site: st, load: load, rng: rand.New(rand.NewPCG(seed, 0))}
	switch load {
	case loadBursts, loadShifts, loadBoth:
	default:
		return nil, fault.New(fault.Invalid, "flag -load: no load %q; known are bursts, shifts and both", load)
	}
	at := 0
	for load != loadBursts {
		at += int((shiftEvery.Seconds() - shiftLength.Seconds()) * d.rng.ExpFloat64())
		if at >= int(length.Seconds()) {
			break
		}
		d.shifts = append(d.shifts, shift{pool: d.rng.IntN(len(st.pools) - 1), begin: at})
		at += int(shiftLength.Seconds())
	}
	return d, nil
}

// at returns the demand of each pool, in instances, in the given second, and which of them shift.
func (d *demand) at(second int) (asked []float64, shifted []bool) {
	asked = make([]float64, len(d.site.pools))
	shifted = make([]bool, len(d.site.pools))
	for i, p := range d.site.pools {
		asked[i] = p.mean * d.burst(i, second)
		for _, s := range d.shifts {
			if s.pool != i || second < s.begin || second >= s.begin+int(shiftLength.Seconds()) {
				continue
			}
			rise := min(1, float64(second-s.begin)/shiftRise.Seconds())
			asked[i] = max(asked[i], rise*shiftLoad*float64(p.size))
			shifted[i] = true
		}
		asked[i] *= 1 + noise*(2*d.rng.Float64()-1)
	}
	return asked, shifted
}

func (d *demand) burst(pool, second int) float64 {
	switch {
	case d.load == loadShifts:
		return 1
	case second/burstLength%len(d.site.pools) == pool:
		return burstTimes
	}
	return lullTimes
}
