package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"gypsumlead/fault"
	"gypsumlead/peer/wire"
)

const (
	// MaxBodyBytes is the size of the largest answer of the store that a message can carry: 1 MB of values is 1.4 MB in
	// base64.
	MaxBodyBytes = 2 << 20

	maxMessageBytes = MaxBodyBytes + 64<<10 // a job takes at most an eighth
)

// writeMessage writes one length-delimited message. It buffers the message, so that length and body are sent together.
func writeMessage(w io.Writer, m proto.Message) error {
	buf := bufio.NewWriter(w)
	if _, err := protodelim.MarshalTo(buf, m); err != nil {
		return err
	}
	return buf.Flush()
}

// readMessage reads one length-delimited message.
func readMessage(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}

// errorOf returns the error that a response carries, with its kind, or nil if it carries none.
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

// errorResponse returns the response that carries err.
func errorResponse(err error) *wire.Response {
	return &wire.Response{Body: &wire.Response_Error{Error: &wire.Error{
		Kind: fault.KindOf(err).String(), Text: err.Error(), Retry: fault.RetryAfter(err).Milliseconds(),
	}}}
}
