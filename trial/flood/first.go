package flood

import (
	"time"

	"gypsumlead/fault"
	"gypsumlead/share"
)

const (
	queuedPerSlot = 64 // the same bound as package share has
	firstRetry    = time.Second
)

// first is the baseline without shares: one queue, first come, first served; requests whose
// deadline has passed are refused.
type first struct {
	slots   int
	running map[uint64]bool
	queue   []share.Arrive
}

func newFirst(slots int) *first {
	return &first{slots: slots, running: map[uint64]bool{}}
}

// Apply takes in an event.
func (f *first) Apply(ev share.Event, now time.Time) ([]share.Effect, error) {
	switch e := ev.(type) {
	case share.Arrive:
		if len(f.queue) >= f.slots*queuedPerSlot {
			return []share.Effect{refuse(e.ID)}, nil
		}
		f.queue = append(f.queue, e)
	case share.Finish:
		delete(f.running, e.ID)
	}
	return f.fill(now), nil
}

func (f *first) fill(now time.Time) []share.Effect {
	var out []share.Effect
	for len(f.queue) > 0 && len(f.running) < f.slots {
		e := f.queue[0]
		f.queue = f.queue[1:]
		if !now.Before(e.Deadline) {
			out = append(out, refuse(e.ID))
			continue
		}
		f.running[e.ID] = true
		out = append(out, share.Start{ID: e.ID})
	}
	return out
}

// Next returns the zero time: this design acts on arrivals and ends only.
func (f *first) Next() time.Time { return time.Time{} }

func refuse(id uint64) share.Refuse {
	return share.Refuse{ID: id, Kind: fault.Overload, Retry: firstRetry}
}
