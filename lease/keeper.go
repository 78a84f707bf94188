package lease

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/backing"
)

const (
	firstRanks = 4                // daemons by rank that watch a duty closely
	crowdPolls = 4                // polls that a daemon with its fair share leaves a free duty to others
	idlePolls  = 30               // polls between looks of all other daemons
	passShare  = 4                // passes a poll
	opTimeout  = 2 * time.Second  // at most; see timeout
	shedEvery  = 10 * time.Second // between duties given up for balance
)

// Keeper contends for duties on behalf of one daemon and spreads them over the daemons: of each
// duty the first by rank takes it when it is free, and nobody takes much more than a fair share.
type Keeper struct {
	table   backing.Table
	self    string
	nonce   string
	terms   Terms
	now     func() time.Time
	duties  func() []string
	members func() []string
	log     *zap.Logger
	breach  func(error)

	passing sync.Mutex // one pass at a time

	mu      sync.Mutex
	seats   map[string]*seat
	leaving bool
	shed    time.Time // when a duty was last given up for balance
}

// seat is the daemon's part in one duty, under a lock of its own.
type seat struct {
	mu   sync.Mutex
	h    *Holder
	rank int
}

// Option changes a Keeper under construction.
type Option func(*Keeper)

// WithTerms sets the times of the leases.
func WithTerms(t Terms) Option {
	return func(k *Keeper) { k.terms = t }
}

// WithClock sets the clock, which must be monotonic.
func WithClock(now func() time.Time) Option {
	return func(k *Keeper) { k.now = now }
}

// WithDuties sets which duties there are; the function is called at each pass.
func WithDuties(f func() []string) Option {
	return func(k *Keeper) { k.duties = f }
}

// WithMembers sets which daemons are alive; the function is called at each pass.
func WithMembers(f func() []string) Option {
	return func(k *Keeper) { k.members = f }
}

// WithLog sets where duties taken and lost are logged.
func WithLog(l *zap.Logger) Option {
	return func(k *Keeper) { k.log = l }
}

// WithBreach sets what is told of a lease row that can't be true, whose duty isn't held then.
func WithBreach(report func(error)) Option {
	return func(k *Keeper) { k.breach = report }
}

// NewKeeper returns a keeper for the daemon self; nonce is unique to its process.
func NewKeeper(table backing.Table, self, nonce string, opts ...Option) *Keeper {
	none := func() []string { return nil }
	k := &Keeper{
		table:   table,
		self:    self,
		nonce:   nonce,
		terms:   DefaultTerms(),
		now:     time.Now,
		duties:  none,
		members: none,
		log:     zap.NewNop(),
		breach:  func(error) {},
		seats:   map[string]*seat{},
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// TakeOver returns within which time a dead holder's duty is held again, where the table answers
// and one of the first by rank lives: its life, two looks, and the turns of rank and balance.
func (t Terms) TakeOver() time.Duration {
	return t.Life + (2+firstRanks-1+crowdPolls+1)*t.Poll
}

// Run passes over the duties until ctx ends; it hands nothing back.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(k.terms.Poll / passShare)
	defer t.Stop()
	for {
		k.Pass(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Leave gives up every duty at once for Check and tries to hand them back until ctx ends.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	for ctx.Err() == nil {
		k.Pass(ctx)
		if k.count() == 0 {
			return
		}
		t := time.NewTimer(k.terms.Poll / passShare)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// Tenure returns the duty's tenure where it is held now.
func (k *Keeper) Tenure(duty string) (Tenure, bool) {
	k.mu.Lock()
	s := k.seats[duty]
	k.mu.Unlock()
	if s == nil {
		return Tenure{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return Tenure{Duty: duty, Epoch: s.h.Epoch(), k: k}, s.h.Holds(k.now())
}

// Held returns the tenures of all duties held now, sorted by duty.
func (k *Keeper) Held() []Tenure {
	k.mu.Lock()
	names := make([]string, 0, len(k.seats))
	for n := range k.seats {
		names = append(names, n)
	}
	k.mu.Unlock()
	slices.Sort(names)
	var ts []Tenure
	for _, n := range names {
		if t, ok := k.Tenure(n); ok {
			ts = append(ts, t)
		}
	}
	return ts
}

func (k *Keeper) holds(duty string, epoch int64) bool {
	t, ok := k.Tenure(duty)
	return ok && t.Epoch == epoch
}

// count returns how many duties are held or still to be handed back.
func (k *Keeper) count() int {
	n := 0
	for _, s := range k.all() {
		s.mu.Lock()
		if s.h.Epoch() != 0 {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// all returns the seats sorted by duty.
func (k *Keeper) all() []*seat {
	k.mu.Lock()
	defer k.mu.Unlock()
	ss := make([]*seat, 0, len(k.seats))
	for _, s := range k.seats {
		ss = append(ss, s)
	}
	slices.SortFunc(ss, func(a, b *seat) int { return cmp.Compare(a.h.duty, b.h.duty) })
	return ss
}
