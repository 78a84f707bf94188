package budget

import (
	"slices"
	"strings"
	"time"

	"gypsumlead/work"
)

// maxSent limits the portions kept for one share while no answer is confirmed. Beyond it the two oldest count as one.
const maxSent = 16

// share returns a service's share of a workspace's cap.
func (g *Granter) share(name string, s *service) *share {
	if sh, ok := s.shares[name]; ok {
		return sh
	}
	w, ok := g.workspaces[name]
	if !ok {
		w = &workspace{}
		g.workspaces[name] = w
	}
	sh := &share{service: s}
	s.shares[name] = sh
	at, _ := slices.BinarySearchFunc(w.shares, s.name, func(sh *share, name string) int { return strings.Compare(sh.service.name, name) })
	w.shares = slices.Insert(w.shares, at, sh)
	return sh
}

// dropEmpty drops a share that holds nothing.
func (g *Granter) dropEmpty(name string, sh *share) {
	if sh.held == (work.Resources{}) && len(sh.sent) == 0 {
		g.drop(name, sh)
	}
}

// drop drops a share with all that it holds.
func (g *Granter) drop(name string, sh *share) {
	w := g.workspaces[name]
	w.held = w.held.Sub(sh.held)
	w.shares = slices.DeleteFunc(w.shares, func(other *share) bool { return other == sh })
	delete(sh.service.shares, name)
	if len(w.shares) == 0 {
		delete(g.workspaces, name)
	}
}

// grant returns the portion of a share for the answer that is being made, and records it as sent.
func (g *Granter) grant(now time.Time, name string, sh *share, settled bool) work.Resources {
	limit, w := g.caps[name], g.workspaces[name]
	amount := portionOf(now, limit, w.shares, sh)
	if !settled {
		amount = minOf(amount, sh.proven())
		if sh.service.confirmed == 0 {
			amount = sh.proven() // a new granter confirms what is reported
		}
	}
	room := limit.Sub(w.held).Add(sh.held) // what the other services don't hold
	amount = limited(positive(minOf(amount, room)), limit)
	sh.record(g.last, amount)
	g.recount(name, sh)
	sh.noteBlocked(now, limit, amount)
	return amount
}

// proven returns what the service certainly has of the cap, whatever other services hold. Unseen usage doesn't count: it is
// an upper bound, and the leader could use what turns out not to be in use while another service uses it.
func (sh *share) proven() work.Resources {
	amount := maxOf(sh.usage.Used, sh.usage.Portion)
	for _, p := range sh.sent {
		amount = maxOf(amount, p.amount)
	}
	return amount
}

// record adds a portion that is sent.
func (sh *share) record(sequence int64, amount work.Resources) {
	// An earlier portion that is nowhere larger makes no difference.
	sh.sent = slices.DeleteFunc(sh.sent, func(p sentPortion) bool { return p.sequence != sh.service.confirmed && p.amount.Fits(amount) })
	if amount != (work.Resources{}) {
		sh.sent = append(sh.sent, sentPortion{sequence, amount})
	}
	if len(sh.sent) > maxSent {
		sh.sent[1].amount = maxOf(sh.sent[0].amount, sh.sent[1].amount)
		sh.sent = slices.Delete(sh.sent, 0, 1)
	}
}

// noteBlocked records since when the portion hasn't sufficed for what is next to start.
func (sh *share) noteBlocked(now time.Time, limit, amount work.Resources) {
	if !sh.waits(limit) || limited(sh.base.Add(sh.usage.Next), limit).Fits(amount) {
		sh.blocked = time.Time{}
	} else if sh.blocked.IsZero() {
		sh.blocked = now
	}
}

// waits reports whether the share's service waits for quota that a cap can give.
func (sh *share) waits(limit work.Resources) bool {
	return sh.usage.Waiting != (work.Resources{}) && limited(sh.usage.Next, limit).Fits(limit)
}

// arrivals returns the jobs of a workspace per second that all services have accepted lately.
func (g *Granter) arrivals(name string) float64 {
	sum := 0.0
	if w, ok := g.workspaces[name]; ok {
		for _, sh := range w.shares {
			sum += sh.usage.Arrivals
		}
	}
	return sum
}

// WorkspaceState is what a Granter knows of one workspace.
type WorkspaceState struct {
	Name                        string
	Cap, Granted, Used, Waiting work.Resources
}

// States returns the capped workspaces that have or need quota, by name.
func (g *Granter) States() []WorkspaceState {
	var list []WorkspaceState
	for name, w := range g.workspaces {
		limit, ok := g.caps[name]
		if !ok {
			continue
		}
		state := WorkspaceState{Name: name, Cap: limit, Granted: limited(w.held, limit)}
		for _, sh := range w.shares {
			state.Used = state.Used.Add(sh.base)
			state.Waiting = state.Waiting.Add(sh.usage.Waiting)
		}
		list = append(list, state)
	}
	slices.SortFunc(list, func(a, b WorkspaceState) int { return strings.Compare(a.Name, b.Name) })
	return list
}
