package app

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/record"
	"gypsumlead/settings"
)

// TestNotReadyWithoutAConfiguration starts a daemon that reaches neither the platform nor a peer:
// the balancer must not send to it, and whoever asks it anyway must hear that he may come back.
func TestNotReadyWithoutAConfiguration(t *testing.T) {
	b := newBench(t, func(*settings.Settings) {})
	b.put("texts", &record.Pool{Budget: record.Budget{Out: 1}})
	b.platform.SetFaults(standin.Faults{Down: true})
	cut := b.addEntry("entry-2", func(*settings.Settings) {})
	get := func(path string) *http.Response {
		res, err := http.Get("http://" + cut.Addrs().Callers.String() + path)
		require.NoError(t, err)
		res.Body.Close()
		return res
	}
	require.Equal(t, http.StatusServiceUnavailable, get("/ready").StatusCode)
	res := get("/notices/send")
	require.Equal(t, fault.NoUpstream.String(), res.Header.Get(fault.HeaderKind))
	require.NotEmpty(t, res.Header.Get("Retry-After"))

	b.platform.SetFaults(standin.Faults{})
	require.Eventually(t, func() bool { return get("/ready").StatusCode == http.StatusOK }, patience, time.Millisecond)
	require.Equal(t, fault.Missing.String(), get("/notices/send").Header.Get(fault.HeaderKind))
}
