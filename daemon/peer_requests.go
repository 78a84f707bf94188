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
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// relayTimeout limits a request to the leader of a service. After it, the request is carried out through the
// store, without the leader.
const relayTimeout = 1500 * time.Millisecond

// delivery is what is known about the delivery of a request to another daemon.
type delivery int

const (
	notSent     delivery = iota // the request was not sent, or the other daemon didn't carry it out
	unconfirmed                 // the request may have arrived
	answered                    // the request was answered
)

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
	return resultFromWire(relayed), answered
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
		relayed := resultOnWire(result)
		relayed.Held = led
		return &wire.Response{Body: &wire.Response_Relayed{Relayed: relayed}}, nil
	}
	return nil, fault.New(fault.Invalid, "unknown request of a peer")
}

// resultOnWire returns the answer to another daemon's request. Daemons of earlier releases take Withdrawn for Unknown.
func resultOnWire(r leader.Result) *wire.Relayed {
	verdict := r.Verdict
	if verdict == leader.Withdrawn {
		verdict = leader.Unknown
	}
	return &wire.Relayed{
		Verdict: int32(verdict),
		Gone:    r.Verdict == leader.Withdrawn,
		Service: r.Service,
		Final:   r.Final,
		Full:    r.Full,
		Retry:   r.Retry.Milliseconds(),
		State:   string(r.State),
		Pending: int64(r.Pending),
		Why:     r.Why,
		Moved:   r.Moved,
		Former:  slices.Concat(r.Former, r.Gate.Former), // an answer has one of them
		Gate:    r.Gate.Version,
	}
}

// resultFromWire returns the result that another daemon has sent.
func resultFromWire(r *wire.Relayed) leader.Result {
	verdict := leader.Verdict(r.Verdict)
	if r.Gone {
		verdict = leader.Withdrawn
	}
	return leader.Result{
		Verdict: verdict,
		Full:    r.Full,
		Retry:   time.Duration(r.Retry) * time.Millisecond,
		State:   work.State(r.State),
		Pending: int(r.Pending),
		Why:     r.Why,
		Moved:   r.Moved,
		Service: r.Service,
		Final:   r.Final,
		Former:  r.Former,
		Gate:    home.Gate{Version: r.Gate, Former: r.Former},
	}
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
