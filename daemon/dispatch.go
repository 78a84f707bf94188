package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/leader"
	"gypsumlead/member"
	"gypsumlead/peer"
	"gypsumlead/peer/wire"
	"gypsumlead/work"
)

// relayLimit is for a request to the daemon that schedules a service; past it the store is written without it.
const relayTimeout = 1500 * time.Millisecond

// retryLater is when to come back after the store and the holder have both been silent.
const retryDelay = time.Second

// Submit hands a job in.
func (d *Daemon) Submit(ctx context.Context, id work.ID, q work.Queue, job work.Job) leader.Result {
	mayBeStored := false // whether somebody may have the job already, though it isn't known
	if l := d.leaderOf(q.Service); l != nil {
		result := l.Submit(ctx, id, q, job)
		if result.Verdict != leader.Unknown || ctx.Err() != nil {
			return result
		}
		mayBeStored = true
	} else {
		result, delivered := d.relaySubmit(ctx, id, q, job)
		if delivered == answered && result.Verdict != leader.Unknown {
			return result
		}
		mayBeStored = delivered != notSent
	}
	result := d.handoff.Submit(ctx, id, q, job)
	if result.Verdict == leader.Refused && mayBeStored {
		result.Verdict = leader.Unknown // "it never runs" would not be true
	}
	return result
}

// reached is how far a request to another daemon came.
type delivery int

const (
	notSent     delivery = iota // nobody has got it
	unconfirmed                 // it may have arrived
	answered                    // it was answered
)

func (d *Daemon) relaySubmit(ctx context.Context, id work.ID, q work.Queue, job work.Job) (leader.Result, delivery) {
	queueJSON, err := json.Marshal(q)
	if err != nil {
		return leader.Result{Verdict: leader.Refused, Why: err.Error()}, answered
	}
	jobJSON, err := json.Marshal(job)
	if err != nil {
		return leader.Result{Verdict: leader.Refused, Why: err.Error()}, answered
	}
	r := &wire.Relay{Verb: wire.Relay_SUBMIT, Service: q.Service, Id: string(id), Queue: q.Name, Terms: queueJSON, Job: jobJSON}
	if _, ok := d.members.Leader(q.Service); ok {
		return d.relay(ctx, r)
	}
	// Nobody schedules the service. All daemons bring its jobs to the one that is to: it stores them together.
	n, ok := d.plannedLeader(q.Service)
	if !ok || n.Boot == d.boot {
		return leader.Result{}, notSent
	}
	r.Store = true
	return d.relayTo(ctx, n, r)
}

// next returns the daemon that is to schedule a service.
func (d *Daemon) plannedLeader(service string) (member.Node, bool) {
	live := d.activeNodes()
	name := member.Assign(d.services(), live)[service]
	i := slices.IndexFunc(live, func(n member.Node) bool { return n.Name == name })
	if i < 0 {
		return member.Node{}, false
	}
	return live[i], true
}

// Cancel cancels a job.
func (d *Daemon) Cancel(ctx context.Context, id work.ID, q work.Queue) leader.Result {
	var result leader.Result
	delivered := answered
	if l := d.leaderOf(q.Service); l != nil {
		result = l.Cancel(ctx, id)
	} else {
		result, delivered = d.relay(ctx, &wire.Relay{Verb: wire.Relay_CANCEL, Service: q.Service, Id: string(id)})
	}
	if delivered == answered && result.Verdict == leader.Accepted {
		return result
	}
	result, err := leader.HandOffCancel(ctx, d.store, q.Service, id)
	return finalResult(result, err)
}

// State returns a job's state.
func (d *Daemon) State(ctx context.Context, id work.ID, q work.Queue) leader.Result {
	var result leader.Result
	delivered := answered
	if l := d.leaderOf(q.Service); l != nil {
		result = l.State(id)
	} else {
		result, delivered = d.relay(ctx, &wire.Relay{Verb: wire.Relay_STATE, Service: q.Service, Id: string(id)})
	}
	if delivered == answered && result.Verdict == leader.Accepted {
		return result
	}
	result, err := leader.StoredState(ctx, d.store, q.Service, id)
	return finalResult(result, err)
}

// settled is the answer after the last way has been tried.
func finalResult(result leader.Result, err error) leader.Result {
	if err != nil {
		return leader.Result{Verdict: leader.Refused, Retry: retryDelay, Why: err.Error()}
	}
	return result
}

