package flood

import (
	"time"

	"gypsumlead/fault"
	"gypsumlead/share"
)

// The designs that the trial compares.
const (
	designFirst = "first" // first come, first served
	designSplit = "split" // a fixed number of slots for each kind of work
	designShare = "share" // package share
)

// design decides on the requests of one entry for one pool; share.Pool is one.
type design interface {
	Apply(ev share.Event, now time.Time) ([]share.Effect, error)
	Next() time.Time
}

// newDesign returns the design with an entry's slots of a pool.
func newDesign(name string, p pool, declared []share.Service, slots int) (design, error) {
	switch name {
	case designFirst:
		return newFirst(slots), nil
	case designSplit:
		return newSplit(p, slots), nil
	case designShare:
		return newShared(p, declared, slots)
	}
	return nil, fault.New(fault.Invalid, "flag -design: no design %q; known are share, first and split", name)
}

func newShared(p pool, declared []share.Service, slots int) (design, error) {
	s := share.New(p.name)
	start := time.Unix(0, 0)
	if _, err := s.Apply(share.Capacity{Slots: slots, Total: p.slots()}, start); err != nil {
		return nil, err
	}
	_, err := s.Apply(share.Configure{Services: declared}, start)
	return s, err
}
