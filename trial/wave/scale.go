package wavetrial

import (
	"fmt"
	"net/netip"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/record"
)

// Scale is the size of a fleet under maintenance.
type Scale struct {
	Name    string
	Pools   int
	Runners int // instances of all pools together
	Centres int
	Entries int // in all data centres together
	Rack    int // instances of a rack
	Budget  record.Budget
	Tick    time.Duration // between two steps of a driver
}

// scales returns the fleets of a size by name.
func scales(name string) ([]Scale, error) {
	two := record.Budget{Out: 2, Rack: 1, Centre: 1}
	switch name {
	case "today":
		return []Scale{
			{"peachtree", 6, 58, 4, 7, 4, two, time.Second},
			{"tarjeta", 6, 58, 3, 7, 4, two, time.Second},
		}, nil
	case "middle":
		return []Scale{{"middle", 16, 700, 7, 21, 4, record.Budget{Out: 5, Rack: 2, Centre: 2}, 2 * time.Second}}, nil
	case "target":
		return []Scale{{"target", 51, 4200, 14, 42, 4, record.Budget{Out: 8, Rack: 2, Centre: 3}, 5 * time.Second}}, nil
	}
	return nil, fault.New(fault.Invalid, "size %q is none of today, middle, target", name)
}

// Layout says how the pools lie in the racks.
type Layout string

// The layouts.
const (
	LayoutMixed Layout = "mixed" // a rack holds instances of several pools
	LayoutWhole Layout = "whole" // a rack holds instances of one pool
)

// slot is one place for a runner.
type slot struct {
	pool   int
	centre int
	rack   string
}

// slots returns a place for each runner; every pool is spread evenly over the data centres.
func (sc Scale) slots(l Layout) []slot {
	var out []slot
	rack, used := 0, 0
	for c := range sc.Centres {
		for i := range sc.Pools * sc.perCentre() {
			p := i % sc.Pools
			if l == LayoutWhole {
				p = i / sc.perCentre()
			}
			// The runners that don't divide evenly are missing from the last data centres.
			if k := c*sc.perCentre() + sc.nth(l, i); k >= sc.size(p) {
				continue
			}
			if used == sc.Rack || l == LayoutWhole && len(out) > 0 && out[len(out)-1].pool != p {
				rack, used = rack+1, 0
			}
			out = append(out, slot{p, c, fmt.Sprintf("r%04d", rack)})
			used++
		}
		rack, used = rack+1, 0
	}
	return out
}

// perCentre is how many instances of a pool a data centre holds, rounded up.
func (sc Scale) perCentre() int {
	perPool := (sc.Runners + sc.Pools - 1) / sc.Pools
	return (perPool + sc.Centres - 1) / sc.Centres
}

// nth is the place of slot i among its pool's slots of the data centre.
func (sc Scale) nth(l Layout, i int) int {
	if l == LayoutWhole {
		return i % sc.perCentre()
	}
	return i / sc.Pools
}

// size is how many instances a pool has.
func (sc Scale) size(p int) int {
	n := sc.Runners / sc.Pools
	if p < sc.Runners%sc.Pools {
		n++
	}
	return n
}

// instances lists the entries and a runner in each slot.
func (sc Scale) instances(slots []slot) []backing.Instance {
	var list []backing.Instance
	for i := range sc.Entries {
		list = append(list, backing.Instance{ID: fmt.Sprintf("e%03d", i), Role: backing.RoleEntry, Centre: centreOf(i % sc.Centres), Addr: addrOf(i)})
	}
	for i, s := range slots {
		list = append(list, backing.Instance{
			ID:     fmt.Sprintf("i%05d", i),
			Role:   backing.RoleRunner,
			Addr:   addrOf(sc.Entries + i),
			Centre: centreOf(s.centre),
			Rack:   s.rack,
		})
	}
	return list
}

func poolName(i int) string {
	return fmt.Sprintf("pool%02d", i)
}

func centreOf(i int) string {
	return fmt.Sprintf("c%02d", i)
}

func addrOf(i int) netip.AddrPort {
	const port = 8080
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), port)
}
