package daemon

import (
	"context"
	"encoding/json"

	"gypsumlead/leader"
	"gypsumlead/peer/wire"
	"gypsumlead/sleep"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// Cancel cancels a job where it is stored: by the configuration's service of its queue, or by one that the queue was sent to before. It
// is absent only once nothing of it that may still arrive can be stored. An attempt that did nothing is repeated for up to
// submitPatience.
func (d *Daemon) Cancel(ctx context.Context, id work.ID, q work.Queue, caller workspace.Caller) leader.Result {
	if !id.Valid() {
		return leader.Result{Verdict: leader.Absent} // nobody can submit it
	}
	giveUpAt := d.now().Add(submitPatience)
	for {
		result := d.cancelOnce(ctx, id, q, caller)
		nothingDone := result.Verdict == leader.Unknown && result.Retry > 0
		if !nothingDone || ctx.Err() != nil || !d.now().Add(resubmitInterval).Before(giveUpAt) {
			return result
		}
		if result.Moved > 0 {
			q = d.newestTerms(ctx, q, result.Moved)
		}
		sleep.ForOrWake(ctx, resubmitInterval, nil)
	}
}

// cancelOnce tries once to cancel a job: through the leader of its queue's service, or through the store if the leader doesn't settle
// it.
func (d *Daemon) cancelOnce(ctx context.Context, id work.ID, q work.Queue, caller workspace.Caller) leader.Result {
	result, delivered := d.askToCancel(ctx, id, q.Service, q, caller)
	if delivered != answered || !settled(result) {
		if err := d.storeLink.Check(ctx); err != nil {
			return notStored(err)
		}
		result = d.handoff.Cancel(ctx, id, q, caller)
	}
	if result.Service == "" {
		return result
	}
	return d.cancelFormer(ctx, id, result.Service, caller)
}

// settled reports whether a leader's answer to a cancellation needs no look into the store: the job is cancelled, can't be stored any
// more, or is another service's; or this configuration is too old.
func settled(r leader.Result) bool {
	return r.Verdict == leader.Accepted || r.Final || r.Service != "" || r.Moved > 0
}

// askToCancel asks the leader of a service to cancel a job. The queue is the zero value if it is sent to another service.
func (d *Daemon) askToCancel(ctx context.Context, id work.ID, service string, q work.Queue, caller workspace.Caller) (leader.Result, delivery) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if l := d.leaderOf(service); l != nil {
		return l.Cancel(ctx, id, q, caller), answered
	}
	r := &wire.Relay{Verb: wire.Relay_CANCEL, Service: service, Id: string(id), Workspace: caller.Workspace, Any: caller.Any}
	if q.Service != "" {
		terms, err := json.Marshal(q)
		if err != nil {
			return notStored(err), notSent
		}
		r.Terms = terms
	}
	return d.relay(ctx, r)
}

// cancelFormer cancels a job that a service has which its queue was sent to before.
func (d *Daemon) cancelFormer(ctx context.Context, id work.ID, service string, caller workspace.Caller) leader.Result {
	result, delivered := d.askToCancel(ctx, id, service, work.Queue{}, caller)
	if delivered == answered && result.Verdict == leader.Accepted {
		return result
	}
	result, err := leader.CancelStored(ctx, d.store, service, id, caller)
	switch {
	case err != nil:
		return leader.Result{Verdict: leader.Unknown, Why: err.Error()}
	case result.Verdict == leader.Absent:
		return leader.Result{Verdict: leader.Unknown, Retry: retryDelay, Why: "the job has been removed meanwhile"}
	}
	return result
}
