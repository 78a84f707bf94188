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
	// doubtfulAge is the age from which a copy of the configuration is confirmed before it is used. A version has to be in
	// force 3 s after it was stored. The copy of a daemon in contact with the store gets 1.5 s old, 2.3 s with a slow store, and
	// older when the daemon was suspended or the poll's connection is silently dead.
	doubtfulAge     = 2500 * time.Millisecond
	confirmTimeout  = 300 * time.Millisecond // of the read that confirms the copy; callers wait for it
	confirmInterval = 2 * time.Second        // between such reads that fail, so that an outage of the store delays few callers
)

// confirmation records when the store last confirmed the copy of the configuration.
type confirmation struct {
	mu       sync.Mutex
	at       time.Time     // a time of which the copy is known to be the newest
	failedAt time.Time     // when the last read by Confirm failed
	reading  chan struct{} // closed when the read that is in progress ends; nil if there is none
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

// Confirm reads the configuration from the store if the copy is older than doubtfulAge. It returns after confirmTimeout at
// the latest. All callers share one read, and after one that failed there is none for confirmInterval.
func (o *OperatorState) Confirm(ctx context.Context) {
	reading := o.startConfirming()
	if reading == nil {
		return
	}
	select {
	case <-reading:
	case <-ctx.Done():
	}
}

// startConfirming returns the channel that is closed when the copy has been read again, or nil if there is no need or it
// failed lately.
func (o *OperatorState) startConfirming() <-chan struct{} {
	c := &o.confirmation
	c.mu.Lock()
	defer c.mu.Unlock()
	now := o.now()
	if now.Sub(c.at) <= doubtfulAge {
		return nil
	}
	if c.reading == nil {
		if now.Sub(c.failedAt) < confirmInterval {
			return nil
		}
		c.reading = make(chan struct{})
		go o.readConfig(now)
	}
	return c.reading
}

// readConfig reads and applies the configuration.
func (o *OperatorState) readConfig(sentAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
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
		c.failedAt = o.now()
	}
	close(c.reading)
	c.reading = nil
}
