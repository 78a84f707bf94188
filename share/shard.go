package share

import (
	"context"
	"slices"
	"sync"
	"time"

	"gypsumlead/fault"
)

// shard is one pool of a gate under its own lock.
type shard struct {
	mu       sync.Mutex
	name     string
	now      func() time.Time
	room     *room
	breach   func(error)
	pool     *Pool
	services []Service
	waiters  map[uint64]chan Effect
	lastID   uint64
	timer    *time.Timer
	due      time.Time // when the timer fires; zero means that it is stopped
}

func newShard(name string, g *Gate) *shard {
	return &shard{
		name:    name,
		now:     g.now,
		room:    g.room,
		breach:  g.breach,
		pool:    New(name, g.opts...),
		waiters: map[uint64]chan Effect{},
	}
}

// acquire asks for a slot and waits until it is given, refused or no longer wanted.
func (s *shard) acquire(ctx context.Context, e Arrive) (func(), error) {
	answer := make(chan Effect, 1)
	id := s.arrive(e, answer)
	select {
	case a := <-answer:
		return s.answered(a, e)
	case <-ctx.Done():
	}
	if !s.leave(id) {
		// The answer came first; a slot that nobody wants goes back.
		if _, ok := (<-answer).(Start); ok {
			s.apply(Cancel{ID: id})
		}
	}
	return nil, fault.Wrap(fault.Overload, ctx.Err(), "wait for a slot of pool %s", s.name)
}

func (s *shard) answered(a Effect, e Arrive) (func(), error) {
	switch a := a.(type) {
	case Start:
		id := a.ID
		return sync.OnceFunc(func() { s.apply(Finish{ID: id}) }), nil
	case Refuse:
		return nil, fault.After(a.Kind, a.Retry, "admit request of %s/%s: pool %s can't serve it by its deadline", e.Service, e.Work, s.name)
	}
	return nil, fault.New(fault.Internal, "admit request of %s/%s: answer %T", e.Service, e.Work, a)
}

func (s *shard) arrive(e Arrive, answer chan Effect) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	e.ID = s.lastID
	e.Full = s.room.full(s.pool.Slots(), s.pool.Waiting())
	s.waiters[e.ID] = answer
	s.applyLocked(e)
	return e.ID
}

// leave withdraws a waiting request; false means that its answer has been sent.
func (s *shard) leave(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.waiters[id]; !waits {
		return false
	}
	delete(s.waiters, id)
	s.applyLocked(Cancel{ID: id})
	return true
}

func (s *shard) apply(ev Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(ev)
}

// applyLocked hands the event to the pool and its effects to those who wait for them.
func (s *shard) applyLocked(ev Event) {
	slots, waiting := s.pool.Slots(), s.pool.Waiting()
	effects, err := s.pool.Apply(ev, s.now())
	s.room.account(s.pool.Slots()-slots, s.pool.Waiting()-waiting)
	if err != nil {
		s.breach(err)
	}
	for _, f := range effects {
		switch f := f.(type) {
		case Start:
			s.answer(f.ID, f)
		case Refuse:
			s.answer(f.ID, f)
		}
	}
	s.schedule()
}

func (s *shard) answer(id uint64, f Effect) {
	if w, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		w <- f
	}
}

// schedule sets the timer to when the pool wants its next tick.
func (s *shard) schedule() {
	next := s.pool.Next()
	if next.IsZero() || next.Equal(s.due) || !s.due.IsZero() && s.due.Before(next) {
		return
	}
	s.due = next
	wait := max(0, next.Sub(s.now()))
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.tick)
		return
	}
	s.timer.Reset(wait)
}

func (s *shard) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = time.Time{}
	s.applyLocked(Tick{})
}

func (s *shard) setService(v Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(v.Name)
	s.services = append(s.services, v)
	sortServices(s.services)
	s.applyLocked(Configure{Services: s.services})
}

func (s *shard) dropService(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(name)
	s.applyLocked(Configure{Services: s.services})
}

func (s *shard) remove(name string) {
	s.services = slices.DeleteFunc(s.services, func(v Service) bool { return v.Name == name })
}
