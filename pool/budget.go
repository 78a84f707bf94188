package pool

import (
	"fmt"
	"strings"

	"gypsumlead/fault"
	"gypsumlead/record"
)

// Out counts the members that are out of service, in all and in each failure domain.
type Out struct {
	All    int
	Rack   map[string]int
	Centre map[string]int
	what   []item
}

// item is one member that counts, with its failure domains and the reason.
type item struct {
	member Member
	why    string
}

// Count returns what is out by planned takes and losses together; an instance counts once.
func (s State) Count(lost []Loss) Out {
	o := Out{Rack: map[string]int{}, Centre: map[string]int{}}
	for _, t := range s.Takes {
		o.add(s, t.Instance, string(t.Cause)+" "+t.By)
	}
	for _, l := range lost {
		if _, taken := s.Taken(l.Instance); !taken {
			o.add(s, l.Instance, l.Why)
		}
	}
	return o
}

func (o *Out) add(s State, id, why string) {
	m, ok := s.Member(id)
	if !ok {
		return
	}
	o.All++
	o.Rack[m.Rack]++
	o.Centre[m.Centre]++
	o.what = append(o.what, item{m, why})
}

// Fits tells whether one more of m's failure domains may be out.
func (o Out) Fits(b record.Budget, m Member) bool {
	return o.All < b.Out &&
		(b.Rack == 0 || o.Rack[m.Rack] < b.Rack) &&
		(b.Centre == 0 || o.Centre[m.Centre] < b.Centre)
}

// Room returns nil if one more of m's failure domains may be out, else an error of kind
// fault.Budget that names the bound and what counted against it.
func (o Out) Room(b record.Budget, m Member) error {
	if o.All >= b.Out {
		return o.refuse("budget.out", b.Out, func(Member) bool { return true })
	}
	if b.Rack > 0 && o.Rack[m.Rack] >= b.Rack {
		return o.refuse("budget.rack", b.Rack, func(x Member) bool { return x.Rack == m.Rack })
	}
	if b.Centre > 0 && o.Centre[m.Centre] >= b.Centre {
		return o.refuse("budget.centre", b.Centre, func(x Member) bool { return x.Centre == m.Centre })
	}
	return nil
}

const namedLimit = 6 // instances named in a refusal

func (o Out) refuse(bound string, n int, in func(Member) bool) error {
	var named []string
	count := 0
	for _, it := range o.what {
		if !in(it.member) {
			continue
		}
		count++
		if len(named) < namedLimit {
			named = append(named, fmt.Sprintf("%s (%s)", it.member.ID, it.why))
		}
	}
	return fault.New(fault.Budget, "%s is %d and %d are out: %s", bound, n, count, strings.Join(named, ", "))
}

// within checks planned takes alone against the bounds that m counts against, by a count of its own.
func (s State) within(b record.Budget, m Member) error {
	var rack, centre int
	for _, t := range s.Takes {
		o, _ := s.Member(t.Instance)
		if o.Rack == m.Rack {
			rack++
		}
		if o.Centre == m.Centre {
			centre++
		}
	}
	if len(s.Takes) > b.Out {
		return fault.New(fault.Breach, "%d planned takes are over budget.out %d", len(s.Takes), b.Out)
	}
	if b.Rack > 0 && rack > b.Rack {
		return fault.New(fault.Breach, "%d planned takes in rack %s are over budget.rack %d", rack, m.Rack, b.Rack)
	}
	if b.Centre > 0 && centre > b.Centre {
		return fault.New(fault.Breach, "%d planned takes in data centre %s are over budget.centre %d", centre, m.Centre, b.Centre)
	}
	return nil
}
