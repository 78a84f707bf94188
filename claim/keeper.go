package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Keeper claims keys in the table for one entry. A key has one ticket at a time over all
// entries, and after a ticket that may have been used none until the claim expires.
type Keeper struct {
	cfg     config
	table   backing.Table
	limiter *rate.Limiter
	wake    chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	count   counters

	mu      sync.Mutex
	live    map[string]*pending // by table key: claims that wait, and those whose ticket is out
	queue   []*pending
	marks   []*mark
	unsent  map[string]time.Time // nonces of claims that were given up unsent, and when
	down    time.Time            // the table is taken to be down until then
	fails   int                  // failed calls of the table in a row
	busy    bool                 // a batch is under way
	forgot  time.Time            // when unsent was last looked through
	suspect bool                 // the last batch met rows of others, so the next is read first
}

// pending is a claim that is being made, and then its ticket.
type pending struct {
	ask     Ask
	key     string // of the table
	nonce   string
	version int64     // of the row that the claim is written over
	started time.Time // when the first write of it began
	gaveUp  bool      // nobody waits any more
	result  chan answered
}

// answered is what a waiting claim is told.
type answered struct {
	result Result
	err    error
}

// NewKeeper returns a keeper of claims in table; Close ends it.
func NewKeeper(table backing.Table, opts ...Option) *Keeper {
	cfg := defaults()
	for _, o := range opts {
		o(&cfg)
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		cfg:     cfg,
		table:   table,
		limiter: rate.NewLimiter(rate.Limit(cfg.writes), burst),
		wake:    make(chan struct{}, 1),
		cancel:  cancel,
		done:    make(chan struct{}),
		live:    map[string]*pending{},
		unsent:  map[string]time.Time{},
	}
	go func() {
		defer close(k.done)
		k.run(ctx)
	}()
	return k
}

// SetWrites changes how many commits a second this entry may spend on claims; its part shrinks
// as entries join.
func (k *Keeper) SetWrites(perSecond float64) {
	k.limiter.SetLimit(rate.Limit(perSecond))
}

// Close stops the keeper; claims that wait are answered as not made.
func (k *Keeper) Close() {
	k.cancel()
	<-k.done
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.queue {
		k.answer(c, nil, fault.New(fault.Leaving, "this entry is stopping"))
	}
	k.queue = nil
}

// Claim claims the key for one request. It returns a *Ticket to send it with, or the Stored
// answer of the key's request. An error means that this request must not be sent.
func (k *Keeper) Claim(ctx context.Context, a Ask) (Result, error) {
	c, err := k.enqueue(a)
	if err != nil {
		return nil, err
	}
	k.nudge()
	t := time.NewTimer(k.cfg.limit)
	defer t.Stop()
	select {
	case r := <-c.result:
		return r.result, r.err
	case <-ctx.Done():
	case <-t.C:
	}
	return k.giveUp(c)
}

// enqueue admits a claim unless it is clear already what it leads to.
func (k *Keeper) enqueue(a Ask) (*pending, error) {
	key := rowKey(a.Caller, a.Key)
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count.asked.Add(1)
	if l := k.live[key]; l != nil {
		k.count.repeats.Add(1)
		if l.ask.Digest != a.Digest {
			return nil, fault.New(fault.Reused, "the key is in use for another request")
		}
		return nil, fault.New(fault.Claimed, "the key's first request is in progress on this entry")
	}
	if now.Before(k.down) || k.fails > 0 && (k.busy || len(k.queue) > 0) {
		k.count.refused.Add(1)
		return nil, fault.After(fault.StoreDown, max(k.down.Sub(now), retryFloor), "the table that holds the claims does not answer")
	}
	if len(k.queue) >= queueLimit {
		k.count.refused.Add(1)
		return nil, fault.New(fault.Overload, "%d claims wait to be written", queueLimit)
	}
	c := &pending{ask: a, key: key, nonce: k.cfg.nonce(), result: make(chan answered, 1)}
	k.live[key] = c
	k.queue = append(k.queue, c)
	return c, nil
}

// giveUp stops waiting for a claim; if it is won later, its key is given back.
func (k *Keeper) giveUp(c *pending) (Result, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case r := <-c.result:
		return r.result, r.err
	default:
	}
	c.gaveUp = true
	k.count.refused.Add(1)
	return nil, fault.New(fault.StoreDown, "the claim on the key was not written in time")
}

// answer tells a waiting claim what it led to; the lock is held. Without a ticket the key is
// no longer live here.
func (k *Keeper) answer(c *pending, r Result, err error) {
	if _, ok := r.(*Ticket); !ok {
		delete(k.live, c.key)
	}
	c.result <- answered{result: r, err: err}
}

// win hands out the ticket of a claim that is in the table; the lock is held.
func (k *Keeper) win(c *pending, version int64) {
	k.count.won.Add(1)
	c.version = version
	if c.gaveUp {
		k.release(c)
		return
	}
	if k.live[c.key] != c {
		err := fault.New(fault.Breach, "two claims on the key %s are live on one entry", c.key)
		k.cfg.breach(err)
		k.answer(c, nil, err)
		return
	}
	t := &Ticket{
		from: c.started,
		wall: c.started.Round(0),
		life: k.cfg.window,
		end:  func(o outcome) { k.finish(c, o) },
	}
	k.answer(c, t, nil)
}

// release gives back the key of a claim of which nothing was sent; the lock is held.
func (k *Keeper) release(c *pending) {
	delete(k.live, c.key)
	k.unsent[c.nonce] = time.Now()
	k.mark(&mark{key: c.key, version: c.version, row: c.row(k.cfg.entry, stateOpen, nil)})
}

// finish ends a ticket.
func (k *Keeper) finish(c *pending, o outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch v := o.(type) {
	case notSent:
		k.release(c)
	case done:
		delete(k.live, c.key)
		k.mark(&mark{key: c.key, version: c.version, row: c.row(k.cfg.entry, stateDone, v.answer)})
	case unknown:
		delete(k.live, c.key)
	}
}

// row returns the table row of the claim in a state.
func (c *pending) row(entry string, s state, a *Answer) row {
	return row{
		Nonce:  c.nonce,
		Entry:  entry,
		Digest: c.ask.Digest[:],
		State:  s,
		Until:  c.started.Add(c.ask.Life).UTC().Truncate(time.Second),
		Answer: a,
	}
}

// isUnsent tells whether a nonce is of a claim of this keeper of which nothing was sent; the lock is held.
func (k *Keeper) isUnsent(nonce string) bool {
	_, ok := k.unsent[nonce]
	return ok
}

// nudge wakes the writer.
func (k *Keeper) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
