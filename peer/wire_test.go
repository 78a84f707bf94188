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
		&wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{Seq: 7}}},
		&wire.Request{Body: &wire.Request_Push{Push: &wire.Push{Changes: [][]byte{[]byte("{}")}}}},
		&wire.Request{Body: &wire.Request_Pull{Pull: &wire.Pull{After: 7, Limit: 9}}},
		&wire.Request{Body: &wire.Request_Quiet{Quiet: &wire.Quiet{Instance: "r1", Boot: "b1", Seq: 7}}, Entry: "e2"},
		&wire.Request{Body: &wire.Request_Leave{Leave: &wire.Leave{Instance: "r1", Boot: "b1"}}},
		&wire.Request{Body: &wire.Request_Roster{Roster: &wire.Roster{}}},
		&wire.Request{Body: &wire.Request_Load{Load: &wire.Load{}}},
		&wire.Response{Body: &wire.Response_Error{Error: &wire.Error{Kind: "missing", Text: "t", Retry: 5}}},
		&wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{Seq: 7, Leaving: true}}},
		&wire.Response{Body: &wire.Response_Ack{Ack: &wire.Ack{Seq: 7}}},
		&wire.Response{Body: &wire.Response_Pulled{Pulled: &wire.Pulled{Snapshot: []byte("{}")}}},
		&wire.Response{Body: &wire.Response_Quieted{Quieted: &wire.Quieted{Seq: 7, Progress: 2}}},
		&wire.Response{Body: &wire.Response_Rostered{Rostered: &wire.Rostered{Instances: []byte("[]")}}},
		&wire.Response{Body: &wire.Response_Loaded{Loaded: &wire.Loaded{Pools: []*wire.Asked{{Pool: "p", Slots: 1.5}}}}},
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
