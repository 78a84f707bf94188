package entry

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// uploadGrace is how long a caller may send nothing of a body that is passed on as it comes.
const uploadGrace = 5 * time.Second

var (
	errTooLong = errors.New("the body is over the limit")
	errGivenUp = errors.New("the request was given up")
)

// upload reads the part of a body that isn't held in memory. The caller must keep a least rate,
// and no read outlasts the handler.
type upload struct {
	from    io.Reader
	ctl     *http.ResponseController
	rate    int
	left    int64
	stopped atomic.Bool

	mu    sync.Mutex // held during a read
	end   sync.Mutex // guards ended, and the deadline against it
	ended bool       // the body was read to its end
}

func newUpload(from io.Reader, ctl *http.ResponseController, rate int, limit int64) *upload {
	return &upload{from: from, ctl: ctl, rate: rate, left: limit}
}

// Read reads on, within the time that the least rate allows.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	// An abort after this check moves the deadline into the past, after the one set here.
	u.deadline(time.Now().Add(uploadGrace + time.Duration(len(p)/u.rate)*time.Second))
	if u.stopped.Load() {
		return 0, errGivenUp
	}
	n, err := u.from.Read(p)
	u.left -= int64(n)
	if u.left < 0 {
		return 0, errTooLong
	}
	if err == io.EOF {
		u.finish()
	}
	return n, err
}

// deadline bounds the next read; where the connection has no deadlines there is nothing to bound.
func (u *upload) deadline(t time.Time) {
	_ = u.ctl.SetReadDeadline(t)
}

// finish lifts the deadline at the body's end, where net/http begins to watch for the caller's leaving.
func (u *upload) finish() {
	u.end.Lock()
	defer u.end.Unlock()
	u.ended = true
	u.deadline(time.Time{})
}

// abort ends a read in progress and refuses further ones. After the body's end it must not touch
// the deadline: net/http would take the error for the caller's leaving and cancel the next request.
func (u *upload) abort() {
	u.stopped.Store(true)
	u.end.Lock()
	defer u.end.Unlock()
	if !u.ended {
		u.deadline(time.Now().Add(-time.Second))
	}
}

// close waits until no read is in progress.
func (u *upload) close() {
	u.abort()
	u.mu.Lock()
	defer u.mu.Unlock()
}

// reusable tells whether the caller's connection is fit for a further request.
func (u *upload) reusable() bool {
	u.end.Lock()
	defer u.end.Unlock()
	return u.ended && !u.stopped.Load()
}
