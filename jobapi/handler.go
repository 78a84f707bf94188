package jobapi

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"gypsumlead/admission"
	"gypsumlead/cache"
	"gypsumlead/leader"
	"gypsumlead/platform"
	"gypsumlead/work"
	"gypsumlead/workspace"
)

// Defaults and limits of requests.
const (
	defaultTimeout = 3 * time.Second // if neither the caller nor the route sets a timeout
	replyReserve   = 0.15            // share of the timeout that is left for the response to reach the caller
	defaultMaxBody = 256 << 10       // bytes, if the configuration sets no limit
	noConfigRetry  = time.Second     // Retry-After of a daemon that has no configuration yet
	minRetryAfter  = time.Second     // Retry-After has a resolution of whole seconds
)

// Dispatcher executes callers' requests, here or on another daemon; it is safe for concurrent use.
type Dispatcher interface {
	// Submit submits a job whose request has already waited for the configuration to be confirmed.
	Submit(ctx context.Context, id work.ID, q work.Queue, job work.Job, waited time.Duration) leader.Result
	Cancel(ctx context.Context, id work.ID, q work.Queue, caller workspace.Caller) leader.Result
	State(ctx context.Context, id work.ID, q work.Queue, caller workspace.Caller) leader.Result
	Pending(ctx context.Context, q work.Queue) leader.Result
}

// Handler serves callers' HTTP requests.
type Handler struct {
	config        ConfigSource
	dispatcher    Dispatcher
	log           *zap.Logger
	revocation    revocation
	Counts        StatusCounts
	bodyTime      time.Duration                        // from a body's first byte to its last
	decodings     chan struct{}                        // has an entry for each large body that is being decoded
	KeyRefusals   StatusCounts                         // refusals because of keys, by workspace.Reason
	BodyRefusals  StatusCounts                         // refusals of bodies that did not arrive, by cause
	ObserveSubmit func(answer string, d time.Duration) // called with the result and latency of each submitted job
}

// ConfigSource has the configuration in force; it is safe for concurrent use.
type ConfigSource interface {
	Config() *cache.RouteTable        // nil while there is none
	Age() time.Duration               // since the store last confirmed it
	Confirm(ctx context.Context) bool // reads it from the store if it is too old, reports whether it is young enough; returns soon
}

// Option changes a Handler under construction.
type Option func(*Handler)

// New returns a handler that looks up queues and keys in config and passes requests to dispatcher.
func New(config ConfigSource, dispatcher Dispatcher, log *zap.Logger, opts ...Option) *Handler {
	h := &Handler{config: config, dispatcher: dispatcher, log: log, bodyTime: defaultBodyTime, decodings: make(chan struct{}, largeDecodings), ObserveSubmit: func(string, time.Duration) {}}
	for _, o := range opts {
		o(h)
	}
	return h
}

// ServeHTTP handles one request for a job or a queue.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	if r.Context().Err() != nil {
		h.writeEnding(w, r)
		return
	}
	routes, confirmed := h.freshConfig(r.Context())
	waited := time.Since(arrivedAt)
	if routes == nil {
		h.writeRetryLater(w, http.StatusServiceUnavailable, noConfigRetry, "no configuration yet")
		return
	}
	route, id, ok := routes.Match(r.Host, r.URL.Path)
	if !ok || strings.Contains(id, "/") { // of a queue below this one's prefix, which may have been removed
		h.log.Info("no such queue", zap.String("method", r.Method), zap.Int64("config", routes.Version), zap.Duration("confirmed", h.config.Age()))
		h.writeNotFound(w, r, confirmed)
		return
	}
	caller, ok := h.identify(w, r, routes, route, confirmed)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), arrivedAt.Add(requestTimeout(r, route)))
	defer cancel()
	switch r.Method {
	case http.MethodPost:
		h.submit(ctx, w, r, submission{routes, route, work.ID(id), caller, waited})
	case http.MethodGet, http.MethodHead:
		h.read(ctx, w, route, work.ID(id), caller)
	case http.MethodDelete:
		h.cancel(ctx, w, route, work.ID(id), caller)
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		h.writeResponse(w, http.StatusMethodNotAllowed, nil)
	}
}

