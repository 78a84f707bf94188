package journal

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzChange demands of every change that can be read: it is written and read as the same again,
// and whatever its content a state goes forward by it, or stays.
func FuzzChange(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var c Change
		if json.Unmarshal(data, &c) != nil {
			return
		}
		first, err := json.Marshal(c)
		require.NoError(t, err)
		var again Change
		require.NoError(t, json.Unmarshal(first, &again))
		second, err := json.Marshal(again)
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))

		s := NewState()
		n, err := s.Apply(c, c)
		require.Equal(t, int64(n), s.Seq())
		require.Equal(t, err == nil && c.Seq == 1, n == 1)
		snap, err := json.Marshal(s.Snapshot())
		require.NoError(t, err)
		read, err := DecodeSnapshot(snap)
		require.NoError(t, err)
		other := NewState()
		require.Equal(t, n == 1, other.Restore(read))
		require.Equal(t, s.Seq(), other.Seq())
	})
}
