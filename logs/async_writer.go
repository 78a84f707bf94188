package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"gypsumlead/sleep"
)

// Bounds of the writer.
const (
	bufferMost = 1 << 20                // bytes that wait for a slow reader; lines beyond are dropped
	flushEvery = 100 * time.Millisecond // lines of this time go out in one write: each write costs a system call
)

// AsyncWriter passes lines on to a slower writer; it never blocks and never fails.
type AsyncWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
	lines  int
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}
}

// NewAsyncWriter returns a writer that passes lines on to out until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for w.next() {
			w.flush()
		}
		w.flush()
	}()
	return w
}

// next waits for lines; it is false once the writer is closed.
func (w *AsyncWriter) next() bool {
	select {
	case <-w.stop:
		return false
	case <-w.wake:
	}
	t := time.NewTimer(flushEvery)
	defer t.Stop()
	select {
	case <-w.stop:
		return false
	case <-t.C:
		return true
	}
}

func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines, n := w.buffer, w.lines
	w.buffer, w.lines = nil, 0
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := w.out.Write(lines); err != nil {
		w.dropped.Add(int64(n)) // there is no other place to tell it
	}
}

// Write takes one line, or drops it where too much is waiting.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := len(w.buffer)+len(line) > bufferMost
	if !full {
		w.buffer = append(w.buffer, line...)
		w.lines++
	}
	w.mu.Unlock()
	if full {
		w.dropped.Add(1)
	}
	sleep.Wake(w.wake)
	return len(line), nil
}

// Sync does nothing: lines go out by themselves.
func (w *AsyncWriter) Sync() error { return nil }

// Dropped returns how many lines were lost.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close passes on what waits; a reader that is stuck is not waited for longer than a moment.
func (w *AsyncWriter) Close() {
	close(w.stop)
	t := time.NewTimer(flushEvery)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
