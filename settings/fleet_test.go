package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const wholeFleet = `{"instance":"e1","centre":"c1","region":"r","store":"10.0.0.1:1","listen":{"callers":"10.0.0.2:1","ready":"10.0.0.2:2","peers":"10.0.0.2:3"},"bounds":{"hold":"6000ms"}}`

func TestFleetSettings(t *testing.T) {
	s, err := ParseFleet([]byte(wholeFleet))
	require.NoError(t, err)
	require.Equal(t, 6*time.Second, s.Bounds.Hold)
	require.False(t, s.Machines.IsValid())
	for _, tc := range []struct {
		name, in string
		want     []string
	}{
		{"missing", `{}`, []string{"instance: missing", "store: missing", "listen.ready: missing"}},
		{"wrong types", `{"weight":"much","bounds":{"hold":6000}}`, []string{"weight", "bounds.hold", "with a unit"}},
		{"out of bounds", `{"weight":0,"memory":1}`, []string{"weight", "memory: must be 32 at least"}},
		{"unknown", `{"colour":1}`, []string{"colour: unknown key"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseFleet([]byte(tc.in))
			for _, w := range tc.want {
				require.ErrorContains(t, err, w)
			}
		})
	}
}
