package contact

import (
	"context"
	"sync"
	"time"

	"gypsumlead/clock"
)

// retryInterval is how long a Link returns the error of a failed ping before it asks again.
const retryInterval = 250 * time.Millisecond

// Link remembers when the other end last answered; it is safe for concurrent use.
type Link struct {
	ping      func(ctx context.Context) error // asks the other end for an answer; limits its own duration
	freshness time.Duration                   // an end that has answered within this time isn't asked
	now       clock.Clock

	mu       sync.Mutex
	heardAt  time.Time
	failedAt time.Time
	failure  error         // of the last ping; nil if it was answered
	pending  chan struct{} // closed when the ping in progress has ended; nil without one
}

// New returns a Link of an end that has not answered yet. Check asks it with ping unless it has answered within
// freshness.
func New(ping func(ctx context.Context) error, freshness time.Duration, now clock.Clock) *Link {
	return &Link{ping: ping, freshness: freshness, now: now}
}

// Heard records an answer of the other end.
func (l *Link) Heard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt, l.failure = l.now(), nil
}

// Doubt makes the next Check ask the other end, for example because a request failed.
func (l *Link) Doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt = time.Time{}
}

// Silence returns how long ago the other end last answered.
func (l *Link) Silence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Sub(l.heardAt)
}

// Fresh reports whether the other end has answered within the Link's freshness.
func (l *Link) Fresh() bool { return l.Silence() < l.freshness }

// Check returns nil if the other end has answered within the Link's freshness or answers a ping now, and the ping's error
// otherwise. Concurrent checks share one ping.
func (l *Link) Check(ctx context.Context) error {
	for ctx.Err() == nil {
		l.mu.Lock()
		if l.now().Sub(l.heardAt) < l.freshness {
			l.mu.Unlock()
			return nil
		}
		if l.failure != nil && l.now().Sub(l.failedAt) < retryInterval {
			defer l.mu.Unlock()
			return l.failure
		}
		if l.pending == nil {
			l.startPing(ctx)
		}
		pending := l.pending
		l.mu.Unlock()
		wait(ctx, pending)
	}
	return ctx.Err()
}

// startPing asks the other end in a goroutine that ends with the ping. Others wait for it too, so it goes on after ctx. The
// caller holds l.mu.
func (l *Link) startPing(ctx context.Context) {
	ended := make(chan struct{})
	l.pending = ended
	go func() {
		defer close(ended)
		l.record(l.ping(context.WithoutCancel(ctx)))
	}()
}

// record notes the result of the ping in progress.
func (l *Link) record(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = nil
	l.failure = err
	if err != nil {
		l.failedAt = l.now()
		return
	}
	l.heardAt = l.now()
}

// wait waits until a ping has ended or ctx ends.
func wait(ctx context.Context, ended <-chan struct{}) {
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
