package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
	"gypsumlead/record"
)

// chaos drives a pool with random events and checks what the program's own check can't see:
// that each request is answered once, and none is held back without a reason.
type chaos struct {
	t       *testing.T
	rng     *rand.Rand
	pool    *Pool
	now     time.Time
	lastID  uint64
	waiting map[uint64]time.Time // deadlines
	running []uint64
	slots   int
}

func newChaos(t *testing.T, seed uint64, opts ...Option) *chaos {
	return &chaos{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		pool:    New("p", opts...),
		now:     time.Unix(1, 0),
		waiting: map[uint64]time.Time{},
	}
}

func (c *chaos) apply(ev Event) {
	effects, err := c.pool.Apply(ev, c.now)
	require.NoError(c.t, err)
	for _, f := range effects {
		switch f := f.(type) {
		case Start:
			require.Contains(c.t, c.waiting, f.ID, "started twice or after an answer")
			require.True(c.t, c.now.Before(c.waiting[f.ID]), "started after its deadline")
			delete(c.waiting, f.ID)
			c.running = append(c.running, f.ID)
			require.LessOrEqual(c.t, len(c.running), c.slots)
		case Refuse:
			require.Contains(c.t, c.waiting, f.ID, "refused twice or after an answer")
			require.True(c.t, f.Kind == fault.Missing || f.Retry >= retryLeast && f.Retry <= retryMost, "%+v", f)
			delete(c.waiting, f.ID)
		}
	}
	require.Len(c.t, c.pool.requests, len(c.waiting)+len(c.running))
}

func (c *chaos) services() []Service {
	var ss []Service
	for i := range 1 + c.rng.IntN(4) {
		s := Service{Name: fmt.Sprint("s", i)}
		for j := range 1 + c.rng.IntN(3) {
			s.Works = append(s.Works, record.Work{Name: fmt.Sprint("w", j), Urgency: c.rng.IntN(4), Mean: math.Floor(40 * c.rng.Float64())})
		}
		ss = append(ss, s)
	}
	return ss
}

func (c *chaos) step() {
	c.now = c.now.Add(time.Duration(c.rng.ExpFloat64() * float64(3*time.Millisecond)))
	switch n := c.rng.IntN(1000); {
	case n < 550:
		c.lastID++
		deadline := c.now.Add(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
		c.waiting[c.lastID] = deadline
		c.apply(Arrive{ID: c.lastID, Service: fmt.Sprint("s", c.rng.IntN(4)), Work: fmt.Sprint("w", c.rng.IntN(3)), Deadline: deadline})
	case n < 900:
		c.end()
	case n < 920:
		c.leave()
	case n < 990:
		c.apply(Tick{})
	case n < 997:
		c.slots = c.rng.IntN(40)
		// Requests that have been started go on when the capacity shrinks under them.
		keep := max(c.slots, len(c.running))
		was := c.slots
		c.slots = keep
		c.apply(Capacity{Slots: was, Total: was * (1 + c.rng.IntN(3))})
		c.slots = was
		for len(c.running) > c.slots {
			c.end()
		}
	default:
		c.apply(Configure{Services: c.services()})
	}
}

func (c *chaos) end() {
	if len(c.running) == 0 {
		return
	}
	i := c.rng.IntN(len(c.running))
	id := c.running[i]
	c.running = append(c.running[:i], c.running[i+1:]...)
	slots := c.slots
	c.slots = max(slots, len(c.running))
	if c.rng.IntN(10) == 0 {
		c.apply(Cancel{ID: id})
	} else {
		c.apply(Finish{ID: id})
	}
	c.slots = slots
}

// leave cancels the waiting request with the smallest number, so that a run depends on its seed only.
func (c *chaos) leave() {
	least := uint64(math.MaxUint64)
	for id := range c.waiting {
		least = min(least, id)
	}
	if len(c.waiting) > 0 {
		delete(c.waiting, least)
		c.apply(Cancel{ID: least})
	}
}

func TestRandomRunsKeepTheInvariants(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newChaos(t, seed)
			c.slots = 8
			c.apply(Configure{Services: c.services()})
			c.apply(Capacity{Slots: 8, Total: 8})
			for range 3000 {
				c.step()
			}
			for len(c.running) > 0 || len(c.waiting) > 0 {
				c.now = c.now.Add(50 * time.Millisecond)
				c.apply(Tick{})
				c.end()
			}
			require.Zero(t, c.pool.Running()+c.pool.Waiting())
		})
	}
}

