package runner

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"gypsumlead/fault"
)

// Do sends req to a runner of the pool and returns its answer once the headers are there. An
// error of a kind that means not run says that nothing was handed to any upstream. The
// exchange ends when the answer's body is read to its end or closed.
func (f *Fleet) Do(ctx context.Context, poolName string, req *Request) (*Response, error) {
	p := f.pool(poolName)
	if p == nil {
		return nil, fault.New(fault.NoUpstream, "pool %s has no runners", poolName)
	}
	f.retry.earn()
	x := &exchange{req: req}
	for {
		resp, err := f.attempt(ctx, p, x)
		if err == nil {
			return resp, nil
		}
		if isFinal(err) || ctx.Err() != nil || !x.again(f.retry) {
			return nil, f.told(x.fail(err))
		}
		f.count.resends.Add(1)
	}
}

// noneError is the pool's refusal to give an upstream.
type noneError struct{ err error }

func (e *noneError) Error() string { return e.err.Error() }
func (e *noneError) Unwrap() error { return e.err }

// isFinal tells whether another attempt would meet the same error.
func isFinal(err error) bool {
	var g *gateError
	var n *noneError
	return errors.As(err, &g) || errors.As(err, &n) || fault.Is(err, fault.Breach)
}

// told reports a breach before it is returned.
func (f *Fleet) told(err error) error {
	if fault.Is(err, fault.Breach) {
		f.breach(err)
	}
	return err
}

// attempt picks an upstream, another one than last time if there is any, and sends the request to it once.
func (f *Fleet) attempt(ctx context.Context, p *pool, x *exchange) (*Response, error) {
	u, err := p.acquire(ctx, x.tried)
	if err != nil {
		return nil, &noneError{err: err}
	}
	resp, err := f.carry(ctx, p, u, x)
	if err != nil {
		p.release(u)
		x.tried = u
		x.last = err
	}
	return resp, err
}

// carry connects to u and sends the request.
func (f *Fleet) carry(ctx context.Context, p *pool, u *upstream, x *exchange) (*Response, error) {
	if err := x.begin(); err != nil {
		return nil, err
	}
	c, err := f.connect(ctx, p, u)
	if err != nil {
		return nil, err
	}
	return f.send(ctx, p, u, c, x)
}

// connect returns a reserved connection: an idle one that proved itself lately, or a new one.
func (f *Fleet) connect(ctx context.Context, p *pool, u *upstream) (*channel, error) {
	for {
		c := p.takeIdle(u, f.cfg.idle)
		if c == nil {
			break
		}
		if c.ready(ctx) {
			f.count.reuses.Add(1)
			return c, nil
		}
		p.distrust(u, c)
	}
	return f.open(ctx, p, u)
}

// open dials a new connection within the dial limit.
func (f *Fleet) open(ctx context.Context, p *pool, u *upstream) (*channel, error) {
	dialCtx, cancel := context.WithTimeout(ctx, f.cfg.limit)
	defer cancel()
	f.count.dials.Add(1)
	c, err := f.dial.open(dialCtx, u.instance.Addr)
	if err != nil {
		if ctx.Err() != nil {
			return nil, fault.Wrap(fault.Overload, err, "connect to runner %s: the time is up", u.instance.ID)
		}
		p.dialFailed(u)
		return nil, fault.Wrap(fault.NoUpstream, err, "connect to runner %s at %s", u.instance.ID, u.instance.Addr)
	}
	c.proved = time.Now()
	if c.ready(ctx) {
		return c, nil
	}
	c.close()
	return nil, fault.New(fault.NoUpstream, "runner %s closed a new connection", u.instance.ID)
}

// gateError is a refusal of the request's own gate; no other upstream would help.
type gateError struct{ err error }

func (e *gateError) Error() string { return e.err.Error() }
func (e *gateError) Unwrap() error { return e.err }

// errLeaves is the gate's refusal for an upstream that began to leave after it was picked.
var errLeaves = fault.New(fault.NoUpstream, "the runner is leaving")

// send carries out one exchange up to the answer's headers.
func (f *Fleet) send(ctx context.Context, p *pool, u *upstream, c *channel, x *exchange) (*Response, error) {
	if !c.link.begin(f.gate(p, u, x)) {
		p.distrust(u, c)
		return nil, fault.New(fault.NoUpstream, "runner %s sent bytes that no request asked for", u.instance.ID)
	}
	t := newTry(ctx, x, c)
	number := strconv.FormatInt(f.numbers.Add(1), 10)
	resp, err := c.client.RoundTrip(x.httpRequest(t.ctx, u.instance.Addr.String(), number))
	if t.gaveUp() && err == nil {
		err = errSilent
	}
	touched, refused := c.link.sent()
	if touched {
		x.sent++
	}
	if err == nil {
		err = checkAnswer(resp)
	}
	if err == nil && !f.cfg.off.echo {
		err = c.checkNumber(resp, number)
	}
	if err == nil {
		return f.answer(p, u, c, x, resp, t), nil
	}
	c.close()
	t.cancel(nil)
	why := refused
	if why == nil {
		why = f.failed(ctx, p, u, t, touched, err)
	}
	return nil, x.attempted(touched, why)
}

// gate joins the upstream's state and the request's own gate.
func (f *Fleet) gate(p *pool, u *upstream, x *exchange) func() error {
	return func() error {
		if !f.cfg.off.gate && p.isLeaving(u) {
			return errLeaves
		}
		if x.req.Gate == nil {
			return nil
		}
		if err := x.req.Gate(); err != nil {
			return &gateError{err: err}
		}
		return nil
	}
}

// failed says what an exchange without an answer means, and draws the conclusions for the upstream.
func (f *Fleet) failed(ctx context.Context, p *pool, u *upstream, t *try, touched bool, err error) error {
	who := u.instance.ID
	if !touched && ctx.Err() != nil {
		return fault.Wrap(fault.Overload, err, "send to runner %s: the time is up", who)
	}
	if !touched {
		return fault.Wrap(fault.NoUpstream, err, "send to runner %s: nothing was sent", who)
	}
	if ctx.Err() != nil || t.silent {
		f.silent(p, u, t.started, !errors.Is(ctx.Err(), context.Canceled))
		return fault.Wrap(fault.Timeout, err, "no answer from runner %s in time", who)
	}
	f.failedOnce(p, u)
	return fault.Wrap(fault.Broken, err, "the answer of runner %s broke off", who)
}

// failedOnce casts doubt on an upstream.
func (f *Fleet) failedOnce(p *pool, u *upstream) {
	if !f.cfg.off.doubt {
		p.answered(u, false)
	}
}

// silent condemns the idle connections that have proved nothing since an exchange that timed
// out began; new connections are used at once.
func (f *Fleet) silent(p *pool, u *upstream, started time.Time, timedOut bool) {
	if !timedOut {
		return
	}
	f.failedOnce(p, u)
	if f.cfg.off.condemn {
		return
	}
	f.count.condemned.Add(int64(p.condemn(u, started)))
}

// checkAnswer refuses answers whose end can't be told from a broken connection.
func checkAnswer(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return fault.New(fault.Broken, "the answer has status %d", resp.StatusCode)
	}
	if resp.ContentLength < 0 && !isChunked(resp) && resp.Body != http.NoBody {
		return fault.New(fault.Broken, "the answer has neither a length nor chunks")
	}
	return nil
}

func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}
