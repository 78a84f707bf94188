package peer

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"gypsumlead/peer/wire"
)

var update = flag.Bool("update", false, "rewrite the golden file")

// samples returns one message of each kind. Daemons of the same protocol version must be able to read them.
func samples() []proto.Message {
	return []proto.Message{
		&wire.Request{Body: &wire.Request_Hello{Hello: Identity{Instance: "e1", Boot: "b1", Centre: "c1", Region: "r1"}.hello()}},
		&wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}},
		&wire.Request{Body: &wire.Request_Relay{Relay: &wire.Relay{Verb: wire.Relay_SUBMIT, Service: "s", Id: "0a", Queue: "q", Terms: []byte("{}"), Job: []byte("{}"), Wait: 9, Store: true}}},
		&wire.Request{Body: &wire.Request_Report{Report: &wire.Report{Service: "s", Want: 3, Machines: []string{"m1"}, Offers: []string{"m2"}, Ready: []*wire.Ready{{Machine: "m3", Wave: 4}}}}},
		&wire.Response{Body: &wire.Response_Error{Error: &wire.Error{Kind: "missing", Text: "t", Retry: 5}}},
		&wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{}}},
		&wire.Response{Body: &wire.Response_Relayed{Relayed: &wire.Relayed{Held: true, Verdict: 1, Retry: 5, State: "done", Pending: 6, Why: "w", Full: true}}},
		&wire.Response{Body: &wire.Response_Reported{Reported: &wire.Reported{Held: true, Known: true, Short: 7, Floor: 8}}},
	}
}

// A change of the encoding would break requests between daemons of different builds with the same protocol version.
func TestMessageEncodingIsStable(t *testing.T) {
	const file = "testdata/messages.golden"
	var lines []string
	for _, m := range samples() {
		var b bytes.Buffer
		require.NoError(t, writeMessage(&b, m))
		lines = append(lines, hex.EncodeToString(b.Bytes()))
	}
	got := strings.Join(lines, "\n") + "\n"
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// FuzzRead checks that any input from another daemon is either read or rejected, without a panic.
func FuzzRead(f *testing.F) {
	for _, m := range samples() {
		var b bytes.Buffer
		require.NoError(f, writeMessage(&b, m))
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		req := &wire.Request{}
		if readMessage(r, req) == nil && req.GetHello() != nil {
			identityOf(req.GetHello())
		}
		resp := &wire.Response{}
		if readMessage(bufio.NewReader(bytes.NewReader(data)), resp) == nil {
			// Any response is either an error of a known kind or no error.
			_ = errorOf(resp)
		}
	})
}
