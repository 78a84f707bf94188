package roster

import (
	"sync"
	"time"

	"gypsumlead/backing"
)

// Roster is the newest list with leaving made sticky: a boot of an instance that was once said
// to be leaving never counts as live again, whatever a lagging list says.
type Roster struct {
	mu      sync.RWMutex
	list    []backing.Instance
	marked  []backing.Instance // list with leaving marked; replaced, never altered
	at      time.Time
	left    map[string]string // newest boot of each instance known to be leaving
	changed func()
	learned func(id, boot string)
}

// Option changes a Roster under construction.
type Option func(*Roster)

// WithChanged sets what is called, outside the lock, after the roster changed.
func WithChanged(f func()) Option {
	return func(r *Roster) { r.changed = f }
}

// WithLearned sets what is called, outside the lock, when a boot becomes known to be leaving.
func WithLearned(f func(id, boot string)) Option {
	return func(r *Roster) { r.learned = f }
}

// New returns an empty roster.
func New(opts ...Option) *Roster {
	r := &Roster{
		left:    map[string]string{},
		changed: func() {},
		learned: func(string, string) {},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Update takes the platform's list as it stood at an instant; an older list than the one held is ignored.
func (r *Roster) Update(list []backing.Instance, at time.Time) {
	fresh, ok := r.replace(list, at)
	if !ok {
		return
	}
	for _, in := range fresh {
		r.learned(in.ID, in.Boot)
	}
	r.changed()
}

// replace swaps the list and returns the instances that are newly known to be leaving.
func (r *Roster) replace(list []backing.Instance, at time.Time) ([]backing.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.at) {
		return nil, false
	}
	var fresh []backing.Instance
	known := make(map[string]bool, len(list))
	for _, in := range list {
		known[in.ID] = true
		// A boot that is gone may be one that is still coming up, so it isn't remembered.
		if in.State == backing.StateLeaving && r.left[in.ID] != in.Boot {
			r.left[in.ID] = in.Boot
			fresh = append(fresh, in)
		}
	}
	for id := range r.left {
		if !known[id] {
			delete(r.left, id)
		}
	}
	r.list = list
	r.at = at
	r.mark()
	return fresh, true
}

// Leave notes that a boot of an instance is leaving, and tells whether that was news.
func (r *Roster) Leave(id, boot string) bool {
	r.mu.Lock()
	news := r.left[id] != boot
	r.left[id] = boot
	if news {
		r.mark()
	}
	r.mu.Unlock()
	if news {
		r.learned(id, boot)
		r.changed()
	}
	return news
}

// Instances returns the list, with every boot that is known to be leaving marked so; it must not
// be changed.
func (r *Roster) Instances() []backing.Instance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.marked
}

// mark makes the list that is handed out; the lock is held.
func (r *Roster) mark() {
	out := make([]backing.Instance, len(r.list))
	for i, in := range r.list {
		if in.State == backing.StateLive && r.left[in.ID] == in.Boot {
			in.State = backing.StateLeaving
		}
		out[i] = in
	}
	r.marked = out
}

// At returns when the list was taken; it is zero before the first.
func (r *Roster) At() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.at
}
