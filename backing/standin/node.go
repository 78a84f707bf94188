package standin

import (
	"slices"
	"time"

	"gypsumlead/backing"
)

// node is one instance, with the states of it that the list hasn't shown yet.
type node struct {
	backing.Worker

	self  bool // beats by itself
	dead  bool
	boots int
	upAt  time.Time // end of a reboot; zero when up
	prior string    // boot before the last reboot
	past  []backing.Worker
	shown []time.Time // when each of past came about
	bad   time.Duration
	epoch map[string]int64 // highest fencing epoch seen for each job
	tasks []*task          // in the order they were started
}

// note remembers the instance's present state until the list has shown it.
func (n *node) note(at time.Time) {
	w := n.Worker
	if !n.upAt.IsZero() {
		w.Boot = n.prior
	}
	n.past = append(n.past, w)
	n.shown = append(n.shown, at)
}

// at returns the instance's state of the instant cut and forgets older ones.
func (n *node) at(cut time.Time) (backing.Worker, bool) {
	i := 0
	for i < len(n.past) && !n.shown[i].After(cut) {
		i++
	}
	if i == 0 {
		return backing.Worker{}, false
	}
	n.past = slices.Delete(n.past, 0, i-1)
	n.shown = slices.Delete(n.shown, 0, i-1)
	w := n.past[0]
	up := n.upAt.IsZero() || len(n.past) > 1
	if !n.self || !up || w.State == backing.StateGone {
		return w, true
	}
	if n.dead && n.Seen.Before(cut) {
		cut = n.Seen
	}
	if cut.After(w.Seen) {
		w.Seen = cut
	}
	return w, true
}
