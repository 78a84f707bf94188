package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"gypsumlead/leader"
	"gypsumlead/member"
	"gypsumlead/peer/wire"
	"gypsumlead/sleep"
	"gypsumlead/work"
)

// Repetition of tries to have a job stored. A caller whose daemon is cut off, or whose service is between two leaders,
// gains more by a short wait here than by a repeat at another daemon that is in the same state.
const (
	submitPatience   = 600 * time.Millisecond // a fifth of a caller's usual timeout
	resubmitInterval = 100 * time.Millisecond
)

// retryDelay is the delay after which a caller should retry if neither the leader nor the store has answered.
const retryDelay = time.Second

// Submit submits a job to the leader of its service, here or on another daemon. If the leader can't be reached, the
// job is handed off through the store. A try that was certainly not stored is repeated for up to submitPatience, of which the request
// has waited a part.
func (d *Daemon) Submit(ctx context.Context, id work.ID, q work.Queue, job work.Job, waited time.Duration) leader.Result {
	giveUpAt := d.now().Add(submitPatience - waited)
	seen := d.store.SeenVersion() // what is stored by then was there before this try
	for {
		result := d.submitOnce(ctx, id, q, job, seen)
		notStored := result.Verdict == leader.Unknown && result.Retry > 0
		if !notStored || ctx.Err() != nil || !d.now().Add(resubmitInterval).Before(giveUpAt) {
			return result
		}
		if result.Moved > 0 {
			q = d.newestTerms(ctx, q, result.Moved)
		}
		sleep.ForOrWake(ctx, resubmitInterval, nil)
	}
}

// newestTerms returns the terms of a queue by a version of the configuration that another daemon goes by, or by the newest that can
// be read now.
func (d *Daemon) newestTerms(ctx context.Context, q work.Queue, version int64) work.Queue {
	d.operatorState.CatchUp(ctx, version)
	for _, route := range d.operatorState.Config().Routes {
		if route.Queue.Same(q) {
			return route.Queue
		}
	}
	return q // its route was removed
}

// submitOnce tries once to have a job stored.
func (d *Daemon) submitOnce(ctx context.Context, id work.ID, q work.Queue, job work.Job, seen int64) leader.Result {
	if d.isIsolated() {
		return notStored(errIsolated)
	}
	mayBeStored := false // whether this try may have been stored without a confirmation
	if l := d.leaderOf(q.Service); l != nil {
		if err := d.storeLink.Check(ctx); err != nil {
			return notStored(err)
		}
		result := l.Submit(ctx, id, q, job, seen)
		if result.Verdict != leader.Unknown || ctx.Err() != nil {
			return result
		}
		mayBeStored = result.Retry == 0
	} else {
		result, delivered := d.relaySubmit(ctx, id, q, job, seen)
		if delivered == answered && result.Verdict != leader.Unknown {
			return result
		}
		mayBeStored = delivered == unconfirmed || (delivered == answered && result.Retry == 0)
	}
	result := d.handOff(ctx, id, q, job, seen)
	if mayBeStored {
		result.Retry = 0
	}
	return result
}

// handOff stores a job for the leader of its service, unless the store is silent.
func (d *Daemon) handOff(ctx context.Context, id work.ID, q work.Queue, job work.Job, seen int64) leader.Result {
	if err := d.storeLink.Check(ctx); err != nil {
		return notStored(err)
	}
	return d.handoff.Submit(ctx, id, q, job, seen)
}

// notStored returns the result of a job that was not sent anywhere. It is no refusal: an earlier try of the same job may
// have been stored by another daemon.
func notStored(err error) leader.Result {
	return leader.Result{Verdict: leader.Unknown, Retry: retryDelay, Why: err.Error()}
}

// relaySubmit relays a submission to the leader of the service, or to the daemon that is to become its leader.
func (d *Daemon) relaySubmit(ctx context.Context, id work.ID, q work.Queue, job work.Job, seen int64) (leader.Result, delivery) {
	queueJSON, err := json.Marshal(q)
	if err != nil {
		return notStored(err), notSent
	}
	jobJSON, err := json.Marshal(job)
	if err != nil {
		return notStored(err), notSent
	}
	r := &wire.Relay{Verb: wire.Relay_SUBMIT, Service: q.Service, Id: string(id), Queue: q.Name, Terms: queueJSON, Job: jobJSON, Seen: seen}
	if _, ok := d.members.Leader(q.Service); ok {
		result, delivered := d.relay(ctx, r)
		if result.Gate.Version != 0 {
			d.homes.Record(q, result.Gate.Version, result.Gate.Former)
		}
		return result, delivered
	}
	// The service has no leader. All daemons relay its jobs to the planned leader, which stores them in batches.
	n, ok := d.plannedLeader(q.Service)
	if !ok || n.Boot == d.boot {
		return leader.Result{}, notSent
	}
	r.Store = true
	return d.relayTo(ctx, n, r)
}

// plannedLeader returns the daemon that is to lead a service.
func (d *Daemon) plannedLeader(service string) (member.Node, bool) {
	live := d.members.Candidates()
	name := member.Assign(d.services(), live)[service]
	i := slices.IndexFunc(live, func(n member.Node) bool { return n.Name == name })
	if i < 0 {
		return member.Node{}, false
	}
	return live[i], true
}
