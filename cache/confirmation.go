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
	confirmTimeout  = 300 * time.Millisecond // of the read that confirms the copy; callers wait for it
	confirmInterval = 2 * time.Second        // between such reads that fail, so that an outage of the store delays few callers
)

// confirmation records when the store last confirmed the copy of the configuration.
type confirmation struct {
	mu       sync.Mutex
	at       time.Time     // a time of which the copy is known to be the newest
	failedAt time.Time     // when the last read by Confirm failed
	answers  int64         // calls that the store had answered by then
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

// doubtfulAge returns the age from which the copy is confirmed before it is used. The copy gets that old while a poll is
// overdue, and when the process was suspended or had no processor time.
func (o *OperatorState) doubtfulAge() time.Duration { return o.within * 4 / 5 }

// Confirm reads the configuration from the store if the copy is older than doubtfulAge. It returns after confirmTimeout at
// the latest. All callers share one read, and after one that failed there is none for confirmInterval, unless the store
// has answered another call.
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
	if now.Sub(c.at) <= o.doubtfulAge() {
		return nil
	}
	if c.reading == nil {
		if now.Sub(c.failedAt) < confirmInterval && o.store.Answers() == c.answers {
			return nil
		}
		c.reading = make(chan struct{})
		go o.readConfig(now)
	}
	return c.reading
}

// readConfig reads and applies the configuration. Idle connections are not used: they may be silent.
func (o *OperatorState) readConfig(sentAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
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
	}
	close(c.reading)
	c.reading = nil
}
