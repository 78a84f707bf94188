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
	return each(func(amount, limit int64) int64 {
		if limit == 0 {
			return 0
		}
		return amount
	}, a, limit)
}

// each applies f to the amounts of each resource.
func each(f func(a, b int64) int64, a, b work.Resources) work.Resources {
	return work.Resources{CPU: f(a.CPU, b.CPU), Mem: f(a.Mem, b.Mem), GPU: f(a.GPU, b.GPU)}
}

// part returns one nth of an amount.
func part(a work.Resources, n int64) work.Resources {
	return work.Resources{CPU: a.CPU / n, Mem: a.Mem / n, GPU: a.GPU / n}
}

// Limit returns what a cap or portion allows, with Unlimited for the resources that the cap doesn't limit.
func Limit(portion, limit work.Resources) work.Resources {
	return each(func(amount, limit int64) int64 {
		if limit == 0 {
			return Unlimited
		}
		return amount
	}, portion, limit)
}
