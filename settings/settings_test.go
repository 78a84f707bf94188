package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const whole = `{"instance":"e1","centre":"c1","region":"r","store":"10.0.0.1:1","listen":{"callers":"10.0.0.2:1","ready":"10.0.0.2:2","peers":"10.0.0.2:3"},"bounds":{"hold":"6000ms"}}`

func TestSettings(t *testing.T) {
	s, err := Parse([]byte(whole))
	require.NoError(t, err)
	require.Equal(t, 6*time.Second, s.Bounds.MaxRunnerLease)
	require.False(t, s.Machines.IsValid())
	for _, tc := range []struct {
		name, in string
		want     []string
	}{
		{"not JSON", `{"a"`, []string{"settings are no JSON object"}},
		{"text behind", whole + "x", []string{"behind the JSON object"}},
		{"unknown below", `{"listen":{"callres":"127.0.0.1:1"}}`, []string{"listen.callres: unknown key"}},
		{"a number for a text", `{"instance":1,"store":"here","log":"loud"}`, []string{"instance", "store", "log: must be one of"}},
		{"the same address twice", strings.Replace(whole, "10.0.0.2:2", "10.0.0.2:1", 1), []string{"listen.ready: the same address as listen.callers"}},
		{"missing", `{}`, []string{"instance: missing", "store: missing", "listen.ready: missing"}},
		{"wrong types", `{"weight":"much","bounds":{"hold":6000}}`, []string{"weight", "bounds.hold", "with a unit"}},
		{"out of bounds", `{"weight":0,"memory":1}`, []string{"weight", "memory: must be 32 at least"}},
		{"unknown", `{"colour":1}`, []string{"colour: unknown key"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(tc.in))
			for _, w := range tc.want {
				require.ErrorContains(t, err, w)
			}
		})
	}
}