// writeEnding responds to a request that this daemon has no time left for, because it shuts down. Nothing was done of it here,
// but an earlier try of the same job may have been stored by another daemon.
func (h *Handler) writeEnding(w http.ResponseWriter, r *http.Request) {
	status := http.StatusGatewayTimeout
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Connection", "close")
	h.writeRetryLater(w, status, minRetryAfter, "this daemon shuts down")
}

// freshConfig returns the configuration in force, or nil if there is none, and whether it is certain to be the one in force. It
// is confirmed first if it may be too old.
func (h *Handler) freshConfig(ctx context.Context) (routes *cache.RouteTable, confirmed bool) {
	if h.config.Config() == nil {
		return nil, false
	}
	confirmed = h.config.Confirm(ctx)
	return h.config.Config(), confirmed
}

// writeNotFound responds that there is no such queue, unless one may have been added since the configuration was confirmed.
func (h *Handler) writeNotFound(w http.ResponseWriter, r *http.Request, confirmed bool) {
	if !confirmed {
		h.writeStale(w, r)
		return
	}
	h.writeResponse(w, http.StatusNotFound, nil)
}

// requestTimeout returns how long the request may take on this daemon.
func requestTimeout(r *http.Request, route platform.Route) time.Duration {
	d := platform.CallerTimeout(r.Header)
	if d <= 0 {
		d = route.Timeout
	}
	if d <= 0 {
		d = defaultTimeout
	}
	return time.Duration(float64(d) * (1 - replyReserve))
}

// submission is what is known of a request that submits a job before its body is read.
type submission struct {
	routes *cache.RouteTable
	route  platform.Route
	id     work.ID
	caller workspace.Caller
	waited time.Duration // for the configuration
}

// submit decodes a job, submits it and writes the response.
func (h *Handler) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, s submission) {
	if !s.id.Valid() {
		h.writeError(w, http.StatusBadRequest, 0, "the path must end with the job's ID of 16 hexadecimal digits")
		return
	}
	maxBody := s.routes.Limits.Body
	if maxBody <= 0 {
		maxBody = defaultMaxBody
	}
	held := admission.BodyOf(r.Context())
	body, err := h.readBody(w, r, held, min(maxBody, held.Limit()))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		h.writeError(w, http.StatusRequestEntityTooLarge, 0, err.Error())
		return
	case errors.Is(err, admission.ErrEvicted), errors.Is(err, errBodyTooSlow):
		held.Release() // before the response, which may have to wait for the caller
		h.writeUnread(w, err)
		return
	case err != nil:
		h.Counts.add("broken")
		panic(http.ErrAbortHandler) // closes the connection: after a return, net/http would send a 200
	}
	job, err := h.decodeJob(body)
	if err != nil {
		h.writeError(w, http.StatusBadRequest, 0, err.Error())
		return
	}
	if !s.route.Public {
		job.Workspace = s.caller.Workspace
	}
	start := time.Now()
	result := h.dispatcher.Submit(ctx, s.id, s.route.Queue, job, s.waited)
	took := time.Since(start)
	h.ObserveSubmit(verdictLabels[result.Verdict], took)
	h.log.Info("job", zap.String("job", string(s.id)), zap.String("queue", s.route.Queue.Name), leader.WorkspaceField(job.Workspace), zap.Int64("config", s.routes.Version),
		zap.String("answer", verdictLabels[result.Verdict]), zap.String("why", result.Why), zap.Duration("retry", result.Retry), zap.Duration("took", took))
	switch result.Verdict {
	case leader.Accepted:
		h.writeResponse(w, http.StatusOK, []byte("{}"))
	case leader.Refused:
		w.Header().Set("Connection", "close") // another daemon may accept the job: let the balancer choose again
		h.writeError(w, refusalStatus(result), result.Retry, result.Why)
	case leader.Taken:
		h.writeError(w, http.StatusConflict, 0, result.Why)
	case leader.Withdrawn:
		h.writeError(w, http.StatusGone, 0, result.Why)
	case leader.Unknown, leader.Absent:
		// The job may have been stored, so it can be reported neither as accepted nor as refused.
		h.writeUnknown(w, result)
	}
}

