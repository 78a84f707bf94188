package lend

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/clock"
	"gypsumlead/duty"
	"gypsumlead/platform"
	"gypsumlead/sched"
)

// Times and bounds of the lender.
const (
	tick      = 200 * time.Millisecond // between two looks at the pools
	callLimit = 2 * time.Second        // for an order to the service for machines
	orderGap  = 500 * time.Millisecond // between two orders for the same machine
	comeSlack = 2 * time.Second        // beyond the time of a move, before a machine that hasn't come counts as lost
	atOnce    = 12                     // machines that are ordered in one step
)

// Seat is a service that this daemon schedules.
type Seat interface {
	Service() string
	Demand() sched.Demand
	Census() []sched.Machine
	Keep(runners map[string]struct{})
	Evacuate(runner string, on bool)
	Empty(runner string) bool
}

// Parts are what a lender works with.
type Parts struct {
	Book     *duty.Book
	Machines *platform.Machines
	Log      *zap.Logger
	Name     string        // of this daemon
	Move     time.Duration // that a move takes
	Seats    func() []Seat
	Spare    func() string             // the spare service, or "" where there is none
	Held     func(machine string) bool // a wave is about to take the machine
}

// Lender moves machines for the pools that this daemon schedules.
type Lender struct {
	Parts
	coming map[string]transfer  // machines that were ordered here, by name
	going  map[string]transfer  // machines that are to be given back, by name
	over   map[string]time.Time // pools that have had too many machines since
	wrong  map[string]struct{}  // machines that don't fit into other pools
	told   map[string][2]int    // what was last logged of a pool
}

// transfer is a machine on its way.
type transfer struct {
	service string
	runner  string
	since   time.Time
	ordered time.Time
	done    bool
	token   int64
}

// New returns a lender.
func New(p Parts) *Lender {
	return &Lender{Parts: p, coming: map[string]transfer{}, going: map[string]transfer{}, over: map[string]time.Time{}, wrong: map[string]struct{}{}, told: map[string][2]int{}}
}

// Run looks after the pools until ctx ends.
func (l *Lender) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		seats := l.Seats()
		spare := l.Spare()
		if spare == "" || len(seats) == 0 {
			continue
		}
		l.step(ctx, seats, spare)
	}
}

func (l *Lender) step(ctx context.Context, seats []Seat, spare string) {
	now := clock.Now()
	held := map[string]Seat{}
	for _, s := range seats {
		held[s.Service()] = s
	}
	l.settle(now, held)
	for _, s := range seats {
		if s.Service() != spare {
			l.pool(ctx, now, s, spare)
		}
	}
	for name, t := range l.going {
		s, ok := held[t.service]
		if !ok {
			delete(l.going, name)
			continue
		}
		if !t.done && s.Empty(t.runner) && now.Sub(t.ordered) > orderGap {
			l.giveBack(ctx, now, name, t, spare)
		}
	}
}

// settle forgets machines that have come or gone.
func (l *Lender) settle(now time.Time, held map[string]Seat) {
	here := map[string]string{} // machine to runner
	for _, s := range held {
		for _, m := range s.Census() {
			here[m.Machine] = m.Runner
		}
	}
	for name, t := range l.coming {
		if _, ok := here[name]; ok || now.Sub(t.since) > l.Move+comeSlack {
			delete(l.coming, name)
		}
	}
	for name, t := range l.going {
		if here[name] != t.runner {
			delete(l.going, name)
		}
	}
}

// pool borrows for one pool, or has it give machines back.
func (l *Lender) pool(ctx context.Context, now time.Time, s Seat, spare string) {
	list := s.Census()
	var room int64
	have := 0
	for _, m := range list {
		room = max(room, m.Room.CPU)
		if m.Takes && !m.Evacuate {
			have++
		}
	}
	if have == 0 {
		return // nothing is known of the pool's machines yet
	}
	for _, t := range l.coming {
		if t.service == s.Service() {
			have++
		}
	}
	d := s.Demand()
	base := least(d, room)
	stay := keep(list, base)
	s.Keep(stay)
	target := max(base, want(d, room))
	l.tell(s.Service(), have, target, d)
	switch {
	case target > have:
		delete(l.over, s.Service())
		l.recall(s, target-have)
		l.borrow(ctx, now, s, spare, target-have)
	case target < have:
		since, ok := l.over[s.Service()]
		if !ok {
			l.over[s.Service()] = now
		} else if now.Sub(since) > rest {
			l.release(now, s, list, stay, have-target)
		}
	default:
		delete(l.over, s.Service())
	}
}

