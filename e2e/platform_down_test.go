package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
)

func TestEntriesGoOnWithoutThePlatform(t *testing.T) {
	s := newSite(t)
	s.addRunner("runner-1", "c1", "a")
	one := s.addEntry("entry-1", "c1")
	s.basics(one, "runner-1")
	s.serves(one)

	// The platform goes away: the running daemon serves on, and a new one starts from its peer.
	s.setFaults(standin.Faults{Down: true})
	s.serves(one)
	two := s.addEntry("entry-2", "c1")
	require.Equal(t, 1, s.started(s.serves(two)))

	// A keyed request needs the table: it is told at once that it wasn't run, and when to come back.
	req, err := http.NewRequest(http.MethodPost, "http://"+two.callers.String()+"/notices/send", strings.NewReader("x"))
	require.NoError(t, err)
	req.Header.Set("Idempotency-Key", "key-1")
	req.Header.Set("Gypsumlead-Caller", "district-7")
	req.Header.Set(standin.HeaderID, "keyed-1")
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	res.Body.Close()
	require.Equal(t, "storedown", res.Header.Get("Gypsumlead-Fault"))
	require.Equal(t, "notrun", res.Header.Get("Gypsumlead-Outcome"))
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.Zero(t, s.started("keyed-1"))

	// Changes wait until it is back, and are then in force on both.
	file := writeJSON(t, "pool.json", map[string]any{"schema": 2, "body": map[string]any{"budget": map[string]any{"out": 0}}})
	_, code := s.operator(one, "put", "pool", "texts", "-file", file, "-version", "1")
	require.Equal(t, 3, code, "not done and worth asking again")
	s.setFaults(standin.Faults{})
	s.must(one, "put", "pool", "texts", "-file", file, "-version", "1")
	eventually(t, "the change is in force at the other daemon", func() bool {
		return strings.Contains(s.must(two, "get", "pool", "texts"), `"out":0`)
	})
	require.Zero(t, one.term(), one.errs)
	require.Zero(t, two.term(), two.errs)
}
