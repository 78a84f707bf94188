package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"gypsumlead/fault"
)

const bodyStep = 4 << 10 // bytes by which a body's buffer grows at first

// body is a request's body: the part in memory, and a reader of what follows it.
type body struct {
	held   []byte
	rest   *upload // nil if held is all
	length int64   // -1 if it isn't known
}

// abort makes a read of the rest fail, so that nobody waits for a caller any longer.
func (b *body) abort() {
	if b.rest != nil {
		b.rest.abort()
	}
}

// reusable tells whether the caller's connection is fit for a further request.
func (b *body) reusable() bool {
	return b.rest == nil || b.rest.reusable()
}

// close makes sure that nothing reads the rest after the handler has returned.
func (b *body) close() {
	if b.rest != nil {
		b.rest.close()
	}
}

// readBody reads the body up to the buffer's size; a keyed one, whose digest is needed, must be
// read whole. The time for it is bounded, and the memory is taken as the bytes come.
func (c *call) readBody() error {
	cfg := &c.entry.cfg
	limit := cfg.buffer
	if c.ask.key != "" {
		limit = cfg.keyed
	}
	if c.r.ContentLength > cfg.body || c.ask.key != "" && c.r.ContentLength > int64(limit) {
		return fault.New(fault.TooLarge, "a body of %d bytes is over the limit", c.r.ContentLength)
	}
	c.body.length = c.r.ContentLength
	if c.r.Body == nil || c.r.Body == http.NoBody {
		c.body.length = 0
		return nil
	}
	ctl := http.NewResponseController(c.w)
	// Where the connection has no deadlines, as in a recorder, there is nothing to bound.
	_ = ctl.SetReadDeadline(c.uploadEnd())
	whole, err := c.fill(limit)
	if err != nil {
		return err
	}
	_ = ctl.SetReadDeadline(time.Time{})
	if whole {
		c.body.length = int64(len(c.body.held))
		return nil
	}
	if c.ask.key != "" {
		return fault.New(fault.TooLarge, "a keyed request's body is limited to %d bytes", limit)
	}
	c.body.rest = newUpload(c.r.Body, ctl, cfg.rate, cfg.body-int64(len(c.body.held)))
	return nil
}

// uploadEnd is when the buffered part of the body must be here.
func (c *call) uploadEnd() time.Time {
	end := time.Now().Add(c.entry.cfg.upload)
	if c.ask.deadline.Before(end) {
		return c.ask.deadline
	}
	return end
}

// fill reads up to limit bytes and tells whether that was all.
func (c *call) fill(limit int) (bool, error) {
	for {
		if err := c.makeRoom(limit); err != nil {
			return false, err
		}
		held := c.body.held
		if len(held) == cap(held) {
			return c.atEnd()
		}
		n, err := c.r.Body.Read(held[len(held):cap(held)])
		c.body.held = held[:len(held)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, fault.Wrap(fault.Invalid, err, "read the body: %d bytes came in time", len(c.body.held))
		}
	}
}

// makeRoom grows a full buffer, up to limit or the declared length.
func (c *call) makeRoom(limit int) error {
	size := cap(c.body.held)
	if c.r.ContentLength >= 0 {
		limit = int(min(c.r.ContentLength, int64(limit)))
	}
	if len(c.body.held) < size || size >= limit {
		return nil
	}
	next := min(max(2*size, bodyStep), limit)
	if !c.memory.grow(next - size) {
		return fault.New(fault.Overload, "the memory for bodies of service %s is used up", c.ask.service)
	}
	grown := make([]byte, size, next)
	copy(grown, c.body.held)
	c.body.held = grown
	return nil
}

// atEnd tells whether a full buffer holds the whole body.
func (c *call) atEnd() (bool, error) {
	if c.r.ContentLength >= 0 {
		return int64(len(c.body.held)) == c.r.ContentLength, nil
	}
	var one [1]byte
	n, err := io.ReadFull(c.r.Body, one[:])
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	if err != nil {
		return false, fault.Wrap(fault.Invalid, err, "read the body")
	}
	c.body.held = append(c.body.held, one[:n]...)
	return false, nil
}
