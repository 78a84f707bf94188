package buffer

import (
	"time"

	"gypsumlead/fault"
	"gypsumlead/spare"
)

// The designs that the trial compares.
const (
	designFixed = "fixed" // a reserve in each pool, no moves
	designEager = "eager" // lending without hysteresis
	designLend  = "lend"  // package spare
)

const (
	moveTakes = 120 // seconds: drain and reboot
	queueHold = 2.0 // seconds of work that a pool's queue holds before deadlines pass
)

// transit is a move under way.
type transit struct {
	move spare.Move
	ends int // second
}

// drive is one run of a load against a design.
type drive struct {
	plan    Plan
	site    site
	demand  *demand
	lender  *spare.Lender
	have    []int
	backlog []float64
	transit []transit
	sum     sums
}

// sums are the measures as they add up, in instance-seconds.
type sums struct {
	reserve, idle        float64
	asked, served        float64
	askedShift, servedUp float64
	moved                int
	out                  int // most moves at once
}

func newDrive(p Plan) (*drive, error) {
	st, err := siteOf(p.Site)
	if err != nil {
		return nil, err
	}
	dm, err := newDemand(st, p.Load, p.Seed, p.Length)
	if err != nil {
		return nil, err
	}
	d := &drive{plan: p, site: st, demand: dm, backlog: make([]float64, len(st.pools))}
	for _, q := range st.pools {
		n := q.size
		if q.spare {
			n = st.floor + p.Reserve
		}
		d.have = append(d.have, n)
	}
	return d, d.choose()
}

func (d *drive) choose() error {
	name := d.site.pools[len(d.site.pools)-1].name
	switch d.plan.Design {
	case designFixed:
		d.spread()
	case designEager:
		d.lender = spare.New(name, d.site.floor,
			spare.WithSmooth(0), spare.WithLead(0), spare.WithLoads(1, 1), spare.WithHold(0, 0))
	case designLend:
		d.lender = spare.New(name, d.site.floor)
	default:
		return fault.New(fault.Invalid, "flag -design: no design %q; known are lend, eager and fixed", d.plan.Design)
	}
	return nil
}

// spread puts the reserve into the pools for good.
func (d *drive) spread() {
	last := len(d.have) - 1
	d.have[last] = d.site.floor
	for i := range d.plan.Reserve {
		d.have[i%last]++
	}
}

func (d *drive) run() error {
	for second := range int(d.plan.Length.Seconds()) {
		if err := d.second(second); err != nil {
			return err
		}
	}
	return nil
}

func (d *drive) second(second int) error {
	if err := d.arrivals(second); err != nil {
		return err
	}
	asked, shifted := d.demand.at(second)
	for i := range asked {
		d.serve(i, asked[i], shifted[i])
	}
	d.sum.reserve += float64(d.plan.Reserve)
	d.sum.idle += float64(len(d.transit))
	if d.lender == nil {
		return nil
	}
	for i, p := range d.site.pools {
		e := spare.Observe{Pool: p.name, Have: d.have[i], Limit: p.limit, Asked: asked[i]}
		if err := d.apply(e, second); err != nil {
			return err
		}
	}
	return nil
}

// serve runs one second of a pool: what is asked joins the queue, what the queue can't hold
// until its deadline is refused.
func (d *drive) serve(i int, asked float64, shifted bool) {
	capacity := float64(d.have[i] - d.leaving(i))
	d.backlog[i] += asked
	done := min(d.backlog[i], capacity)
	d.backlog[i] = min(d.backlog[i]-done, queueHold*capacity)
	d.sum.asked += asked
	d.sum.served += done
	if shifted {
		d.sum.askedShift += asked
		d.sum.servedUp += done
	}
	own := float64(d.own(i))
	d.sum.idle += max(0, capacity-max(own, done))
}

// own returns the instances that the pool has without the reserve.
func (d *drive) own(i int) int {
	if d.site.pools[i].spare {
		return d.site.floor
	}
	return d.site.pools[i].size
}

func (d *drive) leaving(i int) int {
	n := 0
	for _, t := range d.transit {
		if t.move.From == d.site.pools[i].name {
			n++
		}
	}
	return n
}

func (d *drive) arrivals(second int) error {
	for len(d.transit) > 0 && d.transit[0].ends <= second {
		m := d.transit[0].move
		d.transit = d.transit[1:]
		for i, p := range d.site.pools {
			switch p.name {
			case m.From:
				d.have[i]--
			case m.To:
				d.have[i]++
			}
		}
		if err := d.apply(spare.Moved{From: m.From, To: m.To}, second); err != nil {
			return err
		}
	}
	return nil
}

func (d *drive) apply(ev spare.Event, second int) error {
	effects, err := d.lender.Apply(ev, time.Unix(int64(second), 0))
	if err != nil {
		return fault.Wrap(fault.KindOf(err), err, "apply %T in second %d", ev, second)
	}
	for _, f := range effects {
		if m, ok := f.(spare.Move); ok {
			d.transit = append(d.transit, transit{m, second + moveTakes})
			d.sum.moved++
		}
	}
	d.sum.out = max(d.sum.out, len(d.transit))
	return nil
}
