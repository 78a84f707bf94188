package entry

import (
	"context"
	"sync"
	"time"

	"gypsumlead/claim"
	"gypsumlead/fault"
)

// claimed is what a claim that was made while waiting for a slot led to.
type claimed struct {
	result claim.Result
	err    error
}

// admit takes a slot and, for a keyed request, claims the key. A request that has to wait for its
// slot claims the key meanwhile, so that the slot isn't idle for the time of a table's write, and
// stops waiting where the claim settles it. One that is refused a slot at once costs no claim.
func (c *call) admit(ctx context.Context) (given bool, err error) {
	if c.ask.key == "" {
		return false, c.takeSlot(ctx)
	}
	if c.entry.cfg.claims == nil {
		return false, fault.New(fault.StoreDown, "keyed requests can't be claimed on this entry")
	}
	slotCtx, stopWaiting := context.WithCancel(ctx)
	defer stopWaiting()
	claimCtx, stopClaiming := context.WithCancel(ctx)
	defer stopClaiming()
	result := make(chan claimed, 1)
	ahead := time.AfterFunc(c.entry.cfg.ahead, func() {
		res, err := c.entry.cfg.claims.Claim(claimCtx, c.claimAsk())
		result <- claimed{result: res, err: err}
		if _, won := res.(*claim.Ticket); !won {
			stopWaiting()
		}
	})
	err = c.takeSlot(slotCtx)
	settled := slotCtx.Err() != nil && ctx.Err() == nil
	if ahead.Stop() {
		if err != nil {
			return false, err
		}
		res, err := c.entry.cfg.claims.Claim(ctx, c.claimAsk())
		return c.use(claimed{result: res, err: err})
	}
	if err == nil || settled {
		return c.use(<-result)
	}
	stopClaiming()
	c.drop(<-result)
	return false, err
}

// takeSlot waits for a slot.
func (c *call) takeSlot(ctx context.Context) error {
	release, err := c.entry.cfg.gate.Acquire(ctx, c.ask.service, c.ask.work.Name, c.ask.deadline)
	if err != nil {
		return err
	}
	c.free = sync.OnceFunc(release)
	return c.progress.move(stageAdmitted)
}

// claimAsk is the claim that the request needs.
func (c *call) claimAsk() claim.Ask {
	return claim.Ask{
		Caller: c.ask.caller,
		Key:    c.ask.key,
		Digest: claim.DigestOf(c.r.Method, c.r.URL.RequestURI(), c.body.held),
		Life:   c.ask.life,
	}
}

// use goes on with a claim that was won, or gives the caller the stored answer.
func (c *call) use(r claimed) (given bool, err error) {
	if r.err != nil {
		return false, r.err
	}
	switch v := r.result.(type) {
	case *claim.Ticket:
		c.ticket = v
		return false, c.progress.move(stageClaimed)
	case claim.Stored:
		if c.free != nil {
			c.free()
		}
		c.replay(v.Answer)
		return true, nil
	}
	return false, fault.New(fault.Internal, "a claim led to a %T", r.result)
}

// drop gives back a claim that there is no slot for.
func (c *call) drop(r claimed) {
	if t, ok := r.result.(*claim.Ticket); ok {
		t.NotSent()
	}
}
