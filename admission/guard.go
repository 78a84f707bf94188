package admission

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"
)

// maxDrained is how much of a body that its handler hasn't read is read and dropped, so that its connection can be kept; net/http does
// the same, but waits for it without end.
const maxDrained = 256 << 10 // bytes

// longAgo is a deadline that makes pending reads fail.
var longAgo = time.Unix(1, 0)

type bodyKey struct{}

// Times are how long clients may hold their connections.
type Times struct {
	Unread time.Duration // for a body that its handler doesn't read
	Answer time.Duration // for a response, from its begin
}

// Guard returns a handler that makes each request's body a part of the budget, which BodyOf returns. What the handler next leaves unread
// has to arrive in time, unless it gives way before, and responses have to be taken in time; otherwise the connection is closed.
func (b *Budget) Guard(next http.Handler, times Times) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := http.NewResponseController(w)
		_ = conn.SetWriteDeadline(time.Now().Add(times.Answer)) // of a 100 Continue
		answer := &timedWriter{ResponseWriter: w, conn: conn, within: times.Answer}
		defer answer.begin()
		if r.Body == http.NoBody {
			next.ServeHTTP(answer, r)
			return
		}
		body := b.Begin(func() { _ = conn.SetReadDeadline(longAgo) }) // only fails for writers without a connection
		defer body.Release()
		_ = conn.SetReadDeadline(time.Now().Add(times.Unread))
		next.ServeHTTP(answer, r.WithContext(context.WithValue(r.Context(), bodyKey{}, body)))
		if !body.isComplete() && r.Header.Get("Expect") == "" { // net/http closes the connection of a body that it hasn't asked for
			_, _ = io.CopyN(io.Discard, r.Body, maxDrained) // after an error net/http closes the connection
		}
	})
}

// BodyOf returns the part of the budget that a request's body has. Without a Guard, or without a body, it is one without a bound.
func BodyOf(ctx context.Context) *Body {
	if y, ok := ctx.Value(bodyKey{}).(*Body); ok {
		return y
	}
	return NewBudget(math.MaxInt64).Begin(func() {})
}
