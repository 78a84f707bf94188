package logs

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"
)

// Limits of a trail.
const (
	maxTrailLines = 8192    // the newest lines are kept
	maxTrailBytes = 2 << 20 // small against the 184 MB of memory of a small instance
)

// Trail keeps the newest lines of a log in memory, so that recent decisions can be explained without access to the log
// files. It is safe for concurrent use.
type Trail struct {
	mu    sync.Mutex
	lines [][]byte // oldest first
	size  int
}

// Write stores a copy of one line and evicts the oldest lines beyond the limits.
func (t *Trail) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, bytes.Clone(bytes.TrimSpace(line)))
	t.size += len(line)
	evicted := 0
	for len(t.lines)-evicted > maxTrailLines || t.size > maxTrailBytes {
		t.size -= len(t.lines[evicted]) + 1
		t.lines[evicted] = nil
		evicted++
	}
	t.lines = t.lines[evicted:]
	return len(line), nil
}

// Sync does nothing: Write stores lines immediately.
func (t *Trail) Sync() error { return nil }

// Find returns the lines with a field that equals name, or that starts with name and a dot, oldest first.
func (t *Trail) Find(name string) []string {
	t.mu.Lock()
	lines := slices.Clone(t.lines) // Write clears the lines that it evicts
	t.mu.Unlock()
	var matches []string
	for _, line := range lines {
		if !bytes.Contains(line, []byte(name)) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && mentions(fields, name) {
			matches = append(matches, string(line))
		}
	}
	return matches
}
