package job

import (
	"math"
	"slices"
	"time"
)

const (
	ringSize    = 16   // samples that an estimate remembers
	priorWeight = 1.0  // samples that the prior counts for
	ratioLow    = 0.05 // a ratio outside of low and high is taken as the bound
	ratioHigh   = 50.0
	sizeRank    = 0.9  // quantile of a job's own samples that sizes are taken from
	priorRank   = 0.75 // quantile of a team's jobs
	timeRank    = 0.5
	leastMilli  = 10
	leastMemory = 1 << 20
)

// Ring is the newest samples of the ratio of measured to declared.
type Ring struct {
	At     int       `json:"at"`
	Ratios []float64 `json:"ratios"`
}

func (r *Ring) add(ratio float64) {
	ratio = min(max(ratio, ratioLow), ratioHigh)
	if len(r.Ratios) < ringSize {
		r.Ratios = append(r.Ratios, ratio)
		return
	}
	r.Ratios[r.At] = ratio
	r.At = (r.At + 1) % ringSize
}

// quantile returns the sample at rank, or the fallback where there is none.
func (r *Ring) quantile(rank, fallback float64) float64 {
	if len(r.Ratios) == 0 {
		return fallback
	}
	var buf [ringSize]float64
	s := buf[:copy(buf[:], r.Ratios)]
	slices.Sort(s)
	return s[int(math.Ceil(rank*float64(len(s))))-1]
}

// Estimate corrects what is declared by what was measured.
type Estimate struct {
	Cores  Ring `json:"cores"`
	Memory Ring `json:"memory"`
	Time   Ring `json:"time"`
}

// measure adds the sizes that one task used at most.
func (e *Estimate) measure(peak, declared Amount) {
	if peak.Milli > 0 {
		e.Cores.add(part(peak.Milli, declared.Milli))
	}
	if peak.Memory > 0 {
		e.Memory.add(part(peak.Memory, declared.Memory))
	}
}

// timed adds the run time of one task.
func (e *Estimate) timed(ran, declared time.Duration) {
	if ran > 0 && declared > 0 {
		e.Time.add(float64(ran) / float64(declared))
	}
}

// learn takes a job's median into a team's prior.
func (e *Estimate) learn(j *Estimate) {
	for _, r := range []struct{ to, from *Ring }{{&e.Cores, &j.Cores}, {&e.Memory, &j.Memory}, {&e.Time, &j.Time}} {
		if len(r.from.Ratios) > 0 {
			r.to.add(r.from.quantile(timeRank, 1))
		}
	}
}

// blend weighs a job's samples against its team's prior; samples above the prior count in full
// at once, since a guarantee that is too small does harm.
func blend(own, prior *Ring, margin float64) float64 {
	before := prior.quantile(priorRank, 1)
	n := float64(len(own.Ratios))
	if n == 0 {
		return before
	}
	seen := own.quantile(sizeRank, 1) * margin
	return max(seen, (n*seen+priorWeight*before)/(n+priorWeight))
}

// sized returns the size to guarantee to a task of a job.
func (e *Estimate) sized(declared Amount, prior *Estimate, margin float64) Amount {
	cores := blend(&e.Cores, &prior.Cores, margin)
	memory := blend(&e.Memory, &prior.Memory, margin)
	return Amount{
		Milli:  max(int64(float64(declared.Milli)*cores), leastMilli),
		Memory: max(int64(float64(declared.Memory)*memory), leastMemory),
		Accels: declared.Accels,
	}
}

// lasting returns the expected run time of a task.
func (e *Estimate) lasting(declared time.Duration, prior *Estimate) time.Duration {
	return time.Duration(float64(declared) * e.Time.quantile(timeRank, prior.Time.quantile(timeRank, 1)))
}
