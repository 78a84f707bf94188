package app

import (
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/platform"
	"gypsumlead/pool"
)

// view is the roster as decisions about pools read it.
func (a *App) view() pool.View {
	return pool.NewView(a.roster.Instances(), a.roster.At(), a.set.Sync.Lag)
}

// move proposes to put an instance into a pool, or from one pool into another.
func (a *App) move(id, actor, why, instance, from, to string) journal.Proposal {
	r := pool.Request{ID: id, Actor: actor, Why: why, View: a.view()}
	p := a.proposeMove(r, instance, from, to)
	p.Digest = journal.Digest([]byte("move"), []byte(instance), []byte(from), []byte(to))
	return p
}

func (a *App) proposeMove(r pool.Request, instance, from, to string) journal.Proposal {
	if from != "" {
		return pool.ProposeMove(r, pool.Transfer{Instance: instance, From: from, To: to})
	}
	in, ok := r.View.Find(instance)
	if !ok || in.State == platform.StateGone {
		return refuse(r, fault.New(fault.Missing, "instance %s isn't in the platform's list", instance))
	}
	return pool.ProposeAssign(r, to, in)
}

// refuse is a proposal that is decided against.
func refuse(r pool.Request, err error) journal.Proposal {
	return journal.Proposal{ID: r.ID, Actor: r.Actor, Why: r.Why, Decide: func(journal.Rows) (journal.Decision, error) {
		return journal.Decision{}, err
	}}
}
