package runner

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection only and are never passed on (RFC 9110, section 7.6.1).
var hopHeaders = [...]string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd returns a copy of h without the headers that concern one connection only.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+1)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}
