package runner

import (
	"context"
	"errors"
	"time"
)

// errSilent ends an attempt on a connection that may have lost its other end.
var errSilent = errors.New("the connection stayed silent")

// try is one attempt's time. An idempotent request that goes over a used connection gives up
// after half of its time, so that the other half is left for a new connection.
type try struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	started time.Time
	timer   *time.Timer
	silent  bool
}

func newTry(ctx context.Context, x *exchange, c *channel) *try {
	t := &try{started: time.Now()}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	end, ok := ctx.Deadline()
	if ok && c.used && x.req.Idempotent && x.req.replayable() && x.tries < triesLimit {
		t.timer = time.AfterFunc(time.Until(end)/2, func() { t.cancel(errSilent) })
	}
	c.used = true
	return t
}

// gaveUp stops waiting for the answer's headers and tells whether the attempt had been given up.
func (t *try) gaveUp() bool {
	if t.timer != nil {
		t.silent = !t.timer.Stop()
	}
	return t.silent
}
