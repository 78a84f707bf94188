package budget

import "gypsumlead/work"

// Unlimited is the amount of a resource that stands for no limit.
const Unlimited = 1 << 60

// maxOf returns the larger amount of each resource.
func maxOf(a, b work.Resources) work.Resources {
	return work.Resources{CPU: max(a.CPU, b.CPU), Mem: max(a.Mem, b.Mem), GPU: max(a.GPU, b.GPU)}
}

// minOf returns the smaller amount of each resource.
func minOf(a, b work.Resources) work.Resources {
	return work.Resources{CPU: min(a.CPU, b.CPU), Mem: min(a.Mem, b.Mem), GPU: min(a.GPU, b.GPU)}
}

// positive replaces negative amounts by zero.
func positive(a work.Resources) work.Resources { return maxOf(a, work.Resources{}) }

// limited returns a with zero for the resources that a cap doesn't limit.
func limited(a, limit work.Resources) work.Resources {
	if limit.CPU == 0 {
		a.CPU = 0
	}
	if limit.Mem == 0 {
		a.Mem = 0
	}
	if limit.GPU == 0 {
		a.GPU = 0
	}
	return a
}

// part returns one nth of an amount.
func part(a work.Resources, n int64) work.Resources {
	return work.Resources{CPU: a.CPU / n, Mem: a.Mem / n, GPU: a.GPU / n}
}

// Limit returns what a cap or portion allows, with Unlimited for the resources that the cap doesn't limit.
func Limit(portion, limit work.Resources) work.Resources {
	if limit.CPU == 0 {
		portion.CPU = Unlimited
	}
	if limit.Mem == 0 {
		portion.Mem = Unlimited
	}
	if limit.GPU == 0 {
		portion.GPU = Unlimited
	}
	return portion
}
