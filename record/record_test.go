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

func TestAccept(t *testing.T) {
	draft := func(schema int, body string) Envelope {
		return Envelope{Kind: KindPool, Name: "a", Schema: schema, Body: json.RawMessage(body)}
	}
	for _, tc := range []struct {
		name       string
		old, draft Envelope
		schema     int
		body       string
		kind       fault.Kind
	}{
		{name: "older schema of a new record stays", draft: draft(1, `{"out": 3}`), schema: 1, body: `{"out":3}`},
		{name: "newer over older drops the older form", old: draft(1, `{"out":3,"x":1}`), draft: draft(2, `{"budget":{"out":2}}`), schema: 2, body: `{"budget":{"out":2}}`},
		{name: "older over newer is upgraded", old: draft(2, `{"budget":{"out":1},"x":1}`), draft: draft(1, `{"out":4}`), schema: 2, body: `{"budget":{"out":4},"x":1}`},
		{name: "unknown field of a draft stays", draft: draft(2, `{"budget":{"out":1},"y":2}`), schema: 2, body: `{"budget":{"out":1},"y":2}`},
		{name: "schema of the future", draft: draft(9, `{}`), kind: fault.Invalid},
		{name: "no schema", draft: draft(0, `{}`), kind: fault.Invalid},
		{name: "wrong type", draft: draft(2, `{"budget":7}`), kind: fault.Invalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e, _, err := Accept(tc.old, tc.draft)
			if tc.kind != 0 {
				require.True(t, fault.Is(err, tc.kind), "%v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.schema, e.Schema)
			require.JSONEq(t, tc.body, string(e.Body))
		})
	}
}
