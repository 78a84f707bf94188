package runner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"gypsumlead/fault"
)

// httpRequest builds the request for one attempt.
func (x *exchange) httpRequest(ctx context.Context, addr, number string) *http.Request {
	target := *x.req.URL
	target.Scheme = "http"
	target.Host = addr
	hr := &http.Request{
		Method:        x.req.Method,
		URL:           &target,
		Host:          x.req.Host,
		Header:        EndToEnd(x.req.Header),
		Body:          x.body(),
		ContentLength: x.req.Length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if _, ok := hr.Header["User-Agent"]; !ok {
		hr.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	hr.Header[HeaderExchange] = []string{number}
	return hr.WithContext(ctx)
}

// body returns the request's body and notes when the part that can't be read again is read.
func (x *exchange) body() io.ReadCloser {
	if x.req.replayable() {
		return x.req.reader()
	}
	return &spendReader{ReadCloser: x.req.reader(), spent: &x.spent}
}

// spendReader notes that a body was read.
type spendReader struct {
	io.ReadCloser
	spent *atomic.Bool
}

// Read marks the body as spent and reads on.
func (r *spendReader) Read(p []byte) (int, error) {
	r.spent.Store(true)
	return r.ReadCloser.Read(p)
}

// answer wraps resp so that the exchange ends with its body.
func (f *Fleet) answer(p *pool, u *upstream, c *channel, x *exchange, resp *http.Response, t *try) *Response {
	a := &answerBody{fleet: f, pool: p, upstream: u, channel: c, resp: resp, try: t}
	out := &Response{
		Status:   resp.StatusCode,
		Header:   EndToEnd(resp.Header),
		Length:   resp.ContentLength,
		Trailer:  resp.Trailer,
		Body:     a,
		Instance: u.instance.ID,
		Boot:     u.instance.Boot,
	}
	delete(out.Header, HeaderExchange)
	if resp.Body == http.NoBody || x.req.Method == http.MethodHead {
		a.finish(nil)
	}
	return out
}

// answerBody is an answer's body; the exchange ends with its end, its first error or Close.
type answerBody struct {
	fleet    *Fleet
	pool     *pool
	upstream *upstream
	channel  *channel
	resp     *http.Response
	try      *try
	ended    bool
	err      error
}

// Read passes on the body; an answer that breaks off ends with an error other than io.EOF.
func (a *answerBody) Read(p []byte) (int, error) {
	if a.ended {
		return 0, a.err
	}
	n, err := a.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF: // and no error that wraps it
		a.finish(nil)
	default:
		a.finish(err)
	}
	return n, a.err
}

// Close ends the exchange; an answer that was not read to its end costs the connection.
func (a *answerBody) Close() error {
	if !a.ended {
		a.finish(context.Canceled)
	}
	return nil
}

// finish ends the exchange once: a whole answer keeps the connection, anything else closes it.
func (a *answerBody) finish(err error) {
	a.ended = true
	defer a.try.cancel(nil)
	defer a.pool.release(a.upstream)
	if err != nil {
		a.err = a.broken(err)
		a.channel.close()
		return
	}
	a.err = io.EOF
	if a.resp.StatusCode < http.StatusInternalServerError {
		a.pool.answered(a.upstream, true)
	} else {
		a.fleet.failedOnce(a.pool, a.upstream)
	}
	a.channel.settle = a.channel.link.end()
	a.channel.proved = time.Now()
	if a.resp.Close || a.fleet.cfg.idle <= 0 {
		a.channel.close()
		return
	}
	if a.channel.client.Available() == 0 {
		a.pool.distrust(a.upstream, a.channel)
		return
	}
	a.pool.giveBack(a.upstream, a.channel)
}

// broken names the error of an answer that broke off.
func (a *answerBody) broken(err error) error {
	who := a.upstream.instance.ID
	if errors.Is(err, context.Canceled) {
		return fault.Wrap(fault.Broken, err, "the answer of runner %s was given up", who)
	}
	timedOut := errors.Is(err, context.DeadlineExceeded)
	if timedOut {
		a.fleet.silent(a.pool, a.upstream, a.try.started, true)
		return fault.Wrap(fault.Timeout, err, "the answer of runner %s did not end in time", who)
	}
	a.fleet.failedOnce(a.pool, a.upstream)
	return fault.Wrap(fault.Broken, err, "the answer of runner %s broke off", who)
}
