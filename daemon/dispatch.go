package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/home"
	"gypsumlead/leader"
	"gypsumlead/member"
	"gypsumlead/peer"
	"gypsumlead/peer/wire"
	"gypsumlead/sleep"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// relayTimeout limits a request to the leader of a service. After it, the request is carried out through the
// store, without the leader.
const relayTimeout = 1500 * time.Millisecond

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

// delivery is what is known about the delivery of a request to another daemon.
type delivery int

const (
	notSent     delivery = iota // the request was not sent, or the other daemon didn't carry it out
	unconfirmed                 // the request may have arrived
	answered                    // the request was answered
)

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

// relay sends a request to the leader of its service on another daemon.
func (d *Daemon) relay(ctx context.Context, r *wire.Relay) (leader.Result, delivery) {
	n, ok := d.members.Leader(r.Service)
	if !ok || n.Boot == d.boot {
		return leader.Result{}, notSent
	}
	return d.relayTo(ctx, n, r)
}

// relayTo sends a request to one daemon, unless that is silent: whether it arrived would stay unknown.
func (d *Daemon) relayTo(ctx context.Context, n member.Node, r *wire.Relay) (leader.Result, delivery) {
	if err := d.mesh.Check(ctx, n.Name); err != nil {
		d.log.Info("request not relayed", zap.String("holder", n.Name), zap.String("service", r.Service), zap.Error(err))
		return leader.Result{}, notSent
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	r.Wait = relayTimeout.Milliseconds()
	resp, err := d.mesh.Call(ctx, n.Name, &wire.Request{Body: &wire.Request_Relay{Relay: r}})
	if err != nil {
		d.log.Info("failed to relay request", zap.String("holder", n.Name), zap.String("service", r.Service), zap.Error(err))
		if fault.Is(err, fault.NoUpstream) {
			return leader.Result{}, notSent
		}
		return leader.Result{}, unconfirmed
	}
	relayed := resp.GetRelayed()
	if relayed == nil || !relayed.Held {
		return leader.Result{}, notSent
	}
	verdict := leader.Verdict(relayed.Verdict)
	if relayed.Gone {
		verdict = leader.Withdrawn
	}
	return leader.Result{
		Verdict: verdict,
		Full:    relayed.Full,
		Retry:   time.Duration(relayed.Retry) * time.Millisecond,
		State:   work.State(relayed.State),
		Pending: int(relayed.Pending),
		Why:     relayed.Why,
		Moved:   relayed.Moved,
		Service: relayed.Service,
		Final:   relayed.Final,
		Former:  relayed.Former,
		Gate:    home.Gate{Version: relayed.Gate, Former: relayed.Former},
	}, answered
}

// ServePeer answers another daemon's request.
func (d *Daemon) ServePeer(ctx context.Context, _ peer.Identity, req *wire.Request) (*wire.Response, error) {
	switch body := req.Body.(type) {
	case *wire.Request_Ping:
		return &wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{}}}, nil
	case *wire.Request_Report:
		return d.handleReport(body.Report), nil
	case *wire.Request_Usage:
		return d.handleUsage(body.Usage), nil
	case *wire.Request_StoreCall:
		return d.handleStoreCall(ctx, body.StoreCall)
	case *wire.Request_Relay:
		result, led, err := d.handleRelay(ctx, body.Relay)
		if err != nil {
			return nil, err
		}
		return &wire.Response{Body: &wire.Response_Relayed{Relayed: &wire.Relayed{
			Held:    led,
			Verdict: verdictOnWire(result.Verdict),
			Gone:    result.Verdict == leader.Withdrawn,
			Service: result.Service,
			Final:   result.Final,
			Full:    result.Full,
			Retry:   result.Retry.Milliseconds(),
			State:   string(result.State),
			Pending: int64(result.Pending),
			Why:     result.Why,
			Moved:   result.Moved,
			Former:  append(result.Former, result.Gate.Former...),
			Gate:    result.Gate.Version,
		}}}, nil
	}
	return nil, fault.New(fault.Invalid, "unknown request of a peer")
}

