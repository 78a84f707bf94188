package workspace

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
)

// A lookup that goes through workspaces or keys one by one gets slower with each customer, and its duration tells how much
// of a guessed key is right. Keys are found by digest only, and the digests of two processes have nothing in common.
func TestLookupIsOneDigestWhateverTheNumberOfKeys(t *testing.T) {
	workspaces := make([]platform.Workspace, 2000)
	for i := range workspaces {
		workspaces[i].Name = fmt.Sprintf("w%d", i)
		for k := range 10 {
			workspaces[i].Keys = append(workspaces[i].Keys, fmt.Sprintf("key-%d-%d", i, k))
		}
	}
	small, large := NewDirectory(NewSecret(), workspaces[:1]), NewDirectory(NewSecret(), workspaces)
	require.Len(t, large.names, 20_000)
	for _, key := range []string{"key-0-9", "", "key-0-", "key-0-99", "KEY-0-9"} {
		work := func(d *Directory) float64 { return testing.AllocsPerRun(100, func() { d.Lookup(key) }) }
		require.Equal(t, work(small), work(large))
		name, ok := large.Lookup(key)
		require.Equal(t, key == "key-0-9", ok)
		require.Equal(t, ok, name == "w0")
	}
	require.NotEqual(t, digestOf(small.newMAC(), "key-0-0"), digestOf(large.newMAC(), "key-0-0"))
}

// A header that isn't of the form "Bearer KEY" must not be taken as a key, nor a request with two of them be served as
// either's.
func TestIdentify(t *testing.T) {
	d := NewDirectory(NewSecret(), []platform.Workspace{{Name: "a", Keys: []string{"k1", "k2"}}})
	for refused, headers := range map[Reason][][]string{
		"":        {{"Bearer k2"}, {"bearer  k1"}},
		Missing:   {nil},
		Malformed: {{""}, {"k1"}, {"Bearer "}, {"Basic k1"}, {"Bearer k1", "Bearer k2"}},
		Unknown:   {{"Bearer k3"}, {"Bearer k1 k2"}},
	} {
		for _, values := range headers {
			name, got := d.Identify(http.Header{"Authorization": values})
			require.Equal(t, refused, got, "%q", values)
			require.Equal(t, refused == "", name == "a")
		}
	}
}

// A withdrawn key must not be served by an old copy where the operator demands that, and callers must not stop with the
// store where he doesn't. A job must not exist for another workspace's caller.
func TestMayServeAndMaySee(t *testing.T) {
	require.True(t, MayServe(time.Hour, false, 5*time.Second))
	require.True(t, MayServe(5*time.Second, true, 5*time.Second))
	require.False(t, MayServe(5*time.Second+1, true, 5*time.Second))
	for _, c := range []struct {
		caller Caller
		owner  string
		see    bool
	}{{Of("a"), "a", true}, {Of("a"), "b", false}, {Of(""), "b", false}, {Of("a"), "", true}, {Of(""), "", true}, {Anyone(), "b", true}} {
		require.Equal(t, c.see, c.caller.MaySee(c.owner), "%+v", c)
	}
}