func TestCheckFindsWrongSums(t *testing.T) {
	faults := map[string]func(p *Pool){
		"running":  func(p *Pool) { p.running++ },
		"waiting":  func(p *Pool) { p.waiting++ },
		"kind":     func(p *Pool) { p.kinds[0].running-- },
		"requests": func(p *Pool) { p.requests[99] = &request{} },
		"slots":    func(p *Pool) { p.started, p.slots = 1, 0 },
	}
	for name, spoil := range faults {
		t.Run(name, func(t *testing.T) {
			p := New("p")
			now := time.Unix(1, 0)
			for _, ev := range []Event{
				Capacity{Slots: 2, Total: 2},
				Configure{Services: []Service{{Name: "s", Works: []record.Work{{Name: "w", Mean: 1}}}}},
				Arrive{ID: 1, Service: "s", Deadline: now.Add(time.Minute)},
			} {
				_, err := p.Apply(ev, now)
				require.NoError(t, err)
			}
			spoil(p)
			require.True(t, fault.Is(p.check(), fault.Breach))
		})
	}
}

// floorRun floods kind "loud" and asks for "quiet" at its mean; it returns the longest wait of
// quiet requests for a slot. The design's mechanism can be switched off by options.
func floorRun(t *testing.T, quietMean float64, opts ...Option) time.Duration {
	t.Helper()
	const slots, run = 8, 200 * time.Millisecond
	p := New("p", opts...)
	now := time.Unix(1, 0)
	apply := func(ev Event) []Effect {
		effects, err := p.Apply(ev, now)
		require.NoError(t, err)
		return effects
	}
	apply(Capacity{Slots: slots, Total: slots})
	apply(Configure{Services: []Service{
		{Name: "quiet", Works: []record.Work{{Name: "w", Mean: quietMean, Urgency: 0}}},
		{Name: "loud", Works: []record.Work{{Name: "w", Mean: 15, Urgency: 9}}},
	}})
	asked := map[uint64]time.Time{}
	ends := map[time.Time][]uint64{}
	longest := time.Duration(0)
	for ms := range 20000 {
		now = time.Unix(1, 0).Add(time.Duration(ms) * time.Millisecond)
		var effects []Effect
		for _, id := range ends[now] {
			effects = append(effects, apply(Finish{ID: id})...)
		}
		id := uint64(2 * ms)
		effects = append(effects, apply(Arrive{ID: id, Service: "loud", Deadline: now.Add(time.Second)})...)
		if ms%100 == 0 {
			asked[id+1] = now
			effects = append(effects, apply(Arrive{ID: id + 1, Service: "quiet", Deadline: now.Add(time.Second)})...)
		}
		for _, f := range effects {
			if s, ok := f.(Start); ok {
				ends[now.Add(run)] = append(ends[now.Add(run)], s.ID)
				if at, quiet := asked[s.ID]; quiet {
					longest = max(longest, now.Sub(at))
				}
			}
			if r, ok := f.(Refuse); ok && r.ID%2 == 1 {
				longest = max(longest, time.Second)
			}
		}
	}
	return longest
}

func TestFloorSurvivesAMoreUrgentFlood(t *testing.T) {
	const harmless = 55 * time.Millisecond // a quarter of a run, and a tick
	require.LessOrEqual(t, floorRun(t, 10), harmless)
	require.Greater(t, floorRun(t, 0), harmless, "without a floor the flood wins")
}
