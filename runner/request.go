package runner

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
)

// Request is what is sent to an upstream; hop-by-hop headers are removed on the way.
type Request struct {
	Method     string
	URL        *url.URL // path and query; scheme and host are filled in
	Host       string   // Host header
	Header     http.Header
	Body       []byte       // the part that is held in memory and can be sent again
	Rest       io.Reader    // what follows Body, read at most once; nil if Body is all
	Length     int64        // of Body and Rest together; -1 if it isn't known
	Idempotent bool         // may be sent again after something of it was sent
	Gate       func() error // asked right before the first byte; an error means that nothing is sent
}

// Response is an upstream's answer; Body must be closed.
type Response struct {
	Status   int
	Header   http.Header
	Length   int64 // -1 if the answer is chunked
	Trailer  http.Header
	Body     io.ReadCloser
	Instance string
	Boot     string
}

// replayable tells whether all of the request is held in memory.
func (r *Request) replayable() bool {
	return r.Rest == nil
}

// reader returns a reader of the whole body for one attempt.
func (r *Request) reader() io.ReadCloser {
	if r.Rest != nil {
		return io.NopCloser(io.MultiReader(bytes.NewReader(r.Body), r.Rest))
	}
	if len(r.Body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(r.Body))
}
