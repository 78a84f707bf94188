package app

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"gypsumlead/audit"
	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/lease"
	"gypsumlead/peer/wire"
	"gypsumlead/pool"
	"gypsumlead/record"
	"gypsumlead/spare"
)

const (
	moveTries   = 12               // steps that a move is tried before the lender starts anew
	demandStale = 30 * time.Second // age at which a silent entry's last answer counts no more
)

// lending lends the instances of one spare pool under its lease.
type lending struct {
	app    *App
	name   string
	tenure lease.Tenure
	lender *spare.Lender
	next   time.Time
	moves  []pendingMove
	asked  map[string]demand // by entry
}

// pendingMove is a move that was decided and not accepted yet.
type pendingMove struct {
	spare.Move
	tries int
}

// demand is what callers ask of each pool at one entry.
type demand struct {
	at    time.Time
	slots map[string]float64
}

func newLending(a *App, name string, t lease.Tenure) *lending {
	return &lending{app: a, name: name, tenure: t, asked: map[string]demand{}}
}

// step looks at every pool and carries out the moves that are due.
func (l *lending) step(ctx context.Context) error {
	now := time.Now()
	if now.Before(l.next) {
		return nil
	}
	l.next = now.Add(l.app.set.Lend.Step)
	if err := l.tenure.Check(); err != nil {
		return err
	}
	l.ask(ctx, now)
	if err := l.observe(now); err != nil {
		return err
	}
	return l.carryOut(ctx, now)
}

// ask asks every entry what callers ask of each pool; a silent one counts as it last answered.
func (l *lending) ask(ctx context.Context, now time.Time) {
	for _, in := range l.app.roster.Instances() {
		if in.Role != backing.RoleEntry || in.State != backing.StateLive {
			continue
		}
		one, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := l.app.peers.ask(one, in, &wire.Request{Body: &wire.Request_Load{Load: &wire.Load{}}})
		cancel()
		if err != nil {
			l.app.log.Debug("ask an entry for its load", zap.String("entry", in.ID), zap.Error(err))
			continue
		}
		d := demand{at: now, slots: map[string]float64{}}
		for _, p := range resp.GetLoaded().GetPools() {
			d.slots[p.GetPool()] = p.GetSlots()
		}
		l.asked[in.ID] = d
	}
	for id, d := range l.asked {
		if now.Sub(d.at) > demandStale {
			delete(l.asked, id)
		}
	}
}

// observe tells the lender of every pool, the spare pool first.
func (l *lending) observe(now time.Time) error {
	own, ok := l.pool(l.name)
	if !ok || !own.Spare {
		return nil // the record has changed; the lease follows
	}
	if l.lender == nil {
		set := l.app.set.Lend
		l.lender = spare.New(l.name, own.Floor, spare.WithSmooth(set.Smooth), spare.WithLead(set.Ahead), spare.WithHold(set.Sustain, set.Rest))
	}
	names := []string{l.name}
	for _, e := range l.app.state.List(record.KindPool) {
		if p, ok := l.pool(e.Name); ok && !p.Spare {
			names = append(names, e.Name)
		}
	}
	for _, name := range names {
		effects, err := l.lender.Apply(l.observation(name), now)
		if err != nil {
			return err
		}
		for _, e := range effects {
			if m, ok := e.(spare.Move); ok {
				l.moves = append(l.moves, pendingMove{Move: m})
			}
		}
	}
	return nil
}

func (l *lending) pool(name string) (record.Pool, bool) {
	return journal.Find[record.Pool](l.app.state, name)
}

// observation is a pool as the configuration, the roster and the entries show it.
func (l *lending) observation(name string) spare.Observe {
	p, _ := l.pool(name)
	o := spare.Observe{Pool: name, Limit: p.Budget.Out}
	for _, m := range l.members(name) {
		o.Have++
		if m.home == l.name {
			o.Lent++
		}
		if !m.well {
			o.Out++
		}
	}
	for _, d := range l.asked {
		o.Asked += d.slots[name] / float64(l.app.set.Runners.Slots)
	}
	return o
}

