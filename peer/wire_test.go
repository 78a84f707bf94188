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

var update = flag.Bool("update", false, "write the golden file anew")

// samples is one message of each kind, as peers of the same protocol number must go on to read it.
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

func TestMessagesKeepTheirForm(t *testing.T) {
	const file = "testdata/messages.golden"
	var lines []string
	for _, m := range samples() {
		var b bytes.Buffer
		require.NoError(t, write(&b, m))
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

// FuzzRead demands that whatever another daemon sends is read or refused, without a panic.
func FuzzRead(f *testing.F) {
	for _, m := range samples() {
		var b bytes.Buffer
		require.NoError(f, write(&b, m))
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		req := &wire.Request{}
		if read(r, req) == nil && req.GetHello() != nil {
			identityOf(req.GetHello())
		}
		resp := &wire.Response{}
		if read(bufio.NewReader(bytes.NewReader(data)), resp) == nil {
			// Any answer is an error of the closed list or none.
			_ = errorOf(resp)
		}
	})
}
