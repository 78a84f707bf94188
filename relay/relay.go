package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/fault"
	"gypsumlead/platform"
	"gypsumlead/sleep"
)

// Call is a call to the store that one daemon makes for another.
type Call struct {
	Method, Path string
	Body         []byte
	Wait         time.Duration // for the answer
}

// Answer is the result of a Call.
type Answer struct {
	Sent   bool // whether the call may have reached the store
	Status int  // 0 if the store didn't answer
	Body   []byte
}

// Carriers gives a Relay access to the daemons that may make calls for this one.
type Carriers interface {
	// Candidates returns the daemons to ask, in order of preference.
	Candidates() []string
	// Carry has a daemon make a call.
	Carry(ctx context.Context, carrier string, call Call) Answer
}

// Counts are the numbers of relayed calls.
type Counts struct {
	Relayed int64         // calls sent through a carrier, questions included
	Time    time.Duration // during which calls were relayed
}

// Relay makes a daemon's calls to the store directly, or through a carrier while the store rejects this daemon and serves
// others. It is a platform.Transport.
type Relay struct {
	store     *platform.Store
	carriers  Carriers
	probePath string
	now       clock.Clock
	log       *zap.Logger
	relayed   atomic.Int64
	wakeProbe chan struct{}
	wakeAsk   chan struct{}
	nextAsked int // index of the candidate that the next round of questions begins with; used only by ask

	mu      sync.Mutex
	route   route
	path    context.Context // of the calls of the present route; ended when the route is given up
	endPath context.CancelFunc
}

// New returns a relay for the calls of a store's client, which is to use it. probe is a row whose reading shows that the
// store serves this daemon. Carriers are found while Run runs.
func New(store *platform.Store, carriers Carriers, probe platform.RowKey, log *zap.Logger, now clock.Clock) *Relay {
	r := &Relay{
		store:     store,
		carriers:  carriers,
		probePath: platform.RowPath(probe),
		now:       now,
		log:       log,
		wakeProbe: make(chan struct{}, 1),
		wakeAsk:   make(chan struct{}, 1),
	}
	r.path, r.endPath = context.WithCancel(context.Background())
	return r
}

// Run probes the store and finds carriers when that is needed, until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.repeat(ctx, r.wakeProbe, (*route).probeIn, r.probe) })
	wg.Go(func() { r.repeat(ctx, r.wakeAsk, (*route).askIn, r.ask) })
	wg.Wait()
	return nil
}

// Counts returns the numbers so far.
func (r *Relay) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{r.relayed.Load(), r.route.relayedFor(r.now())}
}

// Serves reports whether the store serves this daemon's own calls, so that it may make calls for others.
func (r *Relay) Serves() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.route.serves(r.now())
}

// Carry makes a call for another daemon on this daemon's own connections, never through a further daemon.
func (r *Relay) Carry(ctx context.Context, call Call) Answer {
	ctx, cancel := context.WithTimeout(ctx, call.Wait)
	defer cancel()
	status, body, err := r.callDirect(ctx, call.Method, call.Path, call.Body)
	r.store.RecordCarried(status, err)
	if err != nil {
		return Answer{Sent: !fault.Is(err, fault.Overload)}
	}
	return Answer{Sent: true, Status: status, Body: body}
}

// Call makes one call on the present route. The context has a deadline.
func (r *Relay) Call(ctx context.Context, method, path string, body []byte) (status int, data []byte, err error) {
	r.mu.Lock()
	carrier, routeCtx := r.route.carrier, r.path
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(routeCtx, cancel)
	defer stop()
	if carrier == "" {
		return r.callDirect(ctx, method, path, body)
	}
	return r.callRelayed(ctx, carrier, method, path, body)
}

// callDirect makes a call on this daemon's own connections and notes what its outcome says about the store.
func (r *Relay) callDirect(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	started, expected := r.now(), expectedTime(path)
	alarm := time.AfterFunc(expected, func() {
		r.store.Close() // idle connections may be as silent as this call's
		r.note(func(now time.Time) { r.route.silent(started, now) })
	})
	status, data, err := r.store.CallDirect(ctx, method, path, body)
	alarm.Stop()
	r.note(func(now time.Time) {
		switch {
		case err == nil && !platform.IsRejection(status):
			r.route.served(started)
		case err == nil || ctx.Err() == nil:
			r.route.rejected(started, now) // a status, or a connection that was refused or reset
		case errors.Is(ctx.Err(), context.DeadlineExceeded) && now.Sub(started) >= expected:
			r.route.rejected(started, now)
		}
	})
	return status, data, err
}

