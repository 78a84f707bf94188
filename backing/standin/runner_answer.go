package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

const defaultSize = 1 << 10 // bytes of an answer

// longHead starts an answer that nobody asked for, which follows one that is over-long.
const longHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: nobody\r\n\r\nwrong"

// AnswerBody returns the body of size bytes that a runner answers to a Request-Id.
func AnswerBody(id string, size int) []byte {
	unit := []byte("answer to " + id + "\n")
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
}

// answer writes the answer with the mishap m; an error says that a whole answer couldn't be written.
func (r *Runner) answer(w http.ResponseWriter, req *http.Request, m Mishap, id string) error {
	body := AnswerBody(id, answerSize(req))
	self := r.Instance()
	h := w.Header()
	h.Set(HeaderID, id)
	h.Set(HeaderRunner, self.ID)
	h.Set(HeaderBoot, self.Boot)
	switch m {
	case MishapRan:
		drop(hijack(w, req), true)
	case MishapAnswer, MishapBody, MishapShort, MishapLong:
		r.broken(hijack(w, req), h, m, body)
	case MishapEarly:
		w.WriteHeader(http.StatusEarlyHints)
		return r.whole(w, body)
	default:
		return r.whole(w, body)
	}
	return nil
}

// whole writes the answer in good order.
func (r *Runner) whole(w http.ResponseWriter, body []byte) error {
	r.mu.Lock()
	chunked := r.faults.Chunked
	r.mu.Unlock()
	if !chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(body); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// broken writes the answer by hand as far as the mishap lets it; write errors end it earlier.
func (r *Runner) broken(c *runnerConn, h http.Header, m Mishap, body []byte) {
	if c == nil {
		return
	}
	head := answerHead(h, len(body))
	switch m {
	case MishapAnswer:
		_, _ = c.Write(head[:len(head)/2])
		drop(c, true)
	case MishapBody:
		_, _ = c.Write(append(head, body[:len(body)/2]...))
		drop(c, true)
	case MishapShort:
		_, _ = c.Write(append(head, body[:len(body)/2]...))
		drop(c, false)
	case MishapLong:
		_, _ = c.Write(append(append(head, body...), longHead...))
		// The connection stays open until the other end closes it or the boot ends.
		_, _ = io.Copy(io.Discard, c)
		drop(c, false)
	}
}

// answerHead returns an answer's head with a declared length.
func answerHead(h http.Header, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", size)
	// A buffer takes every write.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// drop closes a hijacked connection, in good order or by a reset.
func drop(c *runnerConn, reset bool) {
	if c == nil {
		return
	}
	if reset {
		// The other end sees the reset; there is nobody else to tell.
		_ = c.reset()
	}
	_ = c.Close()
}

func answerSize(req *http.Request) int {
	n, err := strconv.Atoi(req.Header.Get(HeaderSize))
	if err != nil || n < 0 || n > answerLimit {
		return defaultSize
	}
	return n
}