var verdictLabels = map[leader.Verdict]string{
	leader.Accepted: "accepted",
	leader.Refused:  "refused",
	leader.Unknown:  "unknown",
	leader.Absent:   "absent",
	leader.Taken:    "taken",

	leader.Withdrawn: "withdrawn",
}

// refusalStatus returns 429 if the service lacks the capacity for the job, 413 if the job can't be stored at all, and 503
// otherwise.
func refusalStatus(result leader.Result) int {
	switch {
	case result.Full:
		return http.StatusTooManyRequests
	case result.Retry == 0:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// read responds with a job's state or, without a job ID, with the number of the queue's pending jobs.
func (h *Handler) read(ctx context.Context, w http.ResponseWriter, route platform.Route, id work.ID, caller workspace.Caller) {
	if id == "" {
		result := h.dispatcher.Pending(ctx, route.Queue)
		h.log.Info("pending jobs", zap.String("queue", route.Queue.Name), zap.String("answer", verdictLabels[result.Verdict]),
			zap.Int("pending", result.Pending), zap.String("why", result.Why))
		if result.Verdict != leader.Accepted {
			h.writeRetryLater(w, http.StatusServiceUnavailable, result.Retry, result.Why)
			return
		}
		h.writeResponse(w, http.StatusOK, platform.EncodePending(result.Pending))
		return
	}
	result := h.dispatcher.State(ctx, id, route.Queue, caller)
	switch result.Verdict {
	case leader.Accepted:
		h.writeResponse(w, http.StatusOK, platform.EncodeState(result.State))
	case leader.Absent:
		h.writeResponse(w, http.StatusGone, nil)
	case leader.Refused, leader.Unknown, leader.Taken, leader.Withdrawn:
		h.writeRetryLater(w, http.StatusServiceUnavailable, result.Retry, result.Why)
	}
}

// cancel cancels a job and writes the response.
func (h *Handler) cancel(ctx context.Context, w http.ResponseWriter, route platform.Route, id work.ID, caller workspace.Caller) {
	result := h.dispatcher.Cancel(ctx, id, route.Queue, caller)
	h.log.Info("cancel", zap.String("job", string(id)), leader.WorkspaceField(caller.Workspace), zap.String("answer", verdictLabels[result.Verdict]), zap.String("why", result.Why))
	switch result.Verdict {
	case leader.Accepted:
		h.writeResponse(w, http.StatusOK, []byte("{}"))
	case leader.Absent:
		h.writeResponse(w, http.StatusGone, nil)
	case leader.Refused, leader.Unknown, leader.Taken, leader.Withdrawn:
		h.writeUnknown(w, result) // a cancellation may be carried out though nothing has confirmed it
	}
}

// writeUnknown responds that the outcome of a request is unknown, and tells the caller when to ask again.
func (h *Handler) writeUnknown(w http.ResponseWriter, result leader.Result) {
	w.Header().Set("Connection", "close") // another daemon may know more: let the balancer choose again
	h.writeError(w, http.StatusGatewayTimeout, result.Retry, result.Why)
}

// writeRetryLater responds that nothing was done, with a Retry-After header.
func (h *Handler) writeRetryLater(w http.ResponseWriter, status int, retry time.Duration, reason string) {
	h.writeError(w, status, max(retry, minRetryAfter), reason)
}

// writeError responds with an error text, and with a Retry-After header unless retry is zero.
func (h *Handler) writeError(w http.ResponseWriter, status int, retry time.Duration, reason string) {
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	h.Counts.add(strconv.Itoa(status))
	w.WriteHeader(status)
	if _, err := io.WriteString(w, reason+"\n"); err != nil {
		h.log.Debug("failed to write the response", zap.Error(err))
	}
}

// writeResponse responds with a status and, unless body is nil, with JSON.
func (h *Handler) writeResponse(w http.ResponseWriter, status int, body []byte) {
	h.Counts.add(strconv.Itoa(status))
	if body != nil {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(status)
	if len(body) == 0 {
		return
	}
	if _, err := w.Write(body); err != nil {
		h.log.Debug("failed to write the response", zap.Error(err))
	}
}