// verdictOnWire returns a verdict as daemons of earlier releases understand it.
func verdictOnWire(v leader.Verdict) int32 {
	if v == leader.Withdrawn {
		v = leader.Unknown
	}
	return int32(v)
}

// handleRelay carries out a request relayed by another daemon. The bool is false if this daemon doesn't lead the
// service, so that nothing was done.
func (d *Daemon) handleRelay(ctx context.Context, r *wire.Relay) (leader.Result, bool, error) {
	l := d.leaderOf(r.Service)
	if l == nil && !(r.Store && r.Verb == wire.Relay_SUBMIT) {
		return leader.Result{}, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Wait)*time.Millisecond)
	defer cancel()
	id, caller := work.ID(r.Id), workspace.Caller{Workspace: r.Workspace, Any: r.Any}
	q, err := d.relayedQueue(ctx, r)
	if err != nil {
		return leader.Result{}, true, err
	}
	switch r.Verb {
	case wire.Relay_SUBMIT:
		return d.submitRelayed(ctx, l, q, r)
	case wire.Relay_CANCEL:
		return l.Cancel(ctx, id, q, caller), true, nil
	case wire.Relay_PENDING:
		return l.Pending(ctx, q), true, nil
	}
	return l.State(ctx, id, caller), true, nil
}

// relayedQueue returns the queue of a relayed request, by a configuration that is at least as new as the sender's if it can be read.
// Messages of earlier releases have a name instead, or no path.
func (d *Daemon) relayedQueue(ctx context.Context, r *wire.Relay) (work.Queue, error) {
	if len(r.Terms) == 0 {
		return work.Queue{Name: r.Queue}, nil
	}
	var q work.Queue
	if err := json.Unmarshal(r.Terms, &q); err != nil {
		return q, fault.Wrap(fault.Invalid, err, "queue of a relayed request")
	}
	d.operatorState.CatchUp(ctx, q.Version)
	return q, nil
}

// submitRelayed submits a relayed job to the leader of its service, or hands it off if this daemon has none. The bool is false if
// nothing was done.
func (d *Daemon) submitRelayed(ctx context.Context, l *leader.Leader, q work.Queue, r *wire.Relay) (leader.Result, bool, error) {
	var job work.Job
	if err := json.Unmarshal(r.Job, &job); err != nil {
		return leader.Result{}, true, fault.Wrap(fault.Invalid, err, "relayed job")
	}
	if err := job.Check(); err != nil {
		return leader.Result{}, true, fault.Wrap(fault.Invalid, err, "relayed job")
	}
	if err := d.storeLink.Check(ctx); err != nil {
		d.log.Info("relayed job not taken", zap.String("job", r.Id), zap.Error(err))
		return leader.Result{}, false, nil // the daemon that relays the job may reach the store
	}
	if l == nil {
		return d.handoff.Submit(ctx, work.ID(r.Id), q, job, r.Seen), true, nil
	}
	return l.Submit(ctx, work.ID(r.Id), q, job, r.Seen), true, nil
}

// updatePeerTargets limits peer sessions to the daemons that lead a service or are planned to, and to minCarriers: no
// other daemon receives requests, and each session costs pings.
func (d *Daemon) updatePeerTargets() {
	live := d.members.Live()
	planned := map[string]bool{}
	for _, name := range member.Assign(d.services(), d.members.Candidates()) {
		planned[name] = true
	}
	var list []peer.Target
	for _, n := range live {
		if n.Name != d.settings.Instance && (len(n.Holds) > 0 || planned[n.Name]) {
			list = append(list, targetOf(n))
		}
	}
	var candidates []peer.Target
	for _, n := range d.members.Candidates() {
		candidates = append(candidates, targetOf(n))
	}
	d.mesh.SetTargets(addCarriers(d.settings.Instance, d.settings.Centre, list, candidates))
}

func targetOf(n member.Node) peer.Target {
	return peer.Target{Instance: n.Name, Addr: n.Peer, Centre: n.Centre}
}
