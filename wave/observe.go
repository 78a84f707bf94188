package wave

import (
	"time"

	"gypsumlead/backing"
	"gypsumlead/pool"
	"gypsumlead/record"
)

// Observe returns what the pool's row and the platform's list say of the part's instances:
// which joined, came back, are late, or left.
func (p Part) Observe(rec record.Wave, s pool.State, v pool.View, l Limits, now time.Time) []Event {
	var events []Event
	for _, it := range p.Items {
		if e := p.observe(it, rec, s, v, l, now); e != nil {
			events = append(events, e)
		}
	}
	if rec.Cancelled || !rec.Covers(p.Pool) {
		return events
	}
	for _, m := range s.Members {
		if p.misses(m, v) && rec.Holds(m.ID, m.Rack) {
			events = append(events, Joined{m.ID})
		}
	}
	return events
}

func (p Part) observe(it Item, rec record.Wave, s pool.State, v pool.View, l Limits, now time.Time) Event {
	if it.State.IsFinal() {
		return nil
	}
	if _, ok := s.Member(it.Instance); !ok {
		return Left{it.Instance, "no longer in the pool"}
	}
	if it.State == Queued {
		m, _ := s.Member(it.Instance)
		return p.observeQueued(m, rec, v)
	}
	t, mine := p.takeOf(s, it.Instance)
	if !mine {
		return Left{it.Instance, "released by an operator"}
	}
	if _, back := pool.Back(t, v, now); back {
		return Came{it.Instance}
	}
	if it.State == Rebooting && now.Sub(it.Since) > l.Patience {
		return Overran{it.Instance}
	}
	return nil
}

func (p Part) observeQueued(m pool.Member, rec record.Wave, v pool.View) Event {
	if rec.Cancelled {
		return Left{m.ID, "wave cancelled"}
	}
	if !rec.Covers(p.Pool) || !rec.Holds(m.ID, m.Rack) {
		return Left{m.ID, "no longer in the wave"}
	}
	if in, ok := v.Find(m.ID); ok && in.State == backing.StateGone {
		return Left{m.ID, "gone from the platform"}
	}
	return nil
}

// misses tells whether the member should be in the part and isn't, for it is new or moved here.
func (p Part) misses(m pool.Member, v pool.View) bool {
	in, _ := v.Find(m.ID)
	if m.Done == p.Wave || in.State == backing.StateGone {
		return false
	}
	it, ok := p.Item(m.ID)
	return !ok || it.State == Dropped
}
