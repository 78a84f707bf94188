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
const relayLimit = 1500 * time.Millisecond

// retryLater is when to come back after the store and the holder have both been silent.
const retryLater = time.Second

// Submit hands a job in.
func (d *Daemon) Submit(ctx context.Context, id work.ID, q work.Queue, job work.Job) leader.Result {
	doubt := false // whether somebody may have the job already, though it isn't known
	if h := d.holderOf(q.Service); h != nil {
		a := h.Submit(ctx, id, q, job)
		if a.Verdict != leader.Unknown || ctx.Err() != nil {
			return a
		}
		doubt = true
	} else {
		a, got := d.relaySubmit(ctx, id, q, job)
		if got == answered && a.Verdict != leader.Unknown {
			return a
		}
		doubt = got != unsent
	}
	a := d.directs.Submit(ctx, id, q, job)
	if a.Verdict == leader.Refused && doubt {
		a.Verdict = leader.Unknown // "it never runs" would not be true
	}
	return a
}

// reached is how far a request to another daemon came.
type reached int

const (
	unsent   reached = iota // nobody has got it
	maybe                   // it may have arrived
	answered                // it was answered
)

func (d *Daemon) relaySubmit(ctx context.Context, id work.ID, q work.Queue, job work.Job) (leader.Result, reached) {
	terms, err := json.Marshal(q)
	if err != nil {
		return leader.Result{Verdict: leader.Refused, Why: err.Error()}, answered
	}
	body, err := json.Marshal(job)
	if err != nil {
		return leader.Result{Verdict: leader.Refused, Why: err.Error()}, answered
	}
	r := &wire.Relay{Verb: wire.Relay_SUBMIT, Service: q.Service, Id: string(id), Queue: q.Name, Terms: terms, Job: body}
	if _, ok := d.members.Leader(q.Service); ok {
		return d.relay(ctx, r)
	}
	// Nobody schedules the service. All daemons bring its jobs to the one that is to: it stores them together.
	n, ok := d.next(q.Service)
	if !ok || n.Boot == d.boot {
		return leader.Result{}, unsent
	}
	r.Store = true
	return d.relayTo(ctx, n, r)
}

// next returns the daemon that is to schedule a service.
func (d *Daemon) next(service string) (member.Node, bool) {
	live := d.staying()
	name := member.Assign(d.services(), live)[service]
	at := slices.IndexFunc(live, func(n member.Node) bool { return n.Name == name })
	if at < 0 {
		return member.Node{}, false
	}
	return live[at], true
}

// Cancel cancels a job.
func (d *Daemon) Cancel(ctx context.Context, id work.ID, q work.Queue) leader.Result {
	var a leader.Result
	got := answered
	if h := d.holderOf(q.Service); h != nil {
		a = h.Cancel(ctx, id)
	} else {
		a, got = d.relay(ctx, &wire.Relay{Verb: wire.Relay_CANCEL, Service: q.Service, Id: string(id)})
	}
	if got == answered && a.Verdict == leader.Accepted {
		return a
	}
	a, err := leader.HandOffCancel(ctx, d.store, q.Service, id)
	return settled(a, err)
}

// State returns a job's state.
func (d *Daemon) State(ctx context.Context, id work.ID, q work.Queue) leader.Result {
	var a leader.Result
	got := answered
	if h := d.holderOf(q.Service); h != nil {
		a = h.State(id)
	} else {
		a, got = d.relay(ctx, &wire.Relay{Verb: wire.Relay_STATE, Service: q.Service, Id: string(id)})
	}
	if got == answered && a.Verdict == leader.Accepted {
		return a
	}
	a, err := leader.StoredState(ctx, d.store, q.Service, id)
	return settled(a, err)
}

// settled is the answer after the last way has been tried.
func settled(a leader.Result, err error) leader.Result {
	if err != nil {
		return leader.Result{Verdict: leader.Refused, Retry: retryLater, Why: err.Error()}
	}
	return a
}

