package share

import (
	"time"

	"gypsumlead/fault"
)

// lendEvery is the time after which held-back slots are looked at again.
const lendEvery = 10 * time.Millisecond

// Pool shares the slots of one pool: never more started requests than slots, and none above
// a floor while another kind of work waits below its own.
type Pool struct {
	name      string
	opts      options
	slots     int
	total     int
	groups    []*group
	kinds     []*kind            // in the order of configuration, so that decisions repeat
	index     map[kindName]*kind // configured ones; the first of a service also under an empty work
	requests  map[uint64]*request
	running   int
	waiting   int
	at        time.Time // of the last event
	refreshed time.Time
	learnt    time.Duration // calm time in all
	started   int           // requests that the present event has started
	lent      int           // those of them above their floors
}

// New returns a pool without slots or services.
func New(name string, opts ...Option) *Pool {
	return &Pool{
		name:     name,
		opts:     applied(opts),
		index:    map[kindName]*kind{},
		requests: map[uint64]*request{},
	}
}

// Apply takes in an event and returns what has to be done; it depends on nothing but the
// pool's state, the event and now. An error of kind fault.Breach tells of a broken invariant.
func (p *Pool) Apply(ev Event, now time.Time) ([]Effect, error) {
	p.started, p.lent, p.at = 0, 0, now
	if now.Sub(p.refreshed) >= refreshEvery {
		p.refresh(now)
	}
	var out []Effect
	switch e := ev.(type) {
	case Arrive:
		out = p.arrive(e, now)
	case Finish:
		p.end(e.ID, now, true)
	case Cancel:
		p.end(e.ID, now, false)
	case Capacity:
		p.slots, p.total = max(0, e.Slots), max(e.Slots, e.Total)
		p.refresh(now)
	case Configure:
		out = p.configure(e, now)
	case Tick:
	}
	out = p.turnAway(out, now)
	out = p.fill(out, now)
	if a, ok := ev.(Arrive); ok && a.Full {
		out = p.refuseWaiting(out, a.ID, now)
	}
	return out, p.check()
}

func (p *Pool) arrive(e Arrive, now time.Time) []Effect {
	k := p.find(e.Service, e.Work)
	if k == nil {
		return []Effect{Refuse{ID: e.ID, Kind: fault.Missing}}
	}
	k.arrived++
	r := &request{id: e.ID, kind: k, deadline: e.Deadline}
	if !p.hopeful(r, now) {
		return []Effect{p.refusal(r, now)}
	}
	p.requests[r.id] = r
	k.queue.add(r)
	p.waiting++
	return nil
}

// refuseWaiting refuses a request that got no slot at once.
func (p *Pool) refuseWaiting(out []Effect, id uint64, now time.Time) []Effect {
	r, ok := p.requests[id]
	if !ok || !r.started.IsZero() {
		return out
	}
	p.drop(r)
	return append(out, p.refusal(r, now))
}

// hopeful tells whether r can wait in the queue and still end by its deadline.
func (p *Pool) hopeful(r *request, now time.Time) bool {
	k := r.kind
	if p.slots == 0 || !now.Before(k.hopeless(r)) {
		return false
	}
	if len(k.queue) == 0 {
		return true
	}
	if !p.roomFor(k) {
		return false
	}
	return !now.Add(k.wait()).After(k.hopeless(r))
}

// roomFor tells whether one more request of k may be queued. Half of the room is guaranteed
// by the floors; of the rest a kind takes no more than is left to the others (a dynamic
// threshold), so that a flood can't take the memory of their queues.
func (p *Pool) roomFor(k *kind) bool {
	waits := len(k.queue)
	own := int(float64(p.opts.perSlot) * k.floor / 2)
	return waits <= own || waits < p.opts.perSlot*p.slots-p.waiting
}

func (p *Pool) refusal(r *request, now time.Time) Refuse {
	why := fault.Overload
	if p.slots == 0 {
		why = fault.NoUpstream
	}
	r.kind.refused++
	return Refuse{ID: r.id, Kind: why, Retry: r.kind.book(r.id, now)}
}

// end forgets a request that finished or whose caller left.
func (p *Pool) end(id uint64, now time.Time, finished bool) {
	r, ok := p.requests[id]
	if !ok {
		return
	}
	if r.started.IsZero() {
		p.drop(r)
		return
	}
	delete(p.requests, id)
	k := r.kind
	k.accrue(now, p.opts.burst)
	k.running--
	k.group.running--
	p.running--
	if finished {
		k.measured(now.Sub(r.started))
	}
	if k.gone {
		p.prune()
	}
}

// drop forgets a waiting request.
func (p *Pool) drop(r *request) {
	delete(p.requests, r.id)
	r.kind.queue.remove(r)
	p.waiting--
}

// turnAway refuses the waiting requests that can no longer end by their deadlines.
func (p *Pool) turnAway(out []Effect, now time.Time) []Effect {
	if p.waiting == 0 {
		return out
	}
	for _, k := range p.kinds {
		for len(k.queue) > 0 {
			r := k.queue.first()
			if now.Before(k.hopeless(r)) && p.slots > 0 && !k.gone {
				break
			}
			p.drop(r)
			out = append(out, p.refusal(r, now))
		}
	}
	return out
}

// fill starts waiting requests while slots can be given out.
func (p *Pool) fill(out []Effect, now time.Time) []Effect {
	for k := p.next(now); k != nil; k = p.next(now) {
		r := k.queue.first()
		k.queue.remove(r)
		p.waiting--
		if !k.below(1) {
			p.lent++
		}
		r.started = now
		k.starts++
		k.running++
		k.group.running++
		p.running++
		p.started++
		out = append(out, Start{ID: r.id})
	}
	return out
}

// find returns the configured kind of work, or nil.
func (p *Pool) find(service, work string) *kind {
	return p.index[kindName{service, work}]
}

// part returns this entry's part of the pool's slots.
func (p *Pool) part() float64 {
	if p.total <= p.slots {
		return 1
	}
	return float64(p.slots) / float64(p.total)
}

// Next returns when the next Tick is due, or the zero time.
func (p *Pool) Next() time.Time {
	var next time.Time
	if p.waiting > 0 && p.running < p.slots {
		next = p.at.Add(lendEvery)
	}
	for _, k := range p.kinds {
		if len(k.queue) == 0 {
			continue
		}
		at := k.hopeless(k.queue.first())
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}