// Pending returns how many jobs of a queue haven't begun.
func (d *Daemon) Pending(ctx context.Context, q work.Queue) leader.Result {
	if l := d.leaderOf(q.Service); l != nil {
		return l.Pending(q.Name)
	}
	result, delivered := d.relay(ctx, &wire.Relay{Verb: wire.Relay_PENDING, Service: q.Service, Queue: q.Name})
	if delivered != answered {
		return leader.Result{Verdict: leader.Refused, Retry: retryDelay, Why: "nobody is known to schedule the service"}
	}
	return result
}

// relay asks the daemon that schedules a service.
func (d *Daemon) relay(ctx context.Context, r *wire.Relay) (leader.Result, delivery) {
	n, ok := d.members.Leader(r.Service)
	if !ok || n.Boot == d.boot {
		return leader.Result{}, notSent
	}
	return d.relayTo(ctx, n, r)
}

// relayTo asks one daemon.
func (d *Daemon) relayTo(ctx context.Context, n member.Node, r *wire.Relay) (leader.Result, delivery) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	r.Wait = relayTimeout.Milliseconds()
	resp, err := d.mesh.Call(ctx, n.Name, &wire.Request{Body: &wire.Request_Relay{Relay: r}})
	if err != nil {
		d.log.Info("holder not reached", zap.String("holder", n.Name), zap.String("service", r.Service), zap.Error(err))
		if fault.Is(err, fault.NoUpstream) {
			return leader.Result{}, notSent
		}
		return leader.Result{}, unconfirmed
	}
	relayed := resp.GetRelayed()
	if relayed == nil || !relayed.Held {
		return leader.Result{}, notSent
	}
	return leader.Result{
		Verdict: leader.Verdict(relayed.Verdict),
		Full:    relayed.Full,
		Retry:   time.Duration(relayed.Retry) * time.Millisecond,
		State:   work.State(relayed.State),
		Pending: int(relayed.Pending),
		Why:     relayed.Why,
	}, answered
}

// ServePeer answers another daemon's request.
func (d *Daemon) ServePeer(ctx context.Context, _ peer.Identity, req *wire.Request) (*wire.Response, error) {
	switch body := req.Body.(type) {
	case *wire.Request_Ping:
		return &wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{}}}, nil
	case *wire.Request_Report:
		return d.handleReport(body.Report), nil
	case *wire.Request_Relay:
		result, led, err := d.handleRelay(ctx, body.Relay)
		if err != nil {
			return nil, err
		}
		return &wire.Response{Body: &wire.Response_Relayed{Relayed: &wire.Relayed{
			Held:    led,
			Verdict: int32(result.Verdict),
			Full:    result.Full,
			Retry:   result.Retry.Milliseconds(),
			State:   string(result.State),
			Pending: int64(result.Pending),
			Why:     result.Why,
		}}}, nil
	}
	return nil, fault.New(fault.Invalid, "unknown request of a peer")
}

// relayed carries out what another daemon's caller asks for.
func (d *Daemon) handleRelay(ctx context.Context, r *wire.Relay) (leader.Result, bool, error) {
	l := d.leaderOf(r.Service)
	if l == nil && !(r.Store && r.Verb == wire.Relay_SUBMIT) {
		return leader.Result{}, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Wait)*time.Millisecond)
	defer cancel()
	id := work.ID(r.Id)
	switch r.Verb {
	case wire.Relay_SUBMIT:
		var q work.Queue
		var job work.Job
		if err := json.Unmarshal(r.Terms, &q); err != nil {
			return leader.Result{}, true, fault.Wrap(fault.Invalid, err, "queue of a relayed job")
		}
		if err := json.Unmarshal(r.Job, &job); err != nil {
			return leader.Result{}, true, fault.Wrap(fault.Invalid, err, "relayed job")
		}
		if l == nil {
			return d.handoff.Submit(ctx, id, q, job), true, nil
		}
		return l.Submit(ctx, id, q, job), true, nil
	case wire.Relay_CANCEL:
		return l.Cancel(ctx, id), true, nil
	case wire.Relay_PENDING:
		return l.Pending(r.Queue), true, nil
	}
	return l.State(id), true, nil
}

// retarget keeps sessions with the daemons that schedule a service or are the next to: nobody else is asked
// for anything, and each session costs its pings.
func (d *Daemon) updatePeerTargets() {
	live := d.members.Live()
	planned := map[string]bool{}
	for _, name := range member.Assign(d.services(), live) {
		planned[name] = true
	}
	var list []peer.Target
	for _, n := range live {
		if n.Name != d.settings.Instance && (len(n.Holds) > 0 || planned[n.Name]) {
			list = append(list, peer.Target{Instance: n.Name, Addr: n.Peer, Centre: n.Centre})
		}
	}
	d.mesh.SetTargets(list)
}
