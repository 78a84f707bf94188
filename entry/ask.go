package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"gypsumlead/fault"
	"gypsumlead/record"
)

// ask is what a request's path and headers say.
type ask struct {
	service  string
	pool     string
	work     record.Work
	caller   string
	key      string
	life     time.Duration // of the key
	deadline time.Time
}

// idempotent tells whether the request may be sent again without harm; a keyed one never is.
func (a ask) idempotent(method string) bool {
	if a.key != "" {
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return a.work.Idempotent
}

// parse reads the path and headers of r.
func (e *Entry) parse(r *http.Request) (ask, error) {
	a := ask{caller: r.Header.Get(HeaderCaller)}
	if r.Method == http.MethodConnect {
		return a, fault.New(fault.Invalid, "method CONNECT is not served")
	}
	a.service, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	svc, pool, ok := e.routes.Route(a.service)
	if !ok {
		return a, e.unknownService(a.service)
	}
	a.pool = pool
	var err error
	if a.work, err = findWork(svc, r.Header.Get(HeaderWork)); err != nil {
		return a, err
	}
	limit := svc.Timeout.Duration()
	if limit == 0 {
		limit = e.cfg.timeout
	}
	if a.deadline, err = parseDeadline(r.Header.Get(HeaderTimeout), limit); err != nil {
		return a, err
	}
	return a, a.parseKey(r)
}

// findWork returns the kind of work of the given name, or the service's first.
func findWork(svc record.Service, name string) (record.Work, error) {
	for _, w := range svc.Works {
		if name == "" || w.Name == name {
			return w, nil
		}
	}
	return record.Work{}, fault.New(fault.Invalid, "%s: the service has no kind of work %q", HeaderWork, name)
}

// parseDeadline returns when the request's time is up.
func parseDeadline(value string, limit time.Duration) (time.Time, error) {
	limit = min(limit, timeoutLimit)
	if value != "" {
		ms, err := strconv.ParseInt(value, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, fault.New(fault.Invalid, "%s: %q is no number of milliseconds", HeaderTimeout, value)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return time.Now().Add(limit), nil
}

// parseKey reads the idempotency key and its life.
func (a *ask) parseKey(r *http.Request) error {
	keys := r.Header.Values(HeaderKey)
	if len(keys) == 0 {
		return nil
	}
	a.key = keys[0]
	if len(keys) > 1 || a.key == "" || len(a.key) > keyLimit {
		return fault.New(fault.Invalid, "%s: give one key of 1 to %d bytes", HeaderKey, keyLimit)
	}
	if a.caller == "" {
		return fault.New(fault.Unauthorized, "a keyed request needs %s, which the platform's edge sets", HeaderCaller)
	}
	a.life = lifeDefault
	value := r.Header.Get(HeaderLife)
	if value == "" {
		return nil
	}
	s, err := strconv.ParseInt(value, 10, 32)
	a.life = time.Duration(s) * time.Second
	if err != nil || a.life < lifeFloor || a.life > lifeLimit {
		return fault.New(fault.Invalid, "%s: give %d to %d seconds", HeaderLife, int(lifeFloor.Seconds()), int(lifeLimit.Seconds()))
	}
	return nil
}

// unknownService is the answer to a request for a service that isn't there, or not known here yet.
func (e *Entry) unknownService(name string) error {
	if !e.cfg.ready() {
		return fault.New(fault.NoUpstream, "this entry has no configuration yet")
	}
	return fault.New(fault.Missing, "there is no service %q", name)
}
