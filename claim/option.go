package claim

import (
	"crypto/rand"
	"time"

	"gypsumlead/backing"
)

const (
	writesDefault = 30.0                   // commits a second of one entry; seven entries stay near two hundred
	burst         = 4                      // commits at once after a pause
	batchLimit    = 200                    // claims of one commit
	ridersLimit   = 200                    // outcomes that ride along with one commit
	queueLimit    = 2000                   // claims that wait
	marksLimit    = 8000                   // outcomes that wait to be stored
	unsentLimit   = 10000                  // nonces
	rounds        = 4                      // commits for one batch
	markPause     = 200 * time.Millisecond // outcomes wait this long for a claim's commit
	commitLimit   = 1 * time.Second        // for one call of the table
	claimLimit    = 2 * time.Second        // for a claim in all
	windowDefault = 10 * time.Second       // from the start of a claim's write to the sending
	downFirst     = 500 * time.Millisecond // without asking the table after a failure; doubles
	downShift     = 10
	downLimit     = 4 * time.Second
	retryFloor    = 1 * time.Second
)

type config struct {
	entry  string
	writes float64
	limit  time.Duration
	window time.Duration
	nonce  func() string
	breach func(error)
	judge  func(backing.Row, *pending, time.Time, func(string) bool) verdict
}

// Option changes a Keeper under construction.
type Option func(*config)

func defaults() config {
	return config{
		writes: writesDefault,
		limit:  claimLimit,
		window: windowDefault,
		nonce:  rand.Text,
		breach: func(error) {},
		judge:  judge,
	}
}

// WithEntry names the entry instance in the rows.
func WithEntry(id string) Option {
	return func(c *config) { c.entry = id }
}

// WithWrites sets how many commits a second this entry may make for claims.
func WithWrites(perSecond float64) Option {
	return func(c *config) { c.writes = perSecond }
}

// WithLimit sets how long a claim may take before the request is answered as not run.
func WithLimit(d time.Duration) Option {
	return func(c *config) { c.limit = d }
}

// WithWindow sets for how long after its write a claim allows sending.
func WithWindow(d time.Duration) Option {
	return func(c *config) { c.window = d }
}

// WithNonce replaces the source of unique nonces.
func WithNonce(f func() string) Option {
	return func(c *config) { c.nonce = f }
}

// WithBreach sets what is told of an invariant that does not hold.
func WithBreach(report func(error)) Option {
	return func(c *config) { c.breach = report }
}
