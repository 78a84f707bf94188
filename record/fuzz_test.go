package record

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecode demands of every body that can be stored: it decodes to the same record again, also
// after it was rewritten over another one, and the other's unknown fields are still there.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, kind string, schema int, body, oldBody []byte) {
		r, err := New(Kind(kind))
		if err != nil {
			return
		}
		draft := Envelope{Kind: Kind(kind), Name: "a", Schema: schema, Body: body}
		if Decode(draft, r) != nil || r.Check() != nil {
			return
		}
		stored, _, err := Accept(Envelope{}, draft)
		if err == nil {
			requireSame(t, stored, r)
		}
		old := Envelope{Kind: Kind(kind), Name: "a", Schema: r.Schema(), Body: oldBody}
		was, err := New(Kind(kind))
		require.NoError(t, err)
		if Decode(old, was) != nil {
			return
		}
		rewritten, err := Rewrite(old, "a", r)
		require.NoError(t, err)
		requireSame(t, rewritten, r)
		var before, after fields
		require.NoError(t, json.Unmarshal(oldBody, &before))
		require.NoError(t, json.Unmarshal(rewritten.Body, &after))
		if v, ok := before["colour"]; ok && string(v) != "null" {
			require.JSONEq(t, string(v), string(after["colour"]))
		}
	})
}

// requireSame demands that e decodes to r.
func requireSame(t *testing.T, e Envelope, r Record) {
	t.Helper()
	got, err := New(r.Kind())
	require.NoError(t, err)
	require.NoError(t, Decode(e, got))
	want, err := json.Marshal(r)
	require.NoError(t, err)
	have, err := json.Marshal(got)
	require.NoError(t, err)
	require.JSONEq(t, string(want), string(have), "body %s", e.Body)
}

// TestGoldenFormats keeps the stored form of each kind, and of the older schema of pools.
func TestGoldenFormats(t *testing.T) {
	names := []string{"pool-1", "pool-2", "service-1", "member-1", "drain-1", "wave-1", "job-1", "team-1"}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/" + name + ".golden")
			require.NoError(t, err)
			var e Envelope
			require.NoError(t, json.Unmarshal(data, &e))
			require.Equal(t, name, string(e.Kind)+"-"+string('0'+byte(e.Schema)))
			r, err := New(e.Kind)
			require.NoError(t, err)
			require.NoError(t, Decode(e, r))
			require.NoError(t, r.Check())
			if e.Schema < r.Schema() {
				requireGolden(t, name+"-upgraded", e, r)
				return
			}
			requireGolden(t, name, e, r)
		})
	}
}

// requireGolden demands that r, read from e, is written as the golden file has it.
func requireGolden(t *testing.T, name string, e Envelope, r Record) {
	t.Helper()
	want, err := os.ReadFile("testdata/" + name + ".golden")
	require.NoError(t, err)
	written, err := Encode(e.Name, r)
	require.NoError(t, err)
	written.Version = e.Version
	got, err := json.Marshal(written)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got)+"\n")
}