// callRelayed makes a call through a carrier, or directly if the carrier refuses it.
func (r *Relay) callRelayed(ctx context.Context, carrier, method, path string, body []byte) (int, []byte, error) {
	deadline, _ := ctx.Deadline() // the caller has set one
	alarm := time.AfterFunc(expectedTime(path), func() { r.note(func(time.Time) { r.route.carrierFailed(carrier) }) })
	answer := r.carry(ctx, carrier, Call{method, path, body, time.Until(deadline)})
	alarm.Stop()
	abandoned := errors.Is(ctx.Err(), context.Canceled) // by this daemon, so that it says nothing about the carrier
	if (answer.Status == 0 || platform.IsRejection(answer.Status)) && !abandoned {
		r.note(func(time.Time) { r.route.carrierFailed(carrier) })
	}
	if !answer.Sent && ctx.Err() == nil {
		return r.callDirect(ctx, method, path, body) // as without a carrier, until another one is found
	}
	if answer.Status == 0 {
		kind := fault.Unavailable
		if !answer.Sent {
			kind = fault.Overload
		}
		return 0, nil, fault.New(kind, "%s %s: no answer through carrier %s", method, platform.PathName(path), carrier)
	}
	return answer.Status, answer.Body, nil
}

func (r *Relay) carry(ctx context.Context, carrier string, call Call) Answer {
	r.relayed.Add(1)
	return r.carriers.Carry(ctx, carrier, call)
}

// note applies an event to the route and wakes the loops that have something to do.
func (r *Relay) note(event func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	event(now)
	if _, wanted := r.route.probeIn(now); wanted {
		sleep.Wake(r.wakeProbe)
	}
	if _, wanted := r.route.askIn(now); wanted {
		sleep.Wake(r.wakeAsk)
	}
}

// repeat calls act whenever it is due, until ctx ends.
func (r *Relay) repeat(ctx context.Context, wake <-chan struct{}, dueIn func(*route, time.Time) (time.Duration, bool), act func(context.Context)) {
	for ctx.Err() == nil {
		r.mu.Lock()
		d, wanted := dueIn(&r.route, r.now())
		r.mu.Unlock()
		switch {
		case !wanted:
			select {
			case <-wake:
			case <-ctx.Done():
			}
		case d > 0:
			sleep.ForOrWake(ctx, d, wake)
		default:
			act(ctx)
		}
	}
}

// probe reads a row directly.
func (r *Relay) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	started := r.now()
	status, err := r.store.Probe(ctx, r.probePath)
	answered := err == nil && !platform.IsRejection(status)
	r.note(func(now time.Time) {
		carrier, since := r.route.carrier, r.route.since
		if r.route.probeEnded(answered, started, now) {
			r.log.Info("store calls are direct again", zap.String("carrier", carrier), zap.Duration("relayed", now.Sub(since)))
		}
	})
}

// ask finds a carrier that the store serves. The present one is asked first.
func (r *Relay) ask(ctx context.Context) {
	r.mu.Lock()
	present, limit := r.route.carrier, r.route.askBegins(r.now())
	r.mu.Unlock()
	asked, found := r.firstServed(ctx, present, limit)
	if ctx.Err() != nil {
		return
	}
	r.note(func(now time.Time) {
		if !r.route.askEnded(asked, found, now) {
			return
		}
		// Calls in progress on the former route may never be answered. Whether they are executed stays unknown to their
		// callers, as after a timeout.
		r.endPath()
		r.store.Close()
		r.path, r.endPath = context.WithCancel(context.Background())
		if found == "" {
			r.log.Warn("no carrier is left for store calls", zap.String("carrier", present))
			return
		}
		r.log.Warn("store calls are relayed", zap.String("carrier", found), zap.String("before", present))
	})
}

// firstServed asks up to limit carriers in turn, beginning with the present one. If none is served, that one is asked again:
// its first question may have met a silent connection to the store. It returns how many questions it asked and the first
// carrier that the store serves, or "". The next round then goes on with the others.
func (r *Relay) firstServed(ctx context.Context, present string, limit int) (asked int, found string) {
	if present != "" {
		asked++
		if r.isServed(ctx, present) {
			return asked, present
		}
	}
	candidates := slices.DeleteFunc(r.carriers.Candidates(), func(c string) bool { return c == present })
	for range min(limit-asked, len(candidates)) {
		carrier := candidates[r.nextAsked%len(candidates)]
		asked++
		if r.isServed(ctx, carrier) {
			r.nextAsked = 0
			return asked, carrier
		}
		r.nextAsked++
	}
	if present != "" && asked < limit {
		asked++
		if r.isServed(ctx, present) {
			return asked, present
		}
	}
	return asked, ""
}

// isServed asks a carrier to read the probe's row.
func (r *Relay) isServed(ctx context.Context, carrier string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer := r.carry(ctx, carrier, Call{http.MethodGet, r.probePath, nil, askTimeout})
	return answer.Status != 0 && !platform.IsRejection(answer.Status)
}

// expectedTime returns the time after which a call that has no answer makes the store or the carrier doubtful.
func expectedTime(path string) time.Duration { return platform.WaitOf(path) + silenceLimit }