// tell logs what a pool has and should have, where that has changed.
func (l *Lender) tell(service string, have, target int, d sched.Demand) {
	if l.told[service] == [2]int{have, target} {
		return
	}
	l.told[service] = [2]int{have, target}
	l.Log.Info("pool", zap.String("service", service), zap.Int("machines", have), zap.Int("wanted", target), zap.Int64("used", d.Used),
		zap.Int64("lasting", d.Lasting), zap.Int64("waiting", d.Waiting), zap.Int64("late", d.Late), zap.Float64("rate", d.Rate))
}

// recall lets machines that were to be given back take work again.
func (l *Lender) recall(s Seat, n int) {
	for name, t := range l.going {
		if n == 0 {
			return
		}
		if t.service == s.Service() && t.ordered.IsZero() {
			s.Evacuate(t.runner, false)
			delete(l.going, name)
			n--
		}
	}
}

// release has machines emptied that the pool doesn't need.
func (l *Lender) release(now time.Time, s Seat, list []sched.Machine, stay map[string]struct{}, n int) {
	for _, m := range surplus(list, stay, n) {
		if _, ok := l.wrong[m.Machine]; ok || l.Held(m.Machine) {
			continue
		}
		l.going[m.Machine] = transfer{service: s.Service(), runner: m.Runner, since: now}
		s.Evacuate(m.Runner, true)
	}
}

// borrow orders machines of the spare pool into a pool.
func (l *Lender) borrow(ctx context.Context, now time.Time, s Seat, spare string, n int) {
	all, _, ok := l.Book.List(ctx)
	if !ok {
		return
	}
	var names []string
	for name, m := range all {
		_, bad := l.wrong[name]
		if m.Pool == spare && m.State == platform.MachineUp && !bad && l.Book.Free(name) && !l.Held(name) {
			names = append(names, name)
		}
	}
	// Daemons that borrow at the same moment begin at different places of the list.
	salt := s.Service()
	slices.SortFunc(names, func(a, b string) int {
		x, y := mix(salt, a), mix(salt, b)
		if x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	names = names[:min(n, len(names), atOnce)]
	if len(names) == 0 {
		return
	}
	token, ok := l.Book.Claim(ctx, "move to "+s.Service(), names, platform.Tx{})
	if !ok {
		return
	}
	l.Log.Info("machines are borrowed", zap.String("service", s.Service()), zap.Strings("machines", names), zap.Int("wanted", n))
	for _, name := range names {
		l.coming[name] = transfer{service: s.Service(), since: now, ordered: now, token: token}
	}
	answers := l.orderAll(ctx, names, s.Service(), token)
	for i, name := range names {
		if answers[i] != platform.DutyDone && answers[i] != "" {
			delete(l.coming, name)
			l.refused(name, answers[i])
		}
	}
}

// mix spreads machines over borrowers.
func mix(salt, name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(salt)) // a hash never fails to write
	h.Write([]byte(name))
	return h.Sum32()
}

// giveBack orders an empty machine into the spare pool.
func (l *Lender) giveBack(ctx context.Context, now time.Time, name string, t transfer, spare string) {
	if !l.Book.Free(name) || l.Held(name) {
		return
	}
	if t.token == 0 {
		token, ok := l.Book.Claim(ctx, "move to "+spare, []string{name}, platform.Tx{})
		if !ok {
			return
		}
		t.token = token
	}
	t.ordered = now
	l.going[name] = t
	answer := l.orderAll(ctx, []string{name}, spare, t.token)[0]
	switch answer {
	case platform.DutyDone:
		t.done = true
		l.going[name] = t
	case "":
	default:
		l.refused(name, answer)
		if answer == platform.DutyFenced {
			t.token = 0
			l.going[name] = t
		}
	}
}

// refused takes in that a machine doesn't move.
func (l *Lender) refused(name string, why platform.Duty) {
	l.Log.Info("machine doesn't move", zap.String("machine", name), zap.String("answer", string(why)))
	if why == platform.DutyWrong {
		l.wrong[name] = struct{}{}
	}
}

// orderAll orders machines into a pool, all at the same time; an answer that didn't come is empty.
func (l *Lender) orderAll(ctx context.Context, names []string, pool string, token int64) []platform.Duty {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	answers := make([]platform.Duty, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			d, err := l.Machines.Move(ctx, name, pool, l.Name, token)
			if err != nil {
				l.Log.Warn("move not answered", zap.String("machine", name), zap.Error(err))
				return
			}
			answers[i] = d
		})
	}
	wg.Wait()
	return answers
}
