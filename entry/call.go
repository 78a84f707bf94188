package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gypsumlead/claim"
	"gypsumlead/fault"
	"gypsumlead/runner"
)

// call is one request of a caller while it is served.
type call struct {
	entry    *Entry
	w        http.ResponseWriter
	r        *http.Request
	ask      ask
	progress progress
	memory   lease
	body     body
	ticket   *claim.Ticket
	free     func() // gives the slot back; may be called again
}

// serve takes the request from its headers to the outcome.
func (c *call) serve() {
	defer c.close()
	err := c.prepare()
	if err != nil {
		c.fail(err)
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.ask.deadline)
	defer cancel()
	resp, err := c.run(ctx)
	if err != nil {
		c.fail(err)
		return
	}
	if resp != nil {
		c.pass(resp)
	}
}

// prepare reads what has to be known before a slot is taken.
func (c *call) prepare() error {
	var err error
	if c.ask, err = c.entry.parse(c.r); err != nil {
		return err
	}
	c.progress.keyed = c.ask.key != ""
	c.memory = lease{memory: c.entry.memory, service: c.ask.service}
	return c.readBody()
}

// run takes a slot, claims the key if there is one, and sends. It returns no answer and no
// error where a stored answer was given.
func (c *call) run(ctx context.Context) (*runner.Response, error) {
	given, err := c.admit(ctx)
	if given || err != nil {
		return nil, err
	}
	if err := c.progress.move(stageSending); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.body.abort)
	defer stop()
	resp, err := c.entry.runs.Do(ctx, c.ask.pool, c.request())
	if err != nil {
		return nil, err
	}
	return resp, c.progress.move(stageAnswered)
}

// request is what the runners are sent.
func (c *call) request() *runner.Request {
	req := &runner.Request{
		Method:     c.r.Method,
		URL:        c.r.URL,
		Host:       c.r.Host,
		Header:     c.r.Header,
		Body:       c.body.held,
		Length:     c.body.length,
		Idempotent: c.ask.idempotent(c.r.Method),
	}
	if c.body.rest != nil {
		req.Rest = c.body.rest
	}
	if c.ticket != nil {
		req.Gate = c.ticket.Gate
	}
	return req
}

// fail answers with err, which is counted here and handled by that.
func (c *call) fail(err error) {
	err = c.tell(err)
	c.settle(fault.AnswerTo(fault.KindOf(err)).Outcome)
	c.entry.counted(err)
	if c.free != nil {
		c.free()
	}
	if !c.body.reusable() {
		c.w.Header().Set("Connection", "close")
	}
	c.writeWithin(replyTime)
	fault.Write(c.w, c.scoped(err))
}

// tell notes the outcome; one that contradicts what happened becomes a breach.
func (c *call) tell(err error) error {
	if fault.Is(err, fault.Breach) {
		c.entry.breach(err)
		return err
	}
	breach := c.progress.tell(fault.AnswerTo(fault.KindOf(err)).Outcome)
	if breach == nil {
		return err
	}
	breach = fault.Wrap(fault.Breach, errors.Join(breach, err), "answer %s %s", c.r.Method, c.r.URL.Path)
	c.entry.breach(breach)
	return breach
}

// settle ends the claim by what is known of the request.
func (c *call) settle(o fault.Outcome) {
	if c.ticket == nil {
		return
	}
	if o == fault.NotRun {
		c.ticket.NotSent()
		return
	}
	c.ticket.Unknown()
}

// scoped reminds a keyed caller that not run speaks of this request, not of earlier ones of the key.
func (c *call) scoped(err error) error {
	k := fault.KindOf(err)
	if c.ask.key == "" || fault.AnswerTo(k).Outcome != fault.NotRun {
		return err
	}
	retry := fault.RetryAfter(err)
	return fault.After(k, retry, "this attempt was not run, which says nothing of earlier ones under the key: %v", err)
}

// close gives back everything that the request holds.
func (c *call) close() {
	c.body.close()
	if err := c.memory.free(); err != nil {
		c.entry.breach(err)
	}
	if c.free != nil {
		c.free()
	}
	if c.ticket != nil {
		c.ticket.Unknown()
	}
}

// writeWithin bounds the time in which the caller must take what is written next.
func (c *call) writeWithin(d time.Duration) {
	// Where the connection has no deadlines, as in a recorder, there is nothing to bound.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(d))
}
