package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `{"instance":"e1","centre":"c1","region":"r","store":"10.0.0.1:1","listen":{"callers":"10.0.0.2:1","ready":"10.0.0.2:2","peers":"10.0.0.2:3"},"bounds":{"hold":"6000ms"}}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, 6*time.Second, s.Bounds.MaxRunnerLease)
	require.False(t, s.Machines.IsValid())
	require.Equal(t, 2*time.Second, s.Bounds.ApplyWithin)
	require.Equal(t, 3*time.Second, s.Bounds.ContactTime)
	for _, tc := range []struct {
		name, in string
		want     []string
	}{
		{"not JSON", `{"a"`, []string{"settings are no JSON object"}},
		{"data after the object", validSettings + "x", []string{"behind the JSON object"}},
		{"unknown nested key", `{"listen":{"callres":"127.0.0.1:1"}}`, []string{"listen.callres: unknown key"}},
		{"number for a string", `{"instance":1,"store":"here","log":"loud"}`, []string{"instance", "store", "log: must be one of"}},
		{"duplicate address", strings.Replace(validSettings, "10.0.0.2:2", "10.0.0.2:1", 1), []string{"listen.ready: the same address as listen.callers"}},
		{"missing keys", `{}`, []string{"instance: missing", "store: missing", "listen.ready: missing"}},
		{"wrong types of values", `{"weight":"much","bounds":{"hold":6000}}`, []string{"weight", "bounds.hold", "with a unit"}},
		{"out of range", `{"weight":0,"memory":1,"bounds":{"apply":"0s"}}`, []string{"weight", "memory: must be 32 at least", "bounds.apply: must be 500ms at least"}},
		{"unknown key", `{"colour":1}`, []string{"colour: unknown key"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(tc.in))
			for _, text := range tc.want {
				require.ErrorContains(t, err, text)
			}
		})
	}
}
