package budget

import (
	"time"

	"gypsumlead/work"
)

// TermShift separates the sequence numbers of successive granters: the term of the granter is in the high bits.
const TermShift = 40

// Granter splits the caps over the services. Its state is rebuilt from reports. It is not safe for concurrent use.
//
// Its invariant: what it counts as held by all services together doesn't exceed a cap because of a portion that it
// sends. A leader may use what its newest answer brought, and which answers arrive is unknown; so every portion sent
// since the answer that the leader has confirmed counts as held.
type Granter struct {
	first      int64         // sequence numbers up to this one are of earlier granters
	settledAt  time.Time     // from then on no earlier granter answers
	silence    time.Duration // a service without a leader for this long has no runs
	started    time.Time
	caps       map[string]work.Resources
	configured []string
	services   map[string]*service
	workspaces map[string]*workspace
	last       int64 // sequence number of the newest answer
	deposed    bool  // a leader has applied an answer of a later granter
}

// service is what a Granter knows of one service.
type service struct {
	name      string
	term      int
	heard     time.Time // when its leader last reported
	alive     time.Time // when it was last known to have a leader
	reported  bool
	sequence  int64 // in its newest report
	confirmed int64 // newest answer of this granter that its leader has confirmed in its term
	shares    map[string]*share
}

// share is what one service holds of one workspace's cap.
type share struct {
	service *service
	usage   Usage
	base    work.Resources // used and unseen; the most of the reports that confirm the same answer
	want    work.Resources // base and what waits
	sent    []sentPortion  // since the confirmed answer, that one included
	held    work.Resources
	active  time.Time // when it was last used or waited for
	blocked time.Time // since when the portion hasn't sufficed for what is next to start
}

// sentPortion is a portion in an answer.
type sentPortion struct {
	sequence int64
	amount   work.Resources
}

// workspace is what a Granter knows of one workspace.
type workspace struct {
	shares []*share // of the services that hold or need any, by service
	held   work.Resources
}

// NewGranter returns the granter of a term of leadership that began age ago. No earlier granter answers after settle, and
// after silence nothing runs in a service that has no leader.
func NewGranter(now time.Time, term int, age, settle, silence time.Duration) *Granter {
	// A daemon may become the granter twice in one term, if the service to whose leader this falls changes and changes
	// back. A granter sends fewer than 10,000 answers a second, so the later one's numbers are higher.
	first := int64(term)<<TermShift + age.Microseconds()/100
	return &Granter{
		first: first, last: first, started: now, settledAt: now.Add(settle), silence: silence,
		services: map[string]*service{}, workspaces: map[string]*workspace{},
	}
}

// Configure sets the caps of the workspaces that have one, and the configured services.
func (g *Granter) Configure(caps map[string]work.Resources, services []string) {
	g.caps, g.configured = caps, services
}

// Alive records that a service has a leader, whether or not that has reported.
func (g *Granter) Alive(now time.Time, name string) { g.service(name).alive = now }

// service returns what is known of a service.
func (g *Granter) service(name string) *service {
	s, ok := g.services[name]
	if !ok {
		s = &service{name: name, shares: map[string]*share{}}
		g.services[name] = s
	}
	return s
}

// Handle applies a report and returns the answer. It returns false if the report is outdated, or if there is a later
// granter.
func (g *Granter) Handle(now time.Time, r Report) (Answer, bool) {
	if !g.accept(now, r) {
		return Answer{}, false
	}
	s := g.services[r.Service]
	g.forgetGone(now)
	g.last++
	a := Answer{Sequence: g.last, Portions: map[string]Portion{}}
	settled := g.settled(now)
	for name := range r.Workspaces {
		p := Portion{Cap: g.caps[name], Arrivals: g.arrivals(name)}
		if p.Cap != (work.Resources{}) {
			p.Amount = g.grant(now, name, s.shares[name], settled)
		}
		if p.Amount != (work.Resources{}) || p.Arrivals > 0 {
			a.Portions[name] = p
		}
	}
	return a, true
}

// Deposed reports whether a leader has applied an answer of a later granter. This one answers no report any more.
func (g *Granter) Deposed() bool { return g.deposed }

// accept records a report. It returns false for a report that is outdated.
func (g *Granter) accept(now time.Time, r Report) bool {
	s := g.service(r.Service)
	if r.Sequence > g.last {
		g.deposed = true
	}
	if g.deposed || r.Term < s.term || (r.Term == s.term && r.Sequence < s.confirmed) {
		return false
	}
	repeated := r.Term == s.term && r.Sequence == s.sequence && s.reported
	if r.Term > s.term {
		s.term, s.confirmed = r.Term, 0
		for _, sh := range s.shares {
			sh.sent = nil // its former leader is fenced; what that may have started is in the new one's report
		}
	}
	if r.Sequence > g.first {
		s.confirmed = r.Sequence
	}
	s.heard, s.reported, s.sequence = now, true, r.Sequence
	for name, u := range r.Workspaces {
		sh := g.share(name, s)
		g.update(now, name, sh, u, repeated)
	}
	for name, sh := range s.shares {
		if _, ok := r.Workspaces[name]; !ok {
			g.update(now, name, sh, Usage{}, repeated)
			g.dropEmpty(name, sh)
		}
	}
	return true
}

// update applies what a report says of one workspace. repeated states that an earlier report has confirmed the same
// answer; reports may overtake each other, so the larger usage counts.
func (g *Granter) update(now time.Time, name string, sh *share, u Usage, repeated bool) {
	base := u.Used.Add(u.Unseen)
	if repeated {
		base = maxOf(base, sh.base)
	}
	sh.usage, sh.base, sh.want = u, base, base
	if sh.waits(g.caps[name]) {
		sh.want = base.Add(maxOf(u.Waiting, u.Next))
	}
	if u.Used != (work.Resources{}) || u.Unseen != (work.Resources{}) || u.Waiting != (work.Resources{}) {
		sh.active = now
	}
	if u.Waiting == (work.Resources{}) {
		sh.blocked = time.Time{}
	}
	kept := sh.sent[:0]
	for _, p := range sh.sent {
		if p.sequence >= sh.service.confirmed {
			kept = append(kept, p)
		}
	}
	sh.sent = kept
	g.recount(name, sh)
}

// recount recomputes what a share holds.
func (g *Granter) recount(name string, sh *share) {
	held := maxOf(sh.base, sh.usage.Portion)
	for _, p := range sh.sent {
		held = maxOf(held, p.amount)
	}
	w := g.workspaces[name]
	w.held = w.held.Sub(sh.held).Add(held)
	sh.held = held
}

// settled reports whether free quota may be distributed: what every service may hold is known.
func (g *Granter) settled(now time.Time) bool {
	for _, name := range g.configured {
		if s := g.service(name); !s.reported && now.Sub(later(s.alive, g.started)) <= g.silence {
			return false
		}
	}
	if !now.Before(g.settledAt) {
		return true
	}
	for _, s := range g.services {
		// Until its leader confirms an answer of this granter, it may still apply an earlier granter's.
		if s.reported && s.confirmed == 0 {
			return false
		}
	}
	return true
}

// forgetGone drops services that left the configuration and have been without a leader for so long that they have no runs.
func (g *Granter) forgetGone(now time.Time) {
	if len(g.services) <= len(g.configured) {
		return
	}
	configured := map[string]bool{}
	for _, name := range g.configured {
		configured[name] = true
	}
	for name, s := range g.services {
		if configured[name] || now.Sub(later(s.heard, s.alive)) <= g.silence {
			continue
		}
		for workspace, sh := range s.shares {
			g.drop(workspace, sh)
		}
		delete(g.services, name)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
