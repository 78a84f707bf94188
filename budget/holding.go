package budget

import (
	"time"

	"gypsumlead/work"
)

// scaledTTL is how long after a cap was lowered a leader uses a portion of the earlier cap, scaled down. By then all daemons
// in contact with the store have the lower cap, which what runs in other services may exceed.
const scaledTTL = 2 * time.Second

// Holding is the leader's side of the caps: the portions of one service's leader. It is not safe for concurrent use.
type Holding struct {
	service   string
	term      int
	caps      map[string]work.Resources // as configured, of the workspaces that have a cap
	sequences map[string]int64          // newest answer applied, by the service whose leader grants
	asked     string                    // service whose leader the newest report is for
	portions  map[string]Portion
	sent      time.Time // when the report that brought them was sent
	expiry    time.Time // of all portions
	changed   time.Time // when the caps changed
}

// NewHolding returns the Holding of a service's new leader, which has no portions.
func NewHolding(service string, term int) *Holding {
	return &Holding{service: service, term: term, sequences: map[string]int64{}}
}

// SetCaps sets the configured caps.
func (h *Holding) SetCaps(now time.Time, caps map[string]work.Resources) {
	h.caps, h.changed = caps, now
}

// Caps returns the configured caps.
func (h *Holding) Caps() map[string]work.Resources { return h.caps }

// Report returns the report for the granter, which is the leader of the given service.
func (h *Holding) Report(now time.Time, granter string, usage map[string]Usage) Report {
	h.asked = granter
	r := Report{Service: h.service, Term: h.term, Sequence: h.sequences[granter], Workspaces: map[string]Usage{}}
	for name, u := range usage {
		r.Workspaces[name] = u
	}
	for name, amount := range h.inEffect(now) {
		if amount != (work.Resources{}) {
			u := r.Workspaces[name]
			u.Portion = amount
			r.Workspaces[name] = u
		}
	}
	return r
}

// Apply applies the answer of a granter to a report that was sent at the given time. It returns false if the answer is
// outdated: a newer one was applied, or another granter was asked since.
func (h *Holding) Apply(granter string, sent time.Time, a Answer) bool {
	if granter != h.asked || a.Sequence <= h.sequences[granter] {
		return false
	}
	h.sequences[granter] = a.Sequence
	h.portions, h.sent, h.expiry = a.Portions, sent, sent.Add(PortionTTL)
	return true
}

// shrinkage is the part of a cap by which a portion has to shrink for its leader to confirm that at once: another service
// may wait for it.
const shrinkage = 16

// Shrinks reports whether an answer takes away a notable part of a cap, so that the leader is to confirm it at once.
func (h *Holding) Shrinks(a Answer) bool {
	for name, p := range h.portions {
		taken := p.Amount.Sub(a.Portions[name].Amount)
		limit := part(h.caps[name], shrinkage)
		if taken.CPU > limit.CPU || taken.Mem > limit.Mem || taken.GPU > limit.GPU {
			return true
		}
	}
	return false
}

// Expired reports whether the portions are no longer in effect.
func (h *Holding) Expired(now time.Time) bool { return !now.Before(h.expiry) }

// Scaled reports whether the caps have changed so lately that portions may be scaled down for a while.
func (h *Holding) Scaled(now time.Time) bool { return now.Sub(h.changed) < scaledTTL+ReportInterval }

// Allowances returns what each workspace with a portion may use in this service, with Unlimited for the resources that its
// cap doesn't limit.
func (h *Holding) Allowances(now time.Time) map[string]work.Resources {
	allowances := h.inEffect(now)
	for name, amount := range allowances {
		allowances[name] = Limit(amount, h.caps[name])
	}
	return allowances
}

// Portion returns the portion of a workspace as the granter sent it.
func (h *Holding) Portion(workspace string) (Portion, bool) {
	p, ok := h.portions[workspace]
	return p, ok
}

// inEffect returns the portions in effect, scaled down where this leader's configuration has a lower cap.
func (h *Holding) inEffect(now time.Time) map[string]work.Resources {
	list := map[string]work.Resources{}
	if h.Expired(now) {
		return list
	}
	for name, p := range h.portions {
		if own, ok := h.caps[name]; ok && (h.mayScale(now) || p.Cap.Fits(Limit(own, own))) {
			list[name] = limited(scale(p, own), own)
		}
	}
	return list
}

// mayScale reports whether portions of a higher cap than this leader's may be used, scaled down. A granter that still goes by
// a higher cap long after this leader's has changed has a later configuration.
func (h *Holding) mayScale(now time.Time) bool {
	until := h.changed.Add(scaledTTL)
	return now.Before(until) || !h.sent.Before(until)
}

// scale scales a portion down by the ratio of the leader's cap to the cap for which it was made.
func scale(p Portion, own work.Resources) work.Resources {
	ratio := func(own, made int64) float64 {
		if own >= made || made == 0 {
			return 1
		}
		return float64(own) / float64(made)
	}
	return work.Resources{
		CPU: int64(float64(p.Amount.CPU) * ratio(own.CPU, p.Cap.CPU)),
		Mem: int64(float64(p.Amount.Mem) * ratio(own.Mem, p.Cap.Mem)),
		GPU: int64(float64(p.Amount.GPU) * ratio(own.GPU, p.Cap.GPU)),
	}
}
