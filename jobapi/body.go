package jobapi

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"gypsumlead/admission"
	"gypsumlead/leader"
	"gypsumlead/platform"
	"gypsumlead/work"
)

// Defaults and sizes of bodies.
const (
	defaultBodyTime = 30 * time.Second // for the whole body, if none is set
	firstBodyBuffer = 512              // bytes
	memoryPerStep   = 256              // bytes that a decoded step takes at the least
	largeBody       = 1 << 10          // bytes, from which a body is decoded beside few others only
	largeDecodings  = 4                // at the same time
)

// errBodyTooSlow is the error of a body that hasn't arrived within the time for bodies.
var errBodyTooSlow = errors.New("the body has not arrived in time")

// WithBodyTime sets the time within which a body has to arrive.
func WithBodyTime(within time.Duration) Option {
	return func(h *Handler) { h.bodyTime = within }
}

// readBody reads a body of at most limit bytes as held grants the memory. Its connection's reads are cut off when the time for bodies
// is over or the body has to give way.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, held *admission.Body, limit int64) ([]byte, error) {
	conn := http.NewResponseController(w)
	// Not supported by some tests' writers; they aren't slow.
	_ = conn.SetReadDeadline(time.Now().Add(h.bodyTime))
	body, err := readGranted(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, held)
	switch {
	case held.Evicted():
		return nil, admission.ErrEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errBodyTooSlow
	case err != nil:
		return nil, err // it isn't complete, and may still give way
	}
	if err := held.Grow(decodedSize(body)); err != nil {
		return nil, err
	}
	if err := held.Complete(); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Time{})
	return body, nil
}

// readGranted reads all of r into memory that is granted as bytes arrive. A size of -1 is unknown.
func readGranted(r io.Reader, size, limit int64, held *admission.Body) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			next := nextCapacity(int64(cap(body)), size, limit)
			if err := held.Grow(next - int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// decodedSize returns the memory that a body's steps take once decoded: a job of many short steps takes 20 times its text.
func decodedSize(body []byte) int64 {
	return int64(min(bytes.Count(body, []byte("{")), work.MaxSteps)) * memoryPerStep
}

// nextCapacity returns the capacity that follows a full buffer: twice as much, but no more than the body can need.
func nextCapacity(full, size, limit int64) int64 {
	if size >= 0 {
		limit = min(limit, size)
	}
	if full >= limit {
		return full + firstBodyBuffer // for the read that finds the end, or that the body is too large
	}
	return min(max(2*full, firstBodyBuffer), limit)
}

// decodeJob decodes a job. Few large ones are decoded at the same time, as decoding takes several times their size.
func (h *Handler) decodeJob(body []byte) (work.Job, error) {
	if len(body) >= largeBody {
		h.decodings <- struct{}{}
		defer func() { <-h.decodings }()
	}
	return platform.DecodeJob(body)
}

// writeUnread responds to a submission whose body could not be read. Nothing was done of it, but an earlier try of the same job may have
// been stored, so that it isn't refused.
func (h *Handler) writeUnread(w http.ResponseWriter, err error) {
	why := "time"
	if errors.Is(err, admission.ErrEvicted) {
		why = "memory"
	}
	h.BodyRefusals.add(why)
	h.log.Info("body refused", zap.String("why", why))
	h.writeUnknown(w, leader.Result{Verdict: leader.Unknown, Retry: minRetryAfter, Why: err.Error()})
}
