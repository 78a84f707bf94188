package lease

import (
	"slices"
	"time"
)

// plan decides which duties the daemon wants, and how eagerly, before a pass; it returns how many may be taken in it.
func (k *Keeper) plan() int {
	duties := k.duties()
	members := membersWith(k.self, k.members())
	held := k.count()
	share := fairShare(len(duties), len(members))
	leaving := k.isLeaving()
	k.seatAll(duties)
	for _, s := range k.all() {
		s.mu.Lock()
		s.rank = Rank(s.h.duty, k.self, members)
		listed := slices.Contains(duties, s.h.duty)
		s.h.Want(listed && !leaving, k.delay(s.rank, held >= share), k.idle(s.rank))
		s.mu.Unlock()
	}
	if held > share {
		k.shedOne()
	}
	return max(1, share-held)
}

// seatAll makes a seat for each duty and drops those that are neither listed nor held.
func (k *Keeper) seatAll(duties []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range duties {
		if k.seats[d] == nil {
			k.seats[d] = &seat{h: NewHolder(d, k.self, k.nonce, k.terms)}
		}
	}
	for d, s := range k.seats {
		s.mu.Lock()
		idle := s.h.Epoch() == 0
		s.mu.Unlock()
		if idle && !slices.Contains(duties, d) {
			delete(k.seats, d)
		}
	}
}

func (k *Keeper) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

// delay leaves a free duty to daemons of a better rank, and to those with fewer duties.
func (k *Keeper) delay(rank int, full bool) time.Duration {
	polls := min(rank, firstRanks-1)
	if full {
		polls += crowdPolls
	}
	return time.Duration(polls) * k.terms.Poll
}

// idle is how often the daemon looks at a duty that another holds.
func (k *Keeper) idle(rank int) time.Duration {
	if rank < firstRanks {
		return k.terms.Poll
	}
	return idlePolls * k.terms.Poll
}

// shedOne gives up the held duty of the worst rank, now and then.
func (k *Keeper) shedOne() {
	now := k.now()
	k.mu.Lock()
	due := k.shed.IsZero() || now.Sub(k.shed) >= shedEvery
	if due {
		k.shed = now
	}
	k.mu.Unlock()
	if !due {
		return
	}
	var worst *seat
	for _, s := range k.all() {
		if s.holding() && (worst == nil || s.rank > worst.rank) {
			worst = s
		}
	}
	if worst == nil {
		return
	}
	worst.mu.Lock()
	defer worst.mu.Unlock()
	worst.h.Want(false, 0, 0)
}

func (s *seat) holding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h.Epoch() != 0
}
