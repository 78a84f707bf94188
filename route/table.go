package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gypsumlead/backing"
	"gypsumlead/journal"
	"gypsumlead/record"
	"gypsumlead/runner"
)

// Service is one service in force.
type Service struct {
	Name string
	record.Service
}

// Capacity is this entry's part of a pool's slots, and the slots of the whole pool.
type Capacity struct {
	Pool  string
	Slots int
	Total int
}

// Table is what one configuration and one roster come to for one entry.
type Table struct {
	Seq        int64 // newest change that it is made from
	Services   []Service
	Targets    []runner.Target
	Capacities []Capacity
}

// none is the Slots of a target that this entry sends nothing to.
const none = -1

// Self is the entry that a table is made for.
type Self struct {
	Instance string
	Centre   string
	Slots    int // of one runner
}

// Build makes the table of an entry; records that can't be read are left out and returned as errors.
func Build(self Self, state *journal.State, list []backing.Instance) (Table, []error) {
	b := &builder{
		self:    self,
		byID:    make(map[string]backing.Instance, len(list)),
		entries: []backing.Instance{{ID: self.Instance, Centre: self.Centre}},
		near:    map[poolCentre]bool{},
		sharers: map[poolCentre][]string{},
	}
	t := Table{Seq: state.Seq()}
	for _, in := range list {
		b.byID[in.ID] = in
		if in.Role == backing.RoleEntry && in.State == backing.StateLive && in.ID != self.Instance {
			b.entries = append(b.entries, in)
		}
	}
	slices.SortFunc(b.entries, func(x, y backing.Instance) int { return strings.Compare(x.ID, y.ID) })
	t.Services = b.services(state)
	t.Targets = b.targets(state)
	t.Capacities = b.capacities(state, t.Targets)
	return t, b.errs
}

// builder collects what several steps of a build need.
type builder struct {
	self    Self
	byID    map[string]backing.Instance
	entries []backing.Instance  // live ones, this one always among them, sorted by ID
	near    map[poolCentre]bool // where each pool has live runners
	sharers map[poolCentre][]string
	errs    []error
}

// poolCentre is one pool's part in one data centre.
type poolCentre struct {
	pool   string
	centre string
}

func (b *builder) services(state *journal.State) []Service {
	var out []Service
	for _, e := range state.List(record.KindService) {
		s := Service{Name: e.Name}
		if err := record.Decode(e, &s.Service); err != nil {
			b.errs = append(b.errs, err)
			continue
		}
		out = append(out, s)
	}
	return out
}

// targets lists the members of pools that are runners of the roster.
func (b *builder) targets(state *journal.State) []runner.Target {
	var out []runner.Target
	for _, e := range state.List(record.KindMember) {
		var m record.Member
		if err := record.Decode(e, &m); err != nil {
			b.errs = append(b.errs, err)
			continue
		}
		in, ok := b.byID[e.Name]
		if !ok || in.Role != backing.RoleRunner || in.State == backing.StateGone {
			continue
		}
		out = append(out, runner.Target{
			Instance: in,
			Pool:     m.Pool,
			Leaving:  in.State != backing.StateLive || b.drained(state, in),
		})
		b.near[poolCentre{m.Pool, in.Centre}] = b.near[poolCentre{m.Pool, in.Centre}] || !out[len(out)-1].Leaving
	}
	for i, t := range out {
		if out[i].Slots = b.part(t.Instance, t.Pool); out[i].Slots == 0 {
			out[i].Slots = none
		}
	}
	return out
}

func (b *builder) drained(state *journal.State, in backing.Instance) bool {
	e, ok := state.Get(record.Key{Kind: record.KindDrain, Name: in.ID})
	if !ok {
		return false
	}
	var d record.Drain
	if err := record.Decode(e, &d); err != nil {
		b.errs = append(b.errs, err)
		return true // a drain that can't be read is still a drain
	}
	return d.Boot == in.Boot
}

// part is how many of a runner's slots this entry may fill. The slots are split over the
// entries that send to it; which of them get what is left over differs from runner to runner.
func (b *builder) part(in backing.Instance, pool string) int {
	share := b.sharersOf(poolCentre{pool, in.Centre})
	rank := slices.Index(share, b.self.Instance)
	if rank < 0 {
		return 0
	}
	n := len(share)
	part := b.self.Slots / n
	turn := (rank + int(xxhash.Sum64String(in.ID)%uint64(n))) % n
	if turn < b.self.Slots%n {
		part++
	}
	return part
}

// sharersOf names the live entries that send to the pool's runners of a data centre, in an order
// that all entries agree on: those of the data centre, and those that have none of the pool near.
func (b *builder) sharersOf(at poolCentre) []string {
	if out, ok := b.sharers[at]; ok {
		return out
	}
	var out []string
	for _, e := range b.entries {
		if e.Centre == at.centre || !b.near[poolCentre{at.pool, e.Centre}] {
			out = append(out, e.ID)
		}
	}
	b.sharers[at] = out
	return out
}

// capacities sums the parts of the upstreams that take new work.
func (b *builder) capacities(state *journal.State, targets []runner.Target) []Capacity {
	byPool := map[string]*Capacity{}
	var out []*Capacity
	for _, e := range state.List(record.KindPool) {
		c := &Capacity{Pool: e.Name}
		byPool[e.Name] = c
		out = append(out, c)
	}
	for _, t := range targets {
		c := byPool[t.Pool]
		if c == nil || t.Leaving {
			continue
		}
		c.Slots += max(t.Slots, 0)
		c.Total += b.self.Slots
	}
	flat := make([]Capacity, len(out))
	for i, c := range out {
		flat[i] = *c
	}
	return flat
}