// lendable is a member of a pool as lending sees it.
type lendable struct {
	id   string
	home string
	well bool // listed, live, and not drained
}

func (l *lending) members(name string) []lendable {
	live := map[string]bool{}
	for _, t := range l.app.router.targets() {
		live[t.Instance.ID] = !t.Leaving
	}
	var out []lendable
	for e, m := range journal.Live[record.Member](l.app.state) {
		if m.Pool == name {
			out = append(out, lendable{id: e.Name, home: m.Home, well: live[e.Name]})
		}
	}
	return out
}

// carryOut tries each decided move; what is refused is tried again, and after too many tries the
// lender starts anew from what it observes.
func (l *lending) carryOut(ctx context.Context, now time.Time) error {
	var left []pendingMove
	for _, m := range l.moves {
		err := l.move(ctx, m.Move)
		if err == nil {
			if _, err := l.lender.Apply(spare.Moved{From: m.From, To: m.To}, now); err != nil {
				return err
			}
			continue
		}
		l.refused(ctx, m.Move, err)
		m.tries++
		left = append(left, m)
	}
	l.moves = left
	for _, m := range left {
		if m.tries >= moveTries {
			l.lender = nil
			l.moves = nil
			break
		}
	}
	return nil
}

// move proposes to move one instance, conditioned on the lease.
func (l *lending) move(ctx context.Context, m spare.Move) error {
	id, ok := l.candidate(m)
	if !ok {
		return fault.New(fault.Conflict, "pool %s has no instance that can go to %s now", m.From, m.To)
	}
	r := pool.Request{
		ID:    fmt.Sprintf("lend-%d-%s-%d", l.tenure.Epoch, id, l.app.state.Seq()),
		Actor: "lend@" + l.app.set.Instance,
		Why:   m.Why,
		View:  l.app.poolView(m.From, id),
	}
	p := pool.ProposeMove(r, pool.Transfer{Instance: id, From: m.From, To: m.To, Lend: m.From == l.name})
	decide := p.Decide
	p.Decide = func(rows journal.Rows) (journal.Decision, error) {
		d, err := decide(rows)
		d.Ops = append(d.Ops, l.tenure.Cond())
		return d, err
	}
	if err := l.tenure.Check(); err != nil {
		return err
	}
	c, err := l.app.writer.Accept(ctx, p)
	if err != nil {
		return err
	}
	l.app.spread.Accepted(c)
	return nil
}

// candidate picks a well member to move: any of the spare pool's own, or one that was lent.
func (l *lending) candidate(m spare.Move) (string, bool) {
	for _, one := range l.members(m.From) {
		if one.well && (m.From == l.name || one.home == l.name) {
			return one.id, true
		}
	}
	return "", false
}

// refused logs a move that wasn't accepted, and notes a decision against it in the audit trail.
func (l *lending) refused(ctx context.Context, m spare.Move, err error) {
	l.app.log.Info("lend an instance", zap.String("from", m.From), zap.String("to", m.To), zap.Error(err))
	k := fault.KindOf(err)
	if k != fault.Budget && k != fault.Conflict {
		return // nothing was decided
	}
	entry := audit.Entry{
		ID:       fmt.Sprintf("lend-%d-%s-%s-%d", l.tenure.Epoch, m.From, m.To, time.Now().UnixNano()),
		Actor:    "lend@" + l.app.set.Instance,
		Act:      "lend",
		Why:      m.Why,
		Refused:  k.String(),
		Subjects: []audit.Subject{{Kind: "pool", Name: m.From}, {Kind: "pool", Name: m.To}},
		Inputs:   audit.Facts("fault", err.Error()),
	}
	if err := l.app.trail.Refuse(ctx, entry); err != nil {
		l.app.log.Debug("note a refused move", zap.Error(err))
	}
}
