package wire

import (
	"encoding/json"
	"io"

	"gypsumlead/fault"
)

// BodyLimit is the most bytes that a message may take; an object of 64 MB in base64 fits.
const BodyLimit = 96 << 20

// Decode reads one message of at most BodyLimit bytes, and nothing after it, from r into v.
func Decode(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, BodyLimit+1))
	if err != nil {
		return fault.Wrap(fault.Broken, err, "read a message of the platform")
	}
	if len(data) > BodyLimit {
		return fault.New(fault.TooLarge, "a message of the platform takes %d bytes at most", BodyLimit)
	}
	return fault.Wrap(fault.Invalid, json.Unmarshal(data, v), "decode a message of the platform")
}
