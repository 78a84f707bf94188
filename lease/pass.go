package lease

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gypsumlead/backing"
)

// batchLimit is how many renewals go into one transaction.
const batchLimit = 100

// job is a write that a seat wants.
type job struct {
	s *seat
	w Write
}

// Pass does whatever is due once: renewals and hand-backs in one transaction, then one read of
// the rows due for a look, then acquisitions one by one.
func (k *Keeper) Pass(ctx context.Context) {
	k.passing.Lock()
	defer k.passing.Unlock()
	room := k.plan()
	looks, writes := k.due(k.all())
	room = k.commit(ctx, writes, room)
	if len(looks) == 0 {
		return
	}
	k.read(ctx, looks)
	_, writes = k.due(looks)
	k.commit(ctx, writes, room)
}

// due asks the seats what they want now.
func (k *Keeper) due(seats []*seat) (looks []*seat, writes []job) {
	now := k.now()
	for _, s := range seats {
		s.mu.Lock()
		switch e := s.h.Next(now).(type) {
		case Look:
			looks = append(looks, s)
		case Write:
			writes = append(writes, job{s, e})
		case Wait:
		}
		s.mu.Unlock()
	}
	return looks, writes
}

// timeout bounds one operation, so that a renewal can be tried again within a life.
func (k *Keeper) timeout() time.Duration {
	return min(opTimeout, k.terms.Life/3)
}

// read reads the beat rows of the seats in one request.
func (k *Keeper) read(ctx context.Context, seats []*seat) {
	keys := make([]string, 0, len(seats))
	for _, s := range seats {
		keys = append(keys, BeatKey(s.h.duty))
	}
	ctx, cancel := context.WithTimeout(ctx, k.timeout())
	defer cancel()
	rows, err := k.table.Read(ctx, keys...)
	now := k.now()
	for i, s := range seats {
		s.mu.Lock()
		if err != nil {
			s.h.LookFailed(now)
		} else if bad := s.h.Looked(now, rows[i]); bad != nil {
			k.log.Error("lease row is broken", zap.String("duty", s.h.duty), zap.Error(bad))
			k.breach(bad)
		}
		s.mu.Unlock()
	}
	if err != nil {
		k.log.Warn("lease rows can't be read", zap.Int("rows", len(keys)), zap.Error(err))
	}
}

// commit writes renewals and hand-backs together, and up to room acquisitions each by itself;
// these end with the first failure, so that a slow table doesn't hold back the next renewals.
func (k *Keeper) commit(ctx context.Context, writes []job, room int) int {
	var batch, takes []job
	for _, j := range writes {
		if j.w.Do == DoAcquire {
			takes = append(takes, j)
		} else {
			batch = append(batch, j)
		}
	}
	for len(batch) > 0 {
		n := min(len(batch), batchLimit)
		// The seats take in the failure, and renew again.
		_ = k.write(ctx, batch[:n])
		batch = batch[n:]
	}
	for _, j := range takes {
		if room == 0 {
			j.s.skip(k)
			continue
		}
		room--
		if k.write(ctx, []job{j}) != nil {
			room = 0
		}
	}
	return room
}

// skip takes back an acquisition that wasn't sent.
func (s *seat) skip(k *Keeper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.h.Unsent(k.now())
}

// write commits the jobs in one transaction and tells their seats.
func (k *Keeper) write(ctx context.Context, jobs []job) error {
	var ops []backing.Op
	for _, j := range jobs {
		ops = append(ops, j.w.Ops...)
	}
	ctx, cancel := context.WithTimeout(ctx, k.timeout())
	defer cancel()
	err := k.table.Commit(ctx, backing.Tx{Ops: ops})
	now := k.now()
	for _, j := range jobs {
		j.s.mu.Lock()
		j.s.h.Wrote(now, j.w.Do, err)
		k.report(j, err)
		j.s.mu.Unlock()
	}
	return err
}

// report logs duties taken and handed back; a failed renewal shows in the log only when it isn't a lost race.
func (k *Keeper) report(j job, err error) {
	fields := []zap.Field{zap.String("duty", j.s.h.duty), zap.Int64("epoch", j.s.h.Epoch())}
	switch {
	case err != nil && j.w.Do != DoAcquire:
		k.log.Warn("lease not written", append(fields, zap.String("do", string(j.w.Do)), zap.Error(err))...)
	case err == nil && j.w.Do != DoRenew:
		k.log.Info("lease written", append(fields, zap.String("do", string(j.w.Do)))...)
	}
}
