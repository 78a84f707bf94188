package audit

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func encode(t *testing.T, v any) json.RawMessage {
	t.Helper()
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return data
}

// FuzzDecodeArchive demands that what is decoded encodes and decodes to the same again.
func FuzzDecodeArchive(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodeArchive(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(a)
		if err != nil {
			return // a time beyond the years that JSON's form has
		}
		b, err := DecodeArchive(again)
		require.NoError(t, err)
		require.Equal(t, len(a.Entries), len(b.Entries))
		require.Equal(t, Explain(a.Entries), Explain(b.Entries))
	})
}
