package buffer

import (
	"gypsumlead/fault"
)

// pool is a pool of a site with its instances and its mean demand, in instances.
type pool struct {
	name  string
	size  int
	mean  float64
	limit int // of its availability budget
	spare bool
}

// site is a fleet of pools; the spare pool keeps floor instances.
type site struct {
	name  string
	floor int
	pools []pool
}

const spareFloor = 4 // instances

func siteOf(name string) (site, error) {
	switch name {
	case "peachtree":
		return site{name, spareFloor, []pool{
			{"notices", 11, 2.6, 2, false},
			{"kitchens", 10, 2.4, 2, false},
			{"routes", 11, 2.6, 2, false},
			{"daycares", 10, 2.4, 2, false},
			{"member-accounts", 8, 0.9, 2, true},
		}}, nil
	case "tarjeta":
		return site{name, spareFloor, []pool{
			{"picks", 11, 2.6, 2, false},
			{"reorders", 11, 2.6, 2, false},
			{"stock", 10, 2.4, 2, false},
			{"vans", 10, 2.4, 2, false},
			{"internal-tools", 8, 0.9, 2, true},
		}}, nil
	}
	return site{}, fault.New(fault.Invalid, "flag -site: no site %q; known are peachtree and tarjeta", name)
}
