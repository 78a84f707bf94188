package cache

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/platform"
)

const (
	confirmTimeout  = 300 * time.Millisecond // for which callers wait for the read that confirms the copy
	readTimeout     = time.Second            // of that read; a slow store takes some hundred milliseconds
	confirmInterval = 2 * time.Second        // between such reads that fail, so that an outage of the store delays few callers
)

// confirmation records when the store last confirmed the copy of the configuration.
type confirmation struct {
	mu       sync.Mutex
	at       time.Time // a time of which the copy is known to be the newest
	failedAt time.Time // when the last read by Confirm failed
	answers  int64     // calls that the store had answered by then
	silent   bool      // it answered none while that read waited for readTimeout
	reading  *reading  // in progress; nil if there is none
}

// reading is a read that confirms the copy.
type reading struct {
	startedAt time.Time
	ended     chan struct{} // closed at its end
}

// confirm records that the copy was the newest at a time.
func (c *confirmation) confirm(asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf.After(c.at) {
		c.at = asOf
	}
}

// Age returns how long ago the store last confirmed that this copy of the configuration is the newest.
func (o *OperatorState) Age() time.Duration {
	o.confirmation.mu.Lock()
	defer o.confirmation.mu.Unlock()
	return o.now().Sub(o.confirmation.at)
}

// doubtfulAge returns the age from which the copy is confirmed before it is used. It gets that old if a poll is not answered,
// and if the process was suspended or had no processor time.
func (o *OperatorState) doubtfulAge() time.Duration { return o.within * 9 / 10 }

// Confirm reads the configuration from the store if the copy is older than doubtfulAge, and reports whether the copy is then
// younger than the site's bound. It returns after confirmTimeout at the latest. All callers share one read, and after one that
// failed there is none for confirmInterval, unless the store was silent and has answered another call since.
func (o *OperatorState) Confirm(ctx context.Context) bool {
	if r, wait := o.startConfirming(); wait > 0 {
		r.await(ctx, wait)
	}
	return o.Age() <= o.within
}

// CatchUp reads the configuration from the store if the copy is older than a version, by which another daemon goes. It returns
// like Confirm.
func (o *OperatorState) CatchUp(ctx context.Context, version int64) {
	if c := o.Config(); c != nil && c.Version >= version {
		return
	}
	c := &o.confirmation
	c.mu.Lock()
	r, wait := o.joinReading(o.now())
	c.mu.Unlock()
	if wait > 0 {
		r.await(ctx, wait)
	}
}

// await waits for the end of the read, but not longer than wait.
func (r *reading) await(ctx context.Context, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-r.ended:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// startConfirming returns the read that confirms the copy, and for how long to wait for it: 0 if there is no need to, or no
// hope that it is answered soon.
func (o *OperatorState) startConfirming() (*reading, time.Duration) {
	c := &o.confirmation
	c.mu.Lock()
	defer c.mu.Unlock()
	now := o.now()
	if now.Sub(c.at) <= o.doubtfulAge() {
		return nil, 0
	}
	return o.joinReading(now)
}

// joinReading returns the read in progress or a new one, and for how long to wait for it. The caller holds the confirmation's mu.
func (o *OperatorState) joinReading(now time.Time) (*reading, time.Duration) {
	c := &o.confirmation
	if c.reading == nil {
		isBack := c.silent && o.store.Answers() > c.answers
		if now.Sub(c.failedAt) < confirmInterval && !isBack {
			return nil, 0
		}
		c.reading = &reading{startedAt: now, ended: make(chan struct{})}
		go o.readConfig(now)
	}
	return c.reading, c.reading.startedAt.Add(confirmTimeout).Sub(now)
}

// readConfig reads and applies the configuration. Idle connections are not used: they may be silent.
func (o *OperatorState) readConfig(sentAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	before := o.store.Answers()
	o.store.Close()
	page, err := o.store.GetRow(ctx, platform.ConfigKey())
	if err == nil && len(page.Rows) == 0 {
		err = fault.New(fault.Missing, "the store has no configuration")
	}
	if err == nil {
		o.apply(page.Rows, false)
		o.confirmation.confirm(sentAt)
	} else {
		o.log.Warn("cannot confirm the configuration", zap.Error(err))
	}
	c := &o.confirmation
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failedAt, c.answers = o.now(), o.store.Answers()
		c.silent = ctx.Err() != nil && c.answers == before
	}
	close(c.reading.ended)
	c.reading = nil
}
