package flood

import (
	"math/rand/v2"
	"time"

	"gypsumlead/fault"
	"gypsumlead/share"
	"gypsumlead/trial/timeline"
)

const (
	returns    = 2                // times that a refused caller comes back
	hop        = time.Millisecond // from the balancer to an entry
	retryDraws = 1 << 32          // streams of random numbers apart from those of the sources
	offDraws   = 1 << 33
)

// request is one caller's request through all its tries.
type request struct {
	src   *source
	first time.Time
	run   time.Duration
	tries int
	gate  *gate
}

// gate is one entry's admission to one pool.
type gate struct {
	design design
	due    time.Time
}

// event is what happens next on the timeline: arrival, ending, wake or candidate.
type event interface{ event() }

type arrival struct{ r *request }

type ending struct {
	r  *request
	id uint64
}

type wake struct {
	g  *gate
	at time.Time
}

type candidate struct{ s *source }

func (arrival) event()   {}
func (ending) event()    {}
func (wake) event()      {}
func (candidate) event() {}

// drive is one run of a load against a design.
type drive struct {
	site    site
	shape   shape
	plan    Plan
	stop    time.Time // no new requests after it
	line    *timeline.Timeline[event]
	gates   [][][]*gate // by pool, data centre, entry
	open    map[uint64]*request
	lastID  uint64
	retries *rand.Rand
	tallies []tally
	err     error
}

// epoch returns the start of virtual time.
func epoch() time.Time { return time.Unix(0, 0) }

func newDrive(st site, p Plan, srcs []*source, sh shape) (*drive, error) {
	d := &drive{
		site:    st,
		shape:   sh,
		plan:    p,
		stop:    epoch().Add(sh.end),
		line:    timeline.New[event](),
		open:    map[uint64]*request{},
		retries: rand.New(rand.NewPCG(p.Seed, retryDraws)),
		tallies: make([]tally, len(srcs)),
	}
	for i := range d.tallies {
		d.tallies[i] = newTally()
	}
	if err := d.build(); err != nil {
		return nil, err
	}
	for _, s := range srcs {
		d.line.Add(epoch().Add(s.gap(sh)), candidate{s})
	}
	return d, nil
}

// divided returns the slots of each entry: a fixed split, or all in one place as lending
// between entries without any delay would have it.
func divided(slots, entries int, pooled bool) []int {
	if pooled {
		return []int{slots}
	}
	out := make([]int, entries)
	for i := range out {
		out[i] = slots / entries
		if i < slots%entries {
			out[i]++
		}
	}
	return out
}

// build makes the entries of each data centre with their slots of each pool.
func (d *drive) build() error {
	for pi, p := range d.site.pools {
		declared := p.configured(rand.New(rand.NewPCG(d.plan.Seed, offDraws+uint64(pi))), d.plan.Off)
		var inPool [][]*gate
		for ci, c := range d.site.centres {
			var inCentre []*gate
			for _, own := range divided(p.slotsIn(ci, len(d.site.centres)), c.entries, d.plan.Pooled) {
				g, err := newDesign(d.plan.Design, p, declared, own)
				if err != nil {
					return err
				}
				inCentre = append(inCentre, &gate{design: g})
			}
			inPool = append(inPool, inCentre)
		}
		d.gates = append(d.gates, inPool)
	}
	return nil
}

// run takes the timeline to its end.
func (d *drive) run() error {
	for d.err == nil {
		now, ev, ok := d.line.Next()
		if !ok {
			break
		}
		switch e := ev.(type) {
		case candidate:
			d.candidate(e.s, now)
		case arrival:
			d.arrive(e.r, now)
		case ending:
			d.finish(e, now)
		case wake:
			d.wake(e, now)
		}
	}
	return d.err
}

func (d *drive) candidate(s *source, now time.Time) {
	if now.After(d.stop) {
		return
	}
	at := now.Sub(epoch())
	if s.taken(d.shape, at) {
		r := &request{src: s, first: now, run: s.draw()}
		r.gate = d.pick(s, s.rng)
		if d.counted(r) {
			d.tallies[s.index].asked++
		}
		d.line.Add(now.Add(hop), arrival{r})
	}
	d.line.Add(now.Add(s.gap(d.shape)), candidate{s})
}

// pick chooses a data centre and then one of its entries, each alike but for the skew of the
// balancer towards the first.
func (d *drive) pick(s *source, rng *rand.Rand) *gate {
	centres := d.gates[s.pool]
	entries := centres[rng.IntN(len(centres))]
	e := rng.IntN(len(entries))
	if rng.Float64() < d.plan.Skew {
		e = 0
	}
	return entries[e]
}

// counted tells whether r came while the flood was on.
func (d *drive) counted(r *request) bool {
	at := r.first.Sub(epoch())
	return at >= d.shape.begin && at < d.shape.end
}

func (d *drive) arrive(r *request, now time.Time) {
	r.tries++
	d.lastID++
	d.open[d.lastID] = r
	d.apply(r.gate, share.Arrive{
		ID:       d.lastID,
		Service:  r.src.service.name,
		Work:     r.src.work.name,
		Deadline: now.Add(r.src.service.timeout),
	}, now)
}

func (d *drive) finish(e ending, now time.Time) {
	delete(d.open, e.id)
	d.apply(e.r.gate, share.Finish{ID: e.id}, now)
	if d.counted(e.r) {
		d.tallies[e.r.src.index].served(now.Add(hop).Sub(e.r.first))
	}
}

func (d *drive) wake(e wake, now time.Time) {
	if !e.g.due.Equal(e.at) {
		return
	}
	e.g.due = time.Time{}
	d.apply(e.g, share.Tick{}, now)
}

func (d *drive) apply(g *gate, ev share.Event, now time.Time) {
	effects, err := g.design.Apply(ev, now)
	if err != nil {
		d.err = fault.Wrap(fault.KindOf(err), err, "apply %T at %s", ev, now.Sub(epoch()))
		return
	}
	for _, f := range effects {
		switch f := f.(type) {
		case share.Start:
			r := d.open[f.ID]
			d.line.Add(now.Add(r.run), ending{r, f.ID})
		case share.Refuse:
			d.refused(f, now)
		}
	}
	d.schedule(g)
}

func (d *drive) schedule(g *gate) {
	next := g.design.Next()
	if next.IsZero() || !g.due.IsZero() && !next.Before(g.due) {
		return
	}
	g.due = next
	d.line.Add(next, wake{g, next})
}

// refused sends the caller back after what it was told, in whole seconds as on the wire.
func (d *drive) refused(f share.Refuse, now time.Time) {
	r := d.open[f.ID]
	delete(d.open, f.ID)
	if d.counted(r) {
		d.tallies[r.src.index].refusals++
		if f.Retry > 0 {
			d.tallies[r.src.index].told++
		}
	}
	if r.tries > returns || f.Retry <= 0 {
		return
	}
	whole := (f.Retry + time.Second - 1).Truncate(time.Second)
	r.gate = d.pick(r.src, d.retries)
	d.line.Add(now.Add(whole), arrival{r})
}
