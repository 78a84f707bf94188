package record

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

func TestWaveCheck(t *testing.T) {
	for _, tc := range []struct {
		name string
		in   Wave
		ok   bool
	}{
		{"pools", Wave{Pools: []string{"a"}, Order: OrderRack, Pace: 2}, true},
		{"racks", Wave{Racks: []string{"r1"}}, true},
		{"nothing", Wave{}, false},
		{"order", Wave{Pools: []string{"a"}, Order: "random"}, false},
		{"pace", Wave{Pools: []string{"a"}, Pace: -1}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.in.Check()
			require.Equal(t, tc.ok, err == nil)
			require.Equal(t, !tc.ok, fault.Is(err, fault.Invalid))
		})
	}
}

func TestWaveSelectsPoolsAndRacks(t *testing.T) {
	w := Wave{Racks: []string{"r1"}}
	require.True(t, w.Covers("any"))
	require.True(t, w.Holds("i1", "r1"))
	require.False(t, w.Holds("i1", "r2"))
	require.False(t, (&Wave{Pools: []string{"a"}}).Covers("b"))
	require.False(t, (&Wave{Instances: []string{"i2"}}).Holds("i1", "r1"))
}
