package pool

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

func TestCheckMembers(t *testing.T) {
	a, b := State{Members: []Member{{ID: "x"}}}, State{Members: []Member{{ID: "y"}}}
	for _, tc := range []struct {
		name    string
		states  map[string]State
		records map[string]string
		text    string
	}{
		{"agree", map[string]State{"a": a, "b": b}, map[string]string{"x": "a", "y": "b"}, ""},
		{"two rows", map[string]State{"a": a, "b": a}, map[string]string{"x": "a"}, "is in pools"},
		{"other row", map[string]State{"a": a, "b": b}, map[string]string{"x": "b", "y": "b"}, "record of pool b"},
		{"no row", map[string]State{"a": a}, map[string]string{"x": "a", "y": "b"}, `row of ""`},
		{"no record", map[string]State{"a": a}, nil, "has no record"},
		{"broken row", map[string]State{"a": {Takes: []Take{{Instance: "x"}}}}, nil, "taken but no member"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := CheckMembers(tc.states, tc.records)
			if tc.text == "" {
				require.NoError(t, err)
				return
			}
			require.True(t, fault.Is(err, fault.Breach))
			require.ErrorContains(t, err, tc.text)
		})
	}
}
