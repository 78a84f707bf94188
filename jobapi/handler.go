package jobapi

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"gypsumlead/cache"
	"gypsumlead/leader"
	"gypsumlead/platform"
	"gypsumlead/work"
)

// Bounds on requests.
const (
	patience   = 3 * time.Second // of a caller that doesn't say how long it waits
	reserve    = 0.15            // share of the caller's patience that is left for the way back
	bodyLimit  = 256 << 10       // bytes, where the configuration doesn't say
	retryStart = time.Second     // when to come back to a daemon without a configuration
	retryLeast = time.Second     // the header counts whole seconds
)

// Dispatcher does what callers ask for; it may be called by many goroutines.
type Dispatcher interface {
	Submit(ctx context.Context, id work.ID, q work.Queue, job work.Job) leader.Result
	Cancel(ctx context.Context, id work.ID, q work.Queue) leader.Result
	State(ctx context.Context, id work.ID, q work.Queue) leader.Result
	Pending(ctx context.Context, q work.Queue) leader.Result
}

// Handler answers callers.
type Handler struct {
	routes        func() *cache.RouteTable // nil where there is no configuration yet
	desk          Dispatcher
	log           *zap.Logger
	Counts        StatusCounts
	ObserveSubmit func(answer string, d time.Duration) // told how long each job took to be answered
}

// New returns a handler of callers' requests.
func New(routes func() *cache.RouteTable, desk Dispatcher, log *zap.Logger) *Handler {
	return &Handler{routes: routes, desk: desk, log: log, ObserveSubmit: func(string, time.Duration) {}}
}

// ServeHTTP answers one request.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	routes := f.routes()
	if routes == nil {
		f.refuse(w, http.StatusServiceUnavailable, retryStart, "no configuration yet")
		return
	}
	route, rest, ok := routes.Match(r.Host, r.URL.Path)
	if !ok {
		f.answer(w, http.StatusNotFound, nil)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit(r, route))
	defer cancel()
	switch r.Method {
	case http.MethodPost:
		f.submit(ctx, w, r, routes, route, work.ID(rest))
	case http.MethodGet, http.MethodHead:
		f.read(ctx, w, route, work.ID(rest))
	case http.MethodDelete:
		f.cancel(ctx, w, route, work.ID(rest))
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		f.answer(w, http.StatusMethodNotAllowed, nil)
	}
}

// limit is how long a request may take here.
func limit(r *http.Request, route platform.Route) time.Duration {
	d := platform.CallerTimeout(r.Header)
	if d <= 0 {
		d = route.Timeout
	}
	if d <= 0 {
		d = patience
	}
	return time.Duration(float64(d) * (1 - reserve))
}

// submit hands a job in.
func (f *Handler) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, routes *cache.RouteTable, route platform.Route, id work.ID) {
	if !id.Valid() {
		f.wrong(w, http.StatusBadRequest, "the path must end with the job's ID of 16 hexadecimal digits")
		return
	}
	most := routes.Limits.Body
	if most <= 0 {
		most = bodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		f.wrong(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if err != nil {
		f.Counts.add("broken")
		return // the caller broke off; there is nobody to answer
	}
	job, err := platform.DecodeJob(body)
	if err != nil {
		f.wrong(w, http.StatusBadRequest, err.Error())
		return
	}
	began := time.Now()
	a := f.desk.Submit(ctx, id, route.Queue, job)
	f.ObserveSubmit(verdicts[a.Verdict], time.Since(began))
	f.log.Info("job", zap.String("job", string(id)), zap.String("queue", route.Queue.Name), zap.Int64("config", routes.Version),
		zap.String("answer", verdicts[a.Verdict]), zap.String("why", a.Why), zap.Duration("retry", a.Retry))
	switch a.Verdict {
	case leader.Accepted:
		f.answer(w, http.StatusOK, []byte("{}"))
	case leader.Refused:
		f.refuse(w, statusOf(a), a.Retry, a.Why)
	case leader.Unknown, leader.Absent:
		// It may have been stored: neither "accepted" nor "never runs" would be true.
		f.answer(w, http.StatusGatewayTimeout, nil)
	}
}

var verdicts = map[leader.Verdict]string{
	leader.Accepted: "accepted",
	leader.Refused:  "refused",
	leader.Unknown:  "unknown",
	leader.Absent:   "absent",
}

// statusOf tells a refusal for want of room from one for want of the store.
func statusOf(a leader.Result) int {
	if a.Full {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// read answers with a job's state, or with how many jobs of the queue wait.
func (f *Handler) read(ctx context.Context, w http.ResponseWriter, route platform.Route, id work.ID) {
	if id == "" {
		a := f.desk.Pending(ctx, route.Queue)
		if a.Verdict != leader.Accepted {
			f.refuse(w, http.StatusServiceUnavailable, a.Retry, a.Why)
			return
		}
		f.answer(w, http.StatusOK, platform.EncodePending(a.Pending))
		return
	}
	a := f.desk.State(ctx, id, route.Queue)
	switch a.Verdict {
	case leader.Accepted:
		f.answer(w, http.StatusOK, platform.EncodeState(a.State))
	case leader.Absent:
		f.answer(w, http.StatusGone, nil)
	case leader.Refused, leader.Unknown:
		f.refuse(w, http.StatusServiceUnavailable, a.Retry, a.Why)
	}
}

// cancel cancels a job.
func (f *Handler) cancel(ctx context.Context, w http.ResponseWriter, route platform.Route, id work.ID) {
	a := f.desk.Cancel(ctx, id, route.Queue)
	f.log.Info("cancel", zap.String("job", string(id)), zap.String("answer", verdicts[a.Verdict]), zap.String("why", a.Why))
	switch a.Verdict {
	case leader.Accepted:
		f.answer(w, http.StatusOK, []byte("{}"))
	case leader.Absent:
		f.answer(w, http.StatusGone, nil)
	case leader.Refused, leader.Unknown:
		f.refuse(w, http.StatusServiceUnavailable, a.Retry, a.Why)
	}
}

// refuse answers that nothing was done and when to come back.
func (f *Handler) refuse(w http.ResponseWriter, status int, retry time.Duration, why string) {
	seconds := int(math.Ceil(max(retry, retryLeast).Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	f.wrong(w, status, why)
}

// wrong answers with a text that says what is wrong.
func (f *Handler) wrong(w http.ResponseWriter, status int, why string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	f.Counts.add(strconv.Itoa(status))
	w.WriteHeader(status)
	if _, err := io.WriteString(w, why+"\n"); err != nil {
		f.log.Debug("answer not written", zap.Error(err))
	}
}

func (f *Handler) answer(w http.ResponseWriter, status int, body []byte) {
	f.Counts.add(strconv.Itoa(status))
	if body != nil {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(status)
	if len(body) == 0 {
		return
	}
	if _, err := w.Write(body); err != nil {
		f.log.Debug("answer not written", zap.Error(err))
	}
}