// Pending returns how many jobs of a queue haven't begun.
func (d *Daemon) Pending(ctx context.Context, q work.Queue) leader.Result {
	if h := d.holderOf(q.Service); h != nil {
		return h.Pending(q.Name)
	}
	a, got := d.relay(ctx, &wire.Relay{Verb: wire.Relay_PENDING, Service: q.Service, Queue: q.Name})
	if got != answered {
		return leader.Result{Verdict: leader.Refused, Retry: retryLater, Why: "nobody is known to schedule the service"}
	}
	return a
}

// relay asks the daemon that schedules a service.
func (d *Daemon) relay(ctx context.Context, r *wire.Relay) (leader.Result, reached) {
	n, ok := d.members.Leader(r.Service)
	if !ok || n.Boot == d.boot {
		return leader.Result{}, unsent
	}
	return d.relayTo(ctx, n, r)
}

// relayTo asks one daemon.
func (d *Daemon) relayTo(ctx context.Context, n member.Node, r *wire.Relay) (leader.Result, reached) {
	ctx, cancel := context.WithTimeout(ctx, relayLimit)
	defer cancel()
	r.Wait = relayLimit.Milliseconds()
	resp, err := d.mesh.Call(ctx, n.Name, &wire.Request{Body: &wire.Request_Relay{Relay: r}})
	if err != nil {
		d.log.Info("holder not reached", zap.String("holder", n.Name), zap.String("service", r.Service), zap.Error(err))
		if fault.Is(err, fault.NoUpstream) {
			return leader.Result{}, unsent
		}
		return leader.Result{}, maybe
	}
	got := resp.GetRelayed()
	if got == nil || !got.Held {
		return leader.Result{}, unsent
	}
	return leader.Result{
		Verdict: leader.Verdict(got.Verdict),
		Full:    got.Full,
		Retry:   time.Duration(got.Retry) * time.Millisecond,
		State:   work.State(got.State),
		Pending: int(got.Pending),
		Why:     got.Why,
	}, answered
}

// ServePeer answers another daemon's request.
func (d *Daemon) ServePeer(ctx context.Context, _ peer.Identity, req *wire.Request) (*wire.Response, error) {
	switch body := req.Body.(type) {
	case *wire.Request_Ping:
		return &wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{}}}, nil
	case *wire.Request_Report:
		return d.takeReport(body.Report), nil
	case *wire.Request_Relay:
		a, held, err := d.relayed(ctx, body.Relay)
		if err != nil {
			return nil, err
		}
		return &wire.Response{Body: &wire.Response_Relayed{Relayed: &wire.Relayed{
			Held:    held,
			Verdict: int32(a.Verdict),
			Full:    a.Full,
			Retry:   a.Retry.Milliseconds(),
			State:   string(a.State),
			Pending: int64(a.Pending),
			Why:     a.Why,
		}}}, nil
	}
	return nil, fault.New(fault.Invalid, "unknown request of a peer")
}

// relayed carries out what another daemon's caller asks for.
func (d *Daemon) relayed(ctx context.Context, r *wire.Relay) (leader.Result, bool, error) {
	h := d.holderOf(r.Service)
	if h == nil && !(r.Store && r.Verb == wire.Relay_SUBMIT) {
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
		if h == nil {
			return d.directs.Submit(ctx, id, q, job), true, nil
		}
		return h.Submit(ctx, id, q, job), true, nil
	case wire.Relay_CANCEL:
		return h.Cancel(ctx, id), true, nil
	case wire.Relay_PENDING:
		return h.Pending(r.Queue), true, nil
	}
	return h.State(id), true, nil
}

// retarget keeps sessions with the daemons that schedule a service or are the next to: nobody else is asked
// for anything, and each session costs its pings.
func (d *Daemon) retarget() {
	live := d.members.Live()
	next := map[string]bool{}
	for _, name := range member.Assign(d.services(), live) {
		next[name] = true
	}
	var list []peer.Target
	for _, n := range live {
		if n.Name != d.set.Instance && (len(n.Holds) > 0 || next[n.Name]) {
			list = append(list, peer.Target{Instance: n.Name, Addr: n.Peer, Centre: n.Centre})
		}
	}
	d.mesh.SetTargets(list)
}
