package copies

import (
	"math"
	"time"

	"gypsumlead/fault"
)

// The policies that the trial compares; all send a request again after a try timed out.
const (
	policyNone   = "none"   // one copy at a time
	policyAlways = "always" // two copies at once
	policyAdapt  = "adapt"  // a second copy at once by criticality, failure probability and load
	policyHedge  = "hedge"  // a second copy once the first is later than most
)

const (
	failGain   = 0.01  // weight of the newest try in the measured failure probability
	copyWorth  = 0.005 // gain that a copy must promise on an idle pool
	hedgeRuns  = 3.0   // mean run times after which the first copy counts as late
	hedgeLoad  = 0.8   // load above which no copy is hedged
	loadSmooth = 0.01  // weight of the newest sample in the measured load
)

// policy decides on second copies from what an entry can measure.
type policy struct {
	name string
	fail float64 // measured probability that a try fails
	load float64 // measured part of the slots in use
}

func newPolicy(name string) (*policy, error) {
	switch name {
	case policyNone, policyAlways, policyAdapt, policyHedge:
		return &policy{name: name}, nil
	}
	return nil, fault.New(fault.Invalid, "flag -policy: no policy %q; known are none, always, adapt and hedge", name)
}

// observe takes in the end of a try and the load at that moment.
func (p *policy) observe(failed bool, load float64) {
	x := 0.0
	if failed {
		x = 1
	}
	p.fail += failGain * (x - p.fail)
	p.load += loadSmooth * (load - p.load)
}

// atOnce tells whether a request gets two copies at once: where what a failure costs, its
// criticality times the measured probability, outweighs what a copy costs the others, which
// grows without bound as the load goes to one.
func (p *policy) atOnce(criticality float64) bool {
	switch p.name {
	case policyAlways:
		return true
	case policyAdapt:
		return criticality*p.fail > copyWorth/math.Max(1e-9, 1-p.load)
	}
	return false
}

// later returns after what time a second copy is sent; false means never.
func (p *policy) later(run time.Duration) (time.Duration, bool) {
	if p.name != policyHedge || p.load > hedgeLoad {
		return 0, false
	}
	return time.Duration(hedgeRuns * float64(run)), true
}
