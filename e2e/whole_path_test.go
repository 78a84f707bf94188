package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOneRequestThroughSeparateProcesses(t *testing.T) {
	s := newSite(t)
	s.addRunner("runner-1", "c1", "a")
	s.addRunner("runner-2", "c2", "b")
	one := s.addEntry("entry-1", "c1")
	two := s.addEntry("entry-2", "c2")

	// The operator makes a pool and a service at one daemon and puts both runners into the pool.
	s.basics(one, "runner-1", "runner-2")

	// It is in force at the other daemon too, and each serves a request, run exactly once.
	for _, e := range s.entries {
		require.Equal(t, 1, s.started(s.serves(e)), e.id)
	}

	// What can't be served says so, and that it wasn't run.
	code, kind, _ := s.ask(two, "/nothing/send", "lost")
	require.Equal(t, 404, code)
	require.Equal(t, "missing", kind)
	require.Zero(t, s.started("lost"))

	// The decision can be explained, at any daemon.
	require.Contains(t, s.must(two, "explain", "pool", "texts"), "maria  put  version 1  why: first pool")

	// A change on an old version is refused with the version that there is; a bad one with its reason.
	pool := writeJSON(t, "again.json", map[string]any{"schema": 2, "body": map[string]any{"budget": map[string]any{"out": 1}}})
	out, code := s.operator(two, "put", "pool", "texts", "-file", pool)
	require.Equal(t, 1, code, out)
	require.Contains(t, out, "has version 1, not 0")
	out, code = s.operator(two, "delete", "pool", "texts", "-version", "1")
	require.Equal(t, 1, code, out)
	require.Contains(t, out, "change or delete that first")

	// Both stop in good order.
	require.Zero(t, one.term(), one.errs)
	require.Zero(t, two.term(), two.errs)
}
