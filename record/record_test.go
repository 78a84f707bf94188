package record

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

func TestDecode(t *testing.T) {
	for _, tc := range []struct {
		name string
		in   Envelope
		want Pool
	}{
		{"schema 1", Envelope{Kind: KindPool, Name: "a", Schema: 1, Body: json.RawMessage(`{"out":3,"spare":true}`)}, Pool{Budget: Budget{Out: 3}, Spare: true}},
		{"schema 2", Envelope{Kind: KindPool, Name: "a", Schema: 2, Body: json.RawMessage(`{"budget":{"out":3,"rack":1}}`)}, Pool{Budget: Budget{Out: 3, Rack: 1}}},
		{"newer schema", Envelope{Kind: KindPool, Name: "a", Schema: 3, Body: json.RawMessage(`{"budget":{"out":1},"colour":"red"}`)}, Pool{Budget: Budget{Out: 1}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got Pool
			require.NoError(t, Decode(tc.in, &got))
			require.Equal(t, tc.want, got)
		})
	}
}

func TestRewriteKeepsUnknownFields(t *testing.T) {
	old := Envelope{Kind: KindPool, Name: "a", Schema: 3, Body: json.RawMessage(`{"budget":{"out":1},"spare":true,"colour":"red"}`)}
	e, err := Rewrite(old, "a", &Pool{Budget: Budget{Out: 2}})
	require.NoError(t, err)
	require.Equal(t, 3, e.Schema)
	require.JSONEq(t, `{"budget":{"out":2},"colour":"red"}`, string(e.Body))
}

func TestEncodeRefusesBadRecords(t *testing.T) {
	_, err := Encode("Bad Name", &Pool{})
	require.True(t, fault.Is(err, fault.Invalid))
	_, err = Encode("a", &Pool{Budget: Budget{Out: 1, Rack: 2}})
	require.True(t, fault.Is(err, fault.Invalid))
}
