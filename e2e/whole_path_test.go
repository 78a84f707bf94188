package e2e

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform/standin"
)

func TestOneRequestThroughSeparateProcesses(t *testing.T) {
	s := newSite(t)
	s.addRunner("runner-1", "c1", "a")
	s.addRunner("runner-2", "c2", "b")
	one := s.addEntry("entry-1", "c1")
	two := s.addEntry("entry-2", "c2")
	eventually(t, "both daemons answer operators", func() bool {
		_, c1 := s.operator(one, "status")
		_, c2 := s.operator(two, "status")
		return c1 == 0 && c2 == 0
	})

	// The operator makes a pool and a service at one daemon and puts both runners into the pool.
	pool := writeJSON(t, "pool.json", map[string]any{"schema": 2, "body": map[string]any{"budget": map[string]any{"out": 1}}})
	service := writeJSON(t, "service.json", map[string]any{"schema": 1, "body": map[string]any{
		"pool": "texts", "works": []any{map[string]any{"name": "closure", "urgency": 1, "mean": 10}},
	}})
	s.must(one, "put", "pool", "texts", "-file", pool, "-why", "first pool")
	s.must(one, "put", "service", "notices", "-file", service)
	eventually(t, "the lagging list has both runners", func() bool {
		out := s.must(one, "instances")
		return strings.Contains(out, "runner-1") && strings.Contains(out, "runner-2")
	})
	s.must(one, "move", "runner-1", "-to", "texts")
	s.must(one, "move", "runner-2", "-to", "texts")

	// It is in force at the other daemon too, and each serves a request, run exactly once.
	for i, e := range s.entries {
		id := "request-" + e.id
		eventually(t, e.id+" serves", func() bool {
			id += "x"
			code, _, body := s.ask(e, "/notices/send", id)
			return code == 200 && body == string(standin.AnswerBody(id, len(body)))
		})
		require.Equal(t, 1, s.started(id), "entry %d", i)
	}

	// What can't be served says so, and that it wasn't run.
	code, kind, _ := s.ask(two, "/nothing/send", "lost")
	require.Equal(t, 404, code)
	require.Equal(t, "missing", kind)
	require.Zero(t, s.started("lost"))

	// The decision can be explained, at any daemon.
	require.Contains(t, s.must(two, "explain", "pool", "texts"), "maria  put  version 1  why: first pool")

	// A change on an old version is refused with the version that there is; a bad one with its reason.
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
