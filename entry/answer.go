package entry

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"gypsumlead/claim"
	"gypsumlead/fault"
	"gypsumlead/runner"
)

const (
	replyTime   = 5 * time.Second // for a caller to take a small answer
	headStep    = 4 << 10         // bytes that an answer's buffer starts with
	copySize    = 32 << 10        // bytes
	storedLimit = 2 << 10         // bytes of an answer that is kept for repeats of its key
)

// pass gives the caller an upstream's answer. One that fits in the buffer is read whole before
// the caller sees any of it, which frees the slot from slow callers and turns an answer that
// breaks off into a plain error; a larger one that breaks off breaks the caller's connection.
func (c *call) pass(resp *runner.Response) {
	// Closing after the end does nothing; before it, it gives up the exchange.
	defer func() { _ = resp.Body.Close() }()
	head, whole, err := c.readHead(resp)
	if err != nil {
		c.fail(err)
		return
	}
	if !whole && resp.Length < 0 && !c.r.ProtoAtLeast(1, 1) {
		c.fail(fault.New(fault.Broken, "an answer of unknown length can't be given whole over %s", c.r.Proto))
		return
	}
	if err := c.progress.tell(fault.Ran); err != nil {
		c.fail(err)
		return
	}
	c.copyHeader(resp)
	if whole {
		c.passWhole(resp, head)
		return
	}
	c.stream(resp, head)
}

// readHead reads as much of the answer as the buffer and the memory hold.
func (c *call) readHead(resp *runner.Response) (head []byte, whole bool, err error) {
	limit := c.entry.cfg.buffer
	if resp.Length >= 0 {
		limit = int(min(resp.Length, int64(limit)))
	}
	// One byte more lets a read see the end of an answer that just fits.
	head = make([]byte, 0, min(limit, headStep)+1)
	for {
		if len(head) == cap(head) {
			if cap(head) > limit || !c.memory.grow(cap(head)) {
				return head, false, nil
			}
			head = slices.Grow(head, min(cap(head), limit+1-cap(head)))
		}
		n, err := resp.Body.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if err == io.EOF {
			return head, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// copyHeader prepares the answer's headers.
func (c *call) copyHeader(resp *runner.Response) {
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if !c.body.reusable() {
		h.Set("Connection", "close")
	}
	h.Set(fault.HeaderOutcome, string(fault.Ran))
	h.Del(fault.HeaderKind)
	h.Del(HeaderReplay)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing
	}
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
}

// passWhole writes an answer that is in memory, after the slot was given back.
func (c *call) passWhole(resp *runner.Response, head []byte) {
	c.free()
	c.store(resp, head)
	if c.r.Method != http.MethodHead && len(resp.Trailer) == 0 && hasBody(resp.Status) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(head)))
	}
	c.entry.count.answers.Add(1)
	c.writeWithin(c.timeFor(len(head)))
	c.w.WriteHeader(resp.Status)
	// The caller may have left; there is nobody else to tell.
	_, _ = c.w.Write(head)
	c.copyTrailer(resp)
}

// hasBody tells whether answers of the status may carry a body.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// store ends the claim: the request ran, and a small answer is kept for repeats.
func (c *call) store(resp *runner.Response, head []byte) {
	if c.ticket == nil {
		return
	}
	if len(head) > storedLimit || len(resp.Trailer) > 0 {
		c.ticket.Done(nil)
		return
	}
	a := &claim.Answer{Status: resp.Status, Body: head}
	if t := resp.Header.Get("Content-Type"); t != "" {
		a.Header = http.Header{"Content-Type": {t}}
	}
	c.ticket.Done(a)
}

// stream passes on a large answer as it comes.
func (c *call) stream(resp *runner.Response, head []byte) {
	c.w.WriteHeader(resp.Status)
	if err := c.writeAll(head); err != nil {
		c.abort()
	}
	buf := make([]byte, copySize)
	for {
		n, err := resp.Body.Read(buf)
		if werr := c.writeAll(buf[:n]); werr != nil {
			c.abort()
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			c.abort()
		}
	}
	if c.ticket != nil {
		c.ticket.Done(nil)
	}
	c.copyTrailer(resp)
	c.entry.count.answers.Add(1)
}

// abort breaks the caller's connection, so that a part can't look whole; it does not return.
func (c *call) abort() {
	c.entry.count.aborted.Add(1)
	panic(http.ErrAbortHandler)
}

// writeAll writes p within the time that the least rate allows.
func (c *call) writeAll(p []byte) error {
	c.writeWithin(c.timeFor(len(p)))
	_, err := c.w.Write(p)
	return err
}

// timeFor is how long a caller may take for n bytes.
func (c *call) timeFor(n int) time.Duration {
	return replyTime + time.Duration(n)*time.Second/time.Duration(c.entry.cfg.rate)
}

// copyTrailer sends the trailers, which are known at the end of the body.
func (c *call) copyTrailer(resp *runner.Response) {
	h := c.w.Header()
	for name, values := range resp.Trailer {
		h[name] = values
	}
}

// replay gives the answer that an earlier request of the key got.
func (c *call) replay(a claim.Answer) {
	if err := c.progress.tell(fault.Ran); err != nil {
		c.fail(err)
		return
	}
	c.entry.count.replays.Add(1)
	h := c.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(HeaderReplay, "1")
	h.Set(fault.HeaderOutcome, string(fault.Ran))
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	c.writeWithin(replyTime)
	c.w.WriteHeader(a.Status)
	// The caller may have left; there is nobody else to tell.
	_, _ = c.w.Write(a.Body)
}
