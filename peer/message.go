package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"gypsumlead/fault"
	"gypsumlead/peer/wire"
)

const messageLimit = 1 << 20 // bytes; a job takes a quarter of it at most

// write sends one delimited message in one piece.
func write(w io.Writer, m proto.Message) error {
	buf := bufio.NewWriter(w)
	if _, err := protodelim.MarshalTo(buf, m); err != nil {
		return err
	}
	return buf.Flush()
}

// read receives one delimited message.
func read(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: messageLimit}.UnmarshalFrom(r, m)
}

// errorOf turns an answer that is an error back into one.
func errorOf(resp *wire.Response) error {
	e := resp.GetError()
	if e == nil {
		return nil
	}
	for _, k := range fault.Kinds() {
		if k.String() == e.GetKind() {
			return fault.New(k, "%s", e.GetText())
		}
	}
	return fault.New(fault.Internal, "%s", e.GetText())
}

// failed is the answer that carries err.
func failed(err error) *wire.Response {
	return &wire.Response{Body: &wire.Response_Error{Error: &wire.Error{
		Kind: fault.KindOf(err).String(), Text: err.Error(), Retry: fault.RetryAfter(err).Milliseconds(),
	}}}
}
