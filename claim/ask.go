package claim

import (
	"crypto/sha256"
	"net/http"
	"time"
)

// Digest tells one request from another under the same key.
type Digest [sha256.Size]byte

// Ask is a wish to run a keyed request.
type Ask struct {
	Caller string // who asks, as the platform's edge has proved it
	Key    string // the caller's idempotency key
	Digest Digest // of the request
	Life   time.Duration
}

// DigestOf returns the digest of a request's method, path, query and body.
func DigestOf(method, uri string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{method, uri} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Digest(h.Sum(nil))
}

// Result is what a claim leads to: a *Ticket or a Stored answer.
type Result interface{ result() }

// Stored is the answer that the key's request got before.
type Stored struct {
	Answer Answer
}

// Answer is an upstream's whole answer as it is kept for repeats.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func (Stored) result()  {}
func (*Ticket) result() {}
