package entry

import (
	"net/http"
	"time"
)

const (
	headersTimeout = 5 * time.Second
	idleTimeout    = 2 * time.Minute // longer than balancers keep idle connections, so that they close first
	headersLimit   = 32 << 10        // bytes
)

// NewServer returns the HTTP server for callers, with bounded headers and time to send them.
func NewServer(e *Entry) *http.Server {
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headersTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headersLimit,
	}
}
