package workspace

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
)

// manyWorkspaces returns workspaces with ten keys each.
func manyWorkspaces(n int) []platform.Workspace {
	list := make([]platform.Workspace, n)
	for i := range list {
		list[i].Name = fmt.Sprintf("w%d", i)
		for k := range 10 {
			list[i].Keys = append(list[i].Keys, fmt.Sprintf("key-%d-%d", i, k))
		}
	}
	return list
}

// A lookup that goes through workspaces or keys one by one gets slower with each customer, and its duration tells how much
// of a guessed key is right. Keys are found by digest only, and the digests of two processes have nothing in common.
func TestLookupIsOneDigestWhateverTheNumberOfKeys(t *testing.T) {
	small, large := NewDirectory(NewSecret(), manyWorkspaces(1)), NewDirectory(NewSecret(), manyWorkspaces(2000))
	require.Len(t, large.names, 20_000)
	for _, key := range []string{"key-0-9", "key-0-", "unknown"} {
		lookups := func(d *Directory) float64 { return testing.AllocsPerRun(100, func() { d.Lookup(key) }) }
		require.Equal(t, lookups(small), lookups(large), "a lookup does the same work in both")
	}
	require.NotEqual(t, digestOf(small.newMAC(), "key-0-0"), digestOf(large.newMAC(), "key-0-0"))
	name, ok := large.Lookup("key-1999-9")
	require.True(t, ok)
	require.Equal(t, "w1999", name)
	for _, key := range []string{"", "key-1999", "key-1999-99", "KEY-1999-9"} {
		_, ok = large.Lookup(key)
		require.False(t, ok, key)
	}
}

// A header that isn't of the form "Bearer KEY" must not be taken as a key, nor a request with two of them be served as
// either's.
func TestIdentify(t *testing.T) {
	d := NewDirectory(NewSecret(), []platform.Workspace{{Name: "a", Keys: []string{"k1", "k2"}}})
	for _, c := range []struct {
		values  []string
		name    string
		refused Reason
	}{
		{nil, "", Missing},
		{[]string{"Bearer k2"}, "a", ""},
		{[]string{"bearer  k1"}, "a", ""},
		{[]string{""}, "", Malformed},
		{[]string{"k1"}, "", Malformed},
		{[]string{"Bearer "}, "", Malformed},
		{[]string{"Basic k1"}, "", Malformed},
		{[]string{"Bearer k1", "Bearer k2"}, "", Malformed},
		{[]string{"Bearer k3"}, "", Unknown},
		{[]string{"Bearer k1 k2"}, "", Unknown},
	} {
		name, refused := d.Identify(http.Header{"Authorization": c.values})
		require.Equal(t, c.name, name, "%q", c.values)
		require.Equal(t, c.refused, refused, "%q", c.values)
	}
}

// A withdrawn key must not be served by an old copy where the operator demands that, and callers must not stop with the
// store where he doesn't.
func TestMayServe(t *testing.T) {
	require.True(t, MayServe(time.Hour, false, 5*time.Second))
	require.True(t, MayServe(5*time.Second, true, 5*time.Second))
	require.False(t, MayServe(5*time.Second+1, true, 5*time.Second))
}

// A job must not exist for another workspace's caller or, without a key, for anybody but operators.
func TestMaySee(t *testing.T) {
	for _, c := range []struct {
		caller Caller
		owner  string
		see    bool
	}{{Of("a"), "a", true}, {Of("a"), "b", false}, {Of(""), "b", false}, {Of("a"), "", true}, {Of(""), "", true}, {Anyone(), "b", true}} {
		require.Equal(t, c.see, c.caller.MaySee(c.owner), "%+v", c)
	}
}

func BenchmarkDirectoryOf20000Keys(b *testing.B) {
	workspaces := manyWorkspaces(2000)
	for b.Loop() {
		NewDirectory(Secret{}, workspaces)
	}
}

func BenchmarkLookup(b *testing.B) {
	d := NewDirectory(NewSecret(), manyWorkspaces(2000))
	for b.Loop() {
		d.Lookup("key-1999-9")
	}
}
