package entry

import (
	"time"
)

// Headers of callers' requests.
const (
	HeaderWork    = "Gypsumlead-Work"   // kind of work; the service's first if it is missing
	HeaderCaller  = "Gypsumlead-Caller" // who asks, set by the platform's authenticated edge
	HeaderLife    = "Gypsumlead-Life"   // seconds for which a key must not run again
	HeaderKey     = "Idempotency-Key"   //
	HeaderTimeout = "Request-Timeout"   // milliseconds until the answer is of no more use
	HeaderReplay  = "Gypsumlead-Replay" // set on an answer that an earlier request of the key got
)

const (
	timeoutDefault = 30 * time.Second
	timeoutLimit   = 5 * time.Minute
	bufferDefault  = 64 << 10 // bytes of a body that are read before a slot is taken
	keyedDefault   = 1 << 20  // bytes of a keyed request's body
	bodyDefault    = 16 << 20 // bytes of any body
	memoryDefault  = 64 << 20 // bytes of all bodies that are held at once
	uploadDefault  = 5 * time.Second
	rateDefault    = 16 << 10 // bytes a second that a caller must send or take at least
	aheadDefault   = 2 * time.Millisecond
	keyLimit       = 255 // bytes of a key
	lifeDefault    = 24 * time.Hour
	lifeFloor      = 10 * time.Minute // more than any request and the clocks' error take together
	lifeLimit      = 7 * 24 * time.Hour
)

type config struct {
	gate    Gate
	claims  Claims
	timeout time.Duration
	buffer  int
	keyed   int
	body    int64
	memory  int64
	upload  time.Duration
	rate    int
	ready   func() bool
	breach  func(error)
	ahead   time.Duration // a keyed request that waits longer for a slot claims its key meanwhile
}

// Option changes an Entry under construction.
type Option func(*config)

func defaults() config {
	return config{
		gate:    openGate{},
		timeout: timeoutDefault,
		buffer:  bufferDefault,
		keyed:   keyedDefault,
		body:    bodyDefault,
		memory:  memoryDefault,
		upload:  uploadDefault,
		rate:    rateDefault,
		ready:   func() bool { return true },
		breach:  func(error) {},
		ahead:   aheadDefault,
	}
}

// WithGate sets who admits requests; without it all are admitted.
func WithGate(g Gate) Option {
	return func(c *config) { c.gate = g }
}

// WithClaims sets the claims of keyed requests; without it they are answered as not run.
func WithClaims(k Claims) Option {
	return func(c *config) { c.claims = k }
}

// WithTimeout sets the longest time of a request whose service doesn't say.
func WithTimeout(d time.Duration) Option {
	return func(c *config) { c.timeout = d }
}

// WithBuffer sets how much of a body is read before a slot is taken, and how much of an answer
// is read before the slot is given back.
func WithBuffer(bytes int) Option {
	return func(c *config) { c.buffer = bytes }
}

// WithKeyedLimit sets the largest body of a keyed request.
func WithKeyedLimit(bytes int) Option {
	return func(c *config) { c.keyed = bytes }
}

// WithBodyLimit sets the largest body.
func WithBodyLimit(bytes int64) Option {
	return func(c *config) { c.body = bytes }
}

// WithMemory sets how many bytes of bodies and answers are held at once.
func WithMemory(bytes int64) Option {
	return func(c *config) { c.memory = bytes }
}

// WithRate sets the fewest bytes a second at which a caller must send or take what isn't buffered.
func WithRate(bytes int) Option {
	return func(c *config) { c.rate = bytes }
}

// WithUpload sets the longest time for the buffered part of a body.
func WithUpload(d time.Duration) Option {
	return func(c *config) { c.upload = d }
}

// WithReady sets what tells whether this entry knows its services yet.
func WithReady(ready func() bool) Option {
	return func(c *config) { c.ready = ready }
}

// WithBreach sets what is told of an invariant that does not hold.
func WithBreach(report func(error)) Option {
	return func(c *config) { c.breach = report }
}
