package spare

import (
	"time"
)

// Ordinary settings of lending.
const (
	defaultSmooth  = time.Minute      // time constant of the demand's average
	defaultLead    = 2 * time.Minute  // drain and reboot: how far the forecast looks ahead
	defaultBusy    = 0.80             // part of its instances that a pool is planned to use
	defaultCalm    = 0.60             // part below which it gives one back
	defaultSustain = 30 * time.Second // that a pool must be short before it borrows
	defaultRest    = 10 * time.Minute // that a pool must be calm before it returns
)

type options struct {
	smooth  time.Duration
	lead    time.Duration
	busy    float64
	calm    float64
	sustain time.Duration
	rest    time.Duration
}

// Option changes how the lender decides.
type Option func(*options)

// WithSmooth sets the time constant of the demand's average; zero takes the newest value.
func WithSmooth(d time.Duration) Option {
	return func(o *options) { o.smooth = d }
}

// WithLead sets how long a move takes.
func WithLead(d time.Duration) Option {
	return func(o *options) { o.lead = d }
}

// WithLoads sets the part of its instances above which a pool borrows and the one below
// which, with one instance less, it returns; the gap between them is the hysteresis.
func WithLoads(busy, calm float64) Option {
	return func(o *options) { o.busy, o.calm = busy, calm }
}

// WithHold sets how long a pool must be short before it borrows and calm before it returns.
func WithHold(sustain, rest time.Duration) Option {
	return func(o *options) { o.sustain, o.rest = sustain, rest }
}

func applied(opts []Option) options {
	o := options{
		smooth:  defaultSmooth,
		lead:    defaultLead,
		busy:    defaultBusy,
		calm:    defaultCalm,
		sustain: defaultSustain,
		rest:    defaultRest,
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}
