package flood

import (
	"time"

	"gypsumlead/share"
)

// splitKey names one kind of work.
type splitKey struct{ service, work string }

// split is the baseline with a fixed number of slots for each kind of work, in proportion to
// what it keeps busy in ordinary times; nothing is lent.
type split struct {
	parts map[splitKey]*first
	order []*first
	owner map[uint64]*first
}

func newSplit(p pool, slots int) *split {
	s := &split{parts: map[splitKey]*first{}, owner: map[uint64]*first{}}
	sum := 0.0
	for _, v := range p.services {
		for _, w := range v.works {
			sum += w.part
		}
	}
	left, part := slots, sum
	for _, v := range p.services {
		for _, w := range v.works {
			n := max(1, int(float64(left)*w.part/part+0.5))
			left, part = left-n, part-w.part
			f := newFirst(n)
			s.parts[splitKey{v.name, w.name}] = f
			s.order = append(s.order, f)
		}
	}
	return s
}

// Apply takes in an event.
func (s *split) Apply(ev share.Event, now time.Time) ([]share.Effect, error) {
	switch e := ev.(type) {
	case share.Arrive:
		f := s.parts[splitKey{e.Service, e.Work}]
		s.owner[e.ID] = f
		return f.Apply(e, now)
	case share.Finish:
		f := s.owner[e.ID]
		delete(s.owner, e.ID)
		return f.Apply(e, now)
	}
	return nil, nil
}

// Next returns the zero time: this design acts on arrivals and ends only.
func (s *split) Next() time.Time { return time.Time{} }
