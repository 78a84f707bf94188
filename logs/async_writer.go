package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"gypsumlead/sleep"
)

// Limits of the writer.
const (
	maxBufferBytes = 1 << 20                // pending for a slow reader; further lines are dropped
	flushInterval  = 100 * time.Millisecond // lines of one interval share one write, and so one system call
)

// AsyncWriter buffers lines for a slower writer; its Write never blocks and never fails.
type AsyncWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu        sync.Mutex
	buffer    []byte
	lineCount int
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}
}

// NewAsyncWriter returns a writer that passes lines to out in the background until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for w.waitForLines() {
			w.flush()
		}
		w.flush()
	}()
	return w
}

// waitForLines waits until there are lines to flush; it returns false once the writer is closed.
func (w *AsyncWriter) waitForLines() bool {
	select {
	case <-w.stop:
		return false
	case <-w.wake:
	}
	t := time.NewTimer(flushInterval)
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
	data, lines := w.buffer, w.lineCount
	w.buffer, w.lineCount = nil, 0
	w.mu.Unlock()
	if len(data) == 0 {
		return
	}
	if _, err := w.out.Write(data); err != nil {
		w.dropped.Add(int64(lines)) // the log itself failed, so the loss can only be counted
	}
}

// Write buffers one line, or drops it if the buffer is full.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := len(w.buffer)+len(line) > maxBufferBytes
	if !full {
		w.buffer = append(w.buffer, line...)
		w.lineCount++
	}
	w.mu.Unlock()
	if full {
		w.dropped.Add(1)
	}
	sleep.Wake(w.wake)
	return len(line), nil
}

// Sync does nothing: lines are flushed in the background.
func (w *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of lines lost because the buffer was full or a write failed.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close flushes the buffer; it waits at most flushInterval for a blocked reader.
func (w *AsyncWriter) Close() {
	close(w.stop)
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
