package app

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/backing"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
)

const lookTimeout = 2 * time.Second

// poolView looks up the newest signs of life of a pool's members, of all entries, and of some
// further instances. Where the platform doesn't answer the view is empty, and everything in it
// counts as out.
func (a *App) poolView(name string, further ...string) pool.View {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	ids := append(a.membersOf(name), further...)
	for _, in := range a.roster.Instances() {
		if in.Role == backing.RoleEntry {
			ids = append(ids, in.ID)
		}
	}
	at := time.Now()
	list, err := a.platform.Roster.Look(ctx, ids...)
	if err != nil {
		a.log.Debug("look at a pool's instances", zap.String("pool", name), zap.Error(err))
	}
	return pool.NewView(list, at, a.set.Sync.Lag)
}

// membersOf lists the instances of a pool by the configuration in force.
func (a *App) membersOf(name string) []string {
	var out []string
	for e, m := range journal.Live[record.Member](a.state) {
		if m.Pool == name {
			out = append(out, e.Name)
		}
	}
	return out
}

// move proposes to put an instance into a pool, or from one pool into another.
func (a *App) move(id, actor, why, instance, from, to string) journal.Proposal {
	r := pool.Request{ID: id, Actor: actor, Why: why, View: a.poolView(from, instance)}
	p := a.proposeMove(r, instance, from, to)
	p.Digest = journal.Digest([]byte("move"), []byte(instance), []byte(from), []byte(to))
	return p
}

func (a *App) proposeMove(r pool.Request, instance, from, to string) journal.Proposal {
	if from != "" {
		return pool.ProposeMove(r, pool.Transfer{Instance: instance, From: from, To: to})
	}
	in, ok := r.View.Find(instance)
	if !ok || in.State == backing.StateGone {
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
