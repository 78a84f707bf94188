package logs

import (
	"bytes"
	"encoding/json"
	"sync"
)

// Bounds of a trail.
const (
	trailLines = 8192    // newest lines that are kept
	trailBytes = 2 << 20 // and their size; a small instance has 184 MB
)

// Trail keeps the newest lines of a log, so that what was decided about something can be told without the
// log's reader. It may be used by many goroutines.
type Trail struct {
	mu    sync.Mutex
	lines [][]byte // oldest first
	size  int
}

// Write keeps a copy of one line.
func (t *Trail) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, bytes.Clone(bytes.TrimSpace(line)))
	t.size += len(line)
	gone := 0
	for len(t.lines)-gone > trailLines || t.size > trailBytes {
		t.size -= len(t.lines[gone]) + 1
		t.lines[gone] = nil
		gone++
	}
	t.lines = t.lines[gone:]
	return len(line), nil
}

// Sync does nothing; lines are kept at once.
func (t *Trail) Sync() error { return nil }

// Find returns the lines that a name stands in as a field, or as the part of one up to a dot, oldest first.
func (t *Trail) Find(name string) []string {
	t.mu.Lock()
	lines := t.lines[:len(t.lines):len(t.lines)]
	t.mu.Unlock()
	var list []string
	for _, line := range lines {
		if !bytes.Contains(line, []byte(name)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && about(fields, name) {
			list = append(list, string(line))
		}
	}
	return list
}
