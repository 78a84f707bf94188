package share

import (
	"time"
)

const (
	defaultRun     = 100 * time.Millisecond // run time of a kind before its first answer
	defaultReclaim = 2 * time.Second
	defaultBurst   = 30 * time.Second
	defaultLearn   = 2 * time.Minute
	defaultShort   = 0.01 // chance that a request within its floor finds no idle slot
	defaultPerSlot = 64   // queued requests
)

type options struct {
	reclaim time.Duration
	burst   time.Duration
	short   float64
	perSlot int
	learn   time.Duration
}

// Option changes how a pool shares its slots.
type Option func(*options)

// WithReclaim sets the time within which a lent floor is whole again: only kinds of work
// that run shorter may borrow.
func WithReclaim(d time.Duration) Option {
	return func(o *options) { o.reclaim = d }
}

// WithBurst sets for how long a kind's unused floor is remembered, to be used above the floor later.
func WithBurst(d time.Duration) Option {
	return func(o *options) { o.burst = d }
}

// WithShort sets the accepted chance that a request within its floor finds all slots lent.
func WithShort(chance float64) Option {
	return func(o *options) { o.short = chance }
}

// WithLearn sets over what time the means are learned while the pool is calm; zero keeps the
// declared ones.
func WithLearn(over time.Duration) Option {
	return func(o *options) { o.learn = over }
}

// WithQueue sets the bound on queued requests, a slot of the pool.
func WithQueue(perSlot int) Option {
	return func(o *options) { o.perSlot = perSlot }
}

func applied(opts []Option) options {
	o := options{
		reclaim: defaultReclaim,
		burst:   defaultBurst,
		short:   defaultShort,
		perSlot: defaultPerSlot,
		learn:   defaultLearn,
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}
