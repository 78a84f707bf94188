package daemon

import (
	"context"
	"encoding/json"

	"gypsumlead/leader"
	"gypsumlead/peer/wire"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// State returns the state of a job from where it is stored: the configuration's service of its queue, or one that the queue was sent
// to before.
func (d *Daemon) State(ctx context.Context, id work.ID, q work.Queue, caller workspace.Caller) leader.Result {
	result := d.stateAt(ctx, id, q.Service, caller)
	if result.Verdict != leader.Absent {
		return result
	}
	return d.askElsewhere(ctx, q, func(service string) leader.Result { return d.stateAt(ctx, id, service, caller) })
}

// stateAt returns the state of a job from the leader of a service, or from the store if the leader doesn't know it.
func (d *Daemon) stateAt(ctx context.Context, id work.ID, service string, caller workspace.Caller) leader.Result {
	result, delivered := d.askState(ctx, id, service, caller)
	if delivered == answered && result.Verdict == leader.Accepted {
		return result
	}
	stored, err := leader.StoredState(ctx, d.store, service, id, caller)
	if err != nil {
		return leader.Result{Verdict: leader.Refused, Retry: retryDelay, Why: err.Error()}
	}
	if stored.Verdict == leader.Absent && delivered == answered && result.Verdict == leader.Unknown {
		return leader.Result{Verdict: leader.Refused, Retry: retryDelay, Why: result.Why} // the leader is storing the job
	}
	return stored
}

// askState asks the leader of a service for the state of a job.
func (d *Daemon) askState(ctx context.Context, id work.ID, service string, caller workspace.Caller) (leader.Result, delivery) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if l := d.leaderOf(service); l != nil {
		return l.State(ctx, id, caller), answered
	}
	return d.relay(ctx, &wire.Relay{Verb: wire.Relay_STATE, Service: service, Id: string(id), Workspace: caller.Workspace, Any: caller.Any})
}

// askElsewhere asks the other services that may have jobs of a queue, until one of them knows the job.
func (d *Daemon) askElsewhere(ctx context.Context, q work.Queue, ask func(service string) leader.Result) leader.Result {
	services, err := d.homes.Services(ctx, q.Key())
	if err != nil {
		return notStored(err)
	}
	for _, service := range services {
		if service == q.Service {
			continue
		}
		if result := ask(service); result.Verdict != leader.Absent {
			return result
		}
	}
	return leader.Result{Verdict: leader.Absent}
}

// Pending returns the number of a queue's jobs that haven't started, in all services that have some.
func (d *Daemon) Pending(ctx context.Context, q work.Queue) leader.Result {
	result := d.pendingAt(ctx, q, q.Service)
	for _, service := range result.Former {
		if result.Verdict != leader.Accepted {
			break
		}
		former := d.pendingAt(ctx, q, service)
		former.Pending += result.Pending
		result = former
	}
	return result
}

// pendingAt returns the number of a queue's jobs in one service that haven't started.
func (d *Daemon) pendingAt(ctx context.Context, q work.Queue, service string) leader.Result {
	if l := d.leaderOf(service); l != nil {
		return l.Pending(ctx, q)
	}
	terms, err := json.Marshal(q)
	if err != nil {
		return notStored(err)
	}
	result, delivered := d.relay(ctx, &wire.Relay{Verb: wire.Relay_PENDING, Service: service, Queue: q.Name, Terms: terms})
	if delivered != answered {
		return leader.Result{Verdict: leader.Refused, Retry: retryDelay, Why: "nobody is known to schedule the service"}
	}
	return result
}
