package claim

import (
	"context"
	"encoding/json"
	"time"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// batch is what one commit writes.
type batch struct {
	claims []*pending
	marks  []*mark
}

// run writes batches, one at a time, within the write budget.
func (k *Keeper) run(ctx context.Context) {
	for k.waitWork(ctx) {
		if k.limiter.Wait(ctx) != nil {
			return
		}
		k.process(ctx, k.takeBatch())
		k.idle()
	}
}

// waitWork waits until there is something to write; outcomes alone wait for a claim to ride with.
func (k *Keeper) waitWork(ctx context.Context) bool {
	for {
		claims, pause := k.work(time.Now())
		if claims {
			return ctx.Err() == nil
		}
		var timer <-chan time.Time
		if pause > 0 {
			timer = time.After(pause)
		}
		select {
		case <-k.wake:
		case <-timer:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// work tells whether claims wait, else how long outcomes are to wait; 0 if there are none.
func (k *Keeper) work(now time.Time) (claims bool, pause time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.queue) > 0 {
		return true, 0
	}
	if len(k.marks) == 0 {
		return false, 0
	}
	return false, max(k.down.Sub(now), markPause)
}

// takeBatch takes the oldest claims that somebody still waits for, and outcomes of other keys.
func (k *Keeper) takeBatch() *batch {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = true
	b := &batch{}
	n := min(len(k.queue), batchLimit)
	taken := make(map[string]bool, n)
	for _, c := range k.queue[:n] {
		if c.gaveUp {
			delete(k.live, c.key)
			continue
		}
		taken[c.key] = true
		b.claims = append(b.claims, c)
	}
	k.queue = k.queue[n:]
	var rest []*mark
	for _, m := range k.marks {
		if len(b.marks) < ridersLimit && !taken[m.key] {
			taken[m.key] = true
			b.marks = append(b.marks, m)
			continue
		}
		rest = append(rest, m)
	}
	k.marks = rest
	k.forgetUnsent(time.Now())
	return b
}

// process carries a batch through until each claim of it is decided.
func (k *Keeper) process(ctx context.Context, b *batch) {
	b.marks = k.resolve(ctx, b.marks)
	known := !k.isSuspect()
	for round := range rounds {
		if !known && !k.examine(ctx, b) {
			return
		}
		if len(b.claims) == 0 && len(b.marks) == 0 {
			return
		}
		if round > 0 && k.limiter.Wait(ctx) != nil {
			break
		}
		err := k.commit(ctx, b)
		if err == nil {
			k.won(b)
			return
		}
		k.retry(b.marks, fault.Is(err, fault.Conflict))
		b.marks = nil
		known = false
		if fault.Is(err, fault.Conflict) {
			continue
		}
		k.failed()
		if !fault.Is(err, fault.StoreDown) {
			break
		}
	}
	k.abandon(b, fault.New(fault.StoreDown, "the claim on the key could not be written"))
}

// commit writes the batch in one transaction.
func (k *Keeper) commit(ctx context.Context, b *batch) error {
	now := time.Now()
	ops := make([]backing.Op, 0, len(b.claims)+len(b.marks))
	for _, c := range b.claims {
		if c.started.IsZero() {
			c.started = now
		}
		op, err := put(c.key, c.version, c.row(k.cfg.entry, stateHeld, nil))
		if err != nil {
			return err
		}
		ops = append(ops, op)
	}
	for _, m := range b.marks {
		op, err := put(m.key, m.version, m.row)
		if err != nil {
			return err
		}
		ops = append(ops, op)
	}
	k.count.commits.Add(1)
	k.count.rows.Add(int64(len(ops)))
	ctx, cancel := context.WithTimeout(ctx, commitLimit)
	defer cancel()
	err := k.table.Commit(ctx, backing.Tx{Ops: ops})
	if err != nil && ctx.Err() != nil {
		// Given up on: whether it took effect is unknown.
		return fault.Wrap(fault.StoreDown, err, "commit %d claims", len(b.claims))
	}
	return err
}

func put(key string, version int64, r row) (backing.Op, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the claim %s", key)
	}
	return backing.Put{Key: key, IfVersion: version, Value: value}, nil
}

// won hands out the tickets of a batch that was committed.
func (k *Keeper) won(b *batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fails = 0
	k.down = time.Time{}
	for _, c := range b.claims {
		k.win(c, c.version+1)
	}
}

// examine reads the rows of the batch's claims and decides those that it can: a claim may have
// been written although its answer was lost, and other claims may stand in the way. Without
// an answer the whole batch is abandoned.
func (k *Keeper) examine(ctx context.Context, b *batch) bool {
	if len(b.claims) == 0 {
		return true
	}
	keys := make([]string, 0, len(b.claims))
	for _, c := range b.claims {
		keys = append(keys, c.key)
	}
	rows, err := k.read(ctx, keys)
	if err != nil {
		k.failed()
		k.retry(b.marks, false)
		b.marks = nil
		k.abandon(b, fault.Wrap(fault.StoreDown, err, "the claim on the key could not be written"))
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	left := b.claims[:0:0]
	k.suspect = false
	for i, c := range b.claims {
		switch v := k.cfg.judge(rows[i], c, now, k.isUnsent).(type) {
		case won:
			k.win(c, v.version)
		case take:
			c.version = v.version
			left = append(left, c)
		case settled:
			k.suspect = true
			k.count.repeats.Add(1)
			k.answer(c, v.result, v.err)
		}
	}
	b.claims = left
	return true
}

// read reads rows within the time for one call.
func (k *Keeper) read(ctx context.Context, keys []string) ([]backing.Row, error) {
	k.count.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, commitLimit)
	defer cancel()
	return k.table.Read(ctx, keys...)
}

// abandon answers the claims of a batch that could not be decided. Any of them may be in the
// table, or still get there; none is sent, so that the key is given back when it turns up.
func (k *Keeper) abandon(b *batch, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range b.claims {
		k.giveBack(c, err)
	}
	if !time.Now().Before(k.down) {
		return
	}
	for _, c := range k.queue {
		k.giveBack(c, err)
	}
	k.queue = nil
}

// failed notes that the table did not answer: claims are refused at once for a while, and then
// one at a time until one is written.
func (k *Keeper) failed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = time.Now().Add(min(downFirst<<min(k.fails, downShift), downLimit))
	k.fails++
}

// idle marks that no batch is under way.
func (k *Keeper) idle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = false
}

// giveBack answers a claim that is not made and sees to it that its row, if any, is opened; the lock is held.
func (k *Keeper) giveBack(c *pending, err error) {
	if !c.started.IsZero() {
		k.unsent[c.nonce] = time.Now()
		k.mark(&mark{key: c.key, row: c.row(k.cfg.entry, stateOpen, nil)})
	}
	k.count.refused.Add(1)
	k.answer(c, nil, err)
}

func (k *Keeper) isSuspect() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.suspect
}
