package wave

import (
	"slices"
	"time"

	"gypsumlead/fault"
)

// Event is something that happened to an instance of a part.
type Event interface{ instance() string }

// Joined says that a further instance of the pool belongs to the wave.
type Joined struct{ Instance string }

// Took says that the instance's boot was taken, in the change Seq that drains it.
type Took struct {
	Instance, Boot string
	Seq            int64
}

// Told says that the platform knows of the drain too.
type Told struct{ Instance string }

// Quieted says that every entry has the drain in force and nothing in progress.
type Quieted struct{ Instance string }

// Waited says what keeps the instance in its state.
type Waited struct{ Instance, Why string }

// Rebooted says that the platform took the request to reboot, or has another boot already.
type Rebooted struct{ Instance string }

// Overran says that the instance didn't come back within the bound.
type Overran struct{ Instance string }

// Came says that the instance is seen well under a new boot.
type Came struct{ Instance string }

// Left says that the wave has nothing more to do with the instance.
type Left struct{ Instance, Why string }

func (e Joined) instance() string   { return e.Instance }
func (e Took) instance() string     { return e.Instance }
func (e Told) instance() string     { return e.Instance }
func (e Quieted) instance() string  { return e.Instance }
func (e Waited) instance() string   { return e.Instance }
func (e Rebooted) instance() string { return e.Instance }
func (e Overran) instance() string  { return e.Instance }
func (e Came) instance() string     { return e.Instance }
func (e Left) instance() string     { return e.Instance }

// Apply returns the part after e; an event that the state machine doesn't allow is fault.Breach.
func (p Part) Apply(e Event, now time.Time) (Part, error) {
	i, ok := p.find(e.instance())
	p.Items = slices.Clone(p.Items)
	if _, joins := e.(Joined); joins {
		if !ok {
			p.Items = slices.Insert(p.Items, i, Item{Instance: e.instance(), State: Dropped})
		}
		it, err := p.Items[i].become(Queued, "", now)
		p.Items[i] = it
		return p, err
	}
	if !ok {
		return p, fault.New(fault.Breach, "wave %s has no instance %s", p.Wave, e.instance())
	}
	it, err := p.Items[i].apply(e, now)
	p.Items[i] = it
	return p, err
}

func (it Item) apply(e Event, now time.Time) (Item, error) {
	switch e := e.(type) {
	case Took:
		it.Boot = e.Boot
		it.Seq = e.Seq
		return it.become(Taken, "", now)
	case Told:
		return it.become(Draining, "", now)
	case Quieted:
		return it.become(Quiet, "", now)
	case Waited:
		it.Why = e.Why
		return it, nil
	case Rebooted:
		return it.become(Rebooting, "", now)
	case Overran:
		return it.become(Late, "", now)
	case Came:
		return it.become(Returned, "", now)
	case Left:
		return it.become(Dropped, e.Why, now)
	}
	return it, fault.New(fault.Breach, "instance %s: event %T is unknown", it.Instance, e)
}

func (it Item) become(s State, why string, now time.Time) (Item, error) {
	if !it.State.CanBecome(s) {
		return it, fault.New(fault.Breach, "instance %s can't go from %s to %s", it.Instance, it.State, s)
	}
	it.State = s
	it.Since = now
	it.Why = why
	return it, nil
}
